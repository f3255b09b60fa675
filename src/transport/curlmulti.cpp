#include "transport/curlmulti.h"

#include "state/errors.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace banyankeel
{

namespace
{
// With fewer, a batch leaves out some of the ready sockets, and at many transfers the same ones again and again.
constexpr int MaxEvents = 512;

struct GlobalCurl {
    GlobalCurl()
    {
        curl_global_init(CURL_GLOBAL_NOTHING);
    }
};

int untilMilliseconds(TimePoint time)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(time - std::chrono::steady_clock::now());
    return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, std::numeric_limits<int>::max()));
}

int curlEventsOf(std::uint32_t events)
{
    int result = 0;
    result |= (events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
    result |= (events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
    result |= (events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
    return result;
}
} // namespace

CurlMulti::CurlMulti(long maxKept)
{
    // libcurl wants to be initialised once for each process.
    static const GlobalCurl Initialised;
    m_multi = curl_multi_init();
    m_epoll = epoll_create1(EPOLL_CLOEXEC);
    m_wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    epoll_event event{.events = EPOLLIN, .data = {.fd = m_wake}};
    if (m_multi == nullptr || m_epoll < 0 || m_wake < 0 || epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wake, &event) != 0) {
        close();
        throw Error("http client: the system has no descriptors or memory left");
    }
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maxKept);
    curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlMulti::socketChanged);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &CurlMulti::timerChanged);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

CurlMulti::~CurlMulti()
{
    close();
}

void CurlMulti::close()
{
    if (m_multi != nullptr) {
        curl_multi_cleanup(m_multi);
    }
    for (const int descriptor : {m_epoll, m_wake}) {
        if (descriptor >= 0) {
            ::close(descriptor);
        }
    }
}

void CurlMulti::add(CURL *handle)
{
    curl_multi_add_handle(m_multi, handle);
}

void CurlMulti::remove(CURL *handle)
{
    curl_multi_remove_handle(m_multi, handle);
}

void CurlMulti::proceed()
{
    if (m_timer && *m_timer <= std::chrono::steady_clock::now()) {
        m_timer.reset();
        int running = 0;
        curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

void CurlMulti::wait(TimePoint until)
{
    std::array<epoll_event, MaxEvents> events{};
    const TimePoint end = m_timer ? std::min(until, *m_timer) : until;
    const int count = epoll_wait(m_epoll, events.data(), MaxEvents, untilMilliseconds(end));
    for (int n = 0; n < count; ++n) {
        const epoll_event &event = events[static_cast<std::size_t>(n)];
        if (event.data.fd == m_wake) {
            eventfd_t value = 0;
            eventfd_read(m_wake, &value);
            continue;
        }
        int running = 0;
        curl_multi_socket_action(m_multi, event.data.fd, curlEventsOf(event.events), &running);
    }
    proceed();
}

std::optional<CurlMulti::Finished> CurlMulti::nextFinished()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg == CURLMSG_DONE) {
            return Finished{message->easy_handle, message->data.result};
        }
    }
    return std::nullopt;
}

void CurlMulti::wake()
{
    eventfd_write(m_wake, 1);
}

int CurlMulti::socketChanged(CURL * /*handle*/, curl_socket_t socket, int what, void *self, void *isKnown)
{
    static_cast<CurlMulti *>(self)->watch(socket, what, isKnown != nullptr);
    return 0;
}

void CurlMulti::watch(curl_socket_t socket, int what, bool isKnown)
{
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
        return;
    }
    epoll_event event{.events = 0, .data = {.fd = socket}};
    event.events |= (what & CURL_POLL_IN) != 0 ? static_cast<std::uint32_t>(EPOLLIN) : 0U;
    event.events |= (what & CURL_POLL_OUT) != 0 ? static_cast<std::uint32_t>(EPOLLOUT) : 0U;
    epoll_ctl(m_epoll, isKnown ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event);
    // libcurl hands this pointer back for as long as it watches the socket.
    curl_multi_assign(m_multi, socket, this);
}

int CurlMulti::timerChanged(CURLM * /*multi*/, long milliseconds, void *self)
{
    auto *multi = static_cast<CurlMulti *>(self);
    if (milliseconds < 0) {
        multi->m_timer.reset();
    } else {
        multi->m_timer = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
    }
    return 0;
}

} // namespace banyankeel

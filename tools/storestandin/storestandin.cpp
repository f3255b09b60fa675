#include "tools/storestandin/storestandin.h"

#include "protocol/headernames.h"
#include "protocol/storecodec.h"
#include "state/errors.h"
#include "tools/common/keyvalue.h"
#include "tools/common/urlquery.h"

namespace banyankeel
{

namespace
{
constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusUnauthorized = 401;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;
constexpr std::uint64_t PerMille = 1000;

HttpResponse textResponse(int status, const std::string &text)
{
    return {.status = status, .headers = {{"Content-Type", "text/plain"}}, .body = text + '\n'};
}
} // namespace

StoreStandin::StoreStandin(StoreStandinSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_pool(1)
    , m_server({.listen = m_settings.listen}, [this](const HttpRequest &request, const HttpResponder &respond) { handle(request, respond); })
{
}

StoreStandin::~StoreStandin()
{
    stop();
}

void StoreStandin::start()
{
    m_server.start();
}

void StoreStandin::stop()
{
    m_server.stop();
    m_pool.stop();
}

testing::StoreUsage StoreStandin::usage() const
{
    const std::scoped_lock lock(m_mutex);
    return m_store.usage();
}

void StoreStandin::handle(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.target.starts_with("/control/")) {
        respond(control(request));
    } else if (request.target != "/v1/store" || request.method != "POST") {
        respond(textResponse(StatusNotFound, "POST /v1/store is served"));
    } else if (findHeader(request.headers, headers::Authorization) != "Bearer " + m_settings.token) {
        respond(textResponse(StatusUnauthorized, "another token is expected"));
    } else if (faults().isDown) {
        respond(textResponse(StatusUnavailable, "outage"));
    } else {
        serve(request.body, respond);
    }
}

HttpResponse StoreStandin::control(const HttpRequest &request)
{
    const UrlQuery url(request.target);
    if (url.path() == "/control/usage") {
        const testing::StoreUsage used = usage();
        return textResponse(StatusOk, KeyValueLine().add("reads", used.reads).add("writes", used.writes).text());
    }
    return setFault(url) ? textResponse(StatusOk, "set") : textResponse(StatusBadRequest, "outage?on=0|1, delay?ms=N, lose-answers?per-mille=N or usage");
}

bool StoreStandin::setFault(const UrlQuery &url)
{
    const std::scoped_lock lock(m_mutex);
    if (url.path() == "/control/outage" && url.number("on")) {
        m_faults.isDown = *url.number("on") != 0;
    } else if (url.path() == "/control/delay" && url.number("ms")) {
        m_faults.delay = std::chrono::milliseconds(*url.number("ms"));
    } else if (url.path() == "/control/lose-answers" && url.number("per-mille")) {
        m_faults.lostPerMille = *url.number("per-mille");
    } else {
        return false;
    }
    return true;
}

void StoreStandin::serve(const std::string &body, const HttpResponder &respond)
{
    try {
        after(faults().delay, [this, request = decodeStoreRequest(body), respond] { answer(request, respond); });
    } catch (const ProtocolError &it) {
        respond(textResponse(StatusBadRequest, it.what()));
    }
}

void StoreStandin::answer(const StoreRequest &request, const HttpResponder &respond)
{
    testing::StoreUsage used;
    StoreReply reply;
    {
        const std::scoped_lock lock(m_mutex);
        reply = m_store.apply(request);
        used = m_store.usage();
    }
    if (m_settings.log) {
        m_settings.log(used);
    }
    if (losesAnswer()) {
        return;
    }
    HttpResponse response{.status = StatusOk, .headers = {{"Content-Type", "application/msgpack"}}, .body = encodeStoreReply(reply)};
    after(faults().delay, [response = std::move(response), respond] { respond(response); });
}

void StoreStandin::after(Duration delay, std::function<void()> task)
{
    if (delay == Duration::zero()) {
        task();
    } else {
        m_pool.postAt(std::chrono::steady_clock::now() + delay, std::move(task));
    }
}

StoreStandin::Faults StoreStandin::faults() const
{
    const std::scoped_lock lock(m_mutex);
    return m_faults;
}

bool StoreStandin::losesAnswer()
{
    const std::scoped_lock lock(m_mutex);
    return m_random() % PerMille < m_faults.lostPerMille;
}

} // namespace banyankeel

#include "transport/peerconnection.h"

#include "state/errors.h"

#include <asio/bind_executor.hpp>
#include <asio/post.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <sstream>

namespace banyankeel
{

namespace
{
// The kernel ends a connection whose other side took no bytes for this long, be it slow or gone.
constexpr int UntakenLimitMilliseconds = 10'000;
// The kernel finds out in about 30 s that the other side of a silent connection is gone.
constexpr int KeepAliveIdleSeconds = 15;
constexpr int KeepAliveIntervalSeconds = 5;
constexpr int KeepAliveProbes = 3;
// A sender that also writes the frames of others hands on to a network thread after so many system calls.
constexpr int MaxWritesOfSender = 8;
// When the other side closes an idle connection, a frame that was sent so shortly before may not have been read.
constexpr Duration RecentUse = std::chrono::seconds(5);

std::string textOf(const asio::ip::tcp::endpoint &endpoint)
{
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

// Options of the kernel that Asio has no name for. A connection without them works as well.
void setTcpOption(asio::ip::tcp::socket &socket, int option, int value)
{
    setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof(value));
}

void setSocketOptions(asio::ip::tcp::socket &socket)
{
    std::error_code ec;
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    setTcpOption(socket, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setTcpOption(socket, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setTcpOption(socket, TCP_KEEPCNT, KeepAliveProbes);
    setTcpOption(socket, TCP_USER_TIMEOUT, UntakenLimitMilliseconds);
}

ssize_t writePieces(int descriptor, std::span<const iovec> pieces)
{
    msghdr message{};
    message.msg_iov = const_cast<iovec *>(pieces.data());
    message.msg_iovlen = pieces.size();
    ssize_t written = 0;
    do {
        written = sendmsg(descriptor, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    } while (written < 0 && errno == EINTR);
    return written;
}
} // namespace

PeerConnection::PeerConnection(
    asio::ip::tcp::socket socket, HelloRole role, const PeerNetworkSettings &settings, const PeerConnectionHooks &hooks, std::atomic<std::uint64_t> &sentBytes)
    : m_role(role)
    , m_settings(settings)
    , m_hooks(hooks)
    , m_sentBytes(sentBytes)
    , m_begin(std::chrono::steady_clock::now())
    , m_socket(std::move(socket))
    , m_hello(role, settings.self, settings.secret)
    , m_reader(MaxHelloBytes)
    , m_lastFrame(m_begin)
    , m_queue(settings.maxQueuedBytes)
{
}

void PeerConnection::start()
{
    std::error_code ec;
    m_remote = textOf(m_socket.remote_endpoint(ec));
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->beginHello(); });
}

void PeerConnection::connect(const Endpoint &endpoint)
{
    m_key = endpoint;
    m_remote = endpoint.text();
    const asio::ip::tcp::endpoint to(asio::ip::make_address(endpoint.address()), endpoint.port());
    asio::post(m_socket.get_executor(), [self = shared_from_this(), to] {
        self->m_socket.async_connect(to, [self](const std::error_code &ec) {
            if (ec) {
                self->finish(ConnectionEnd::Unreachable, ec.message());
            } else {
                self->beginHello();
            }
        });
    });
}

void PeerConnection::beginHello()
{
    if (m_hasFinished) {
        return;
    }
    setSocketOptions(m_socket);
    {
        const std::scoped_lock lock(m_mutex);
        m_descriptor = m_socket.native_handle();
    }
    if (writeNow(m_hello.challenge())) {
        read();
    }
}

void PeerConnection::read()
{
    const std::span<char> room = m_reader.room();
    m_socket.async_read_some(asio::buffer(room.data(), room.size()), [self = shared_from_this()](const std::error_code &ec, std::size_t bytes) {
        if (ec) {
            self->readFailed(ec);
        } else {
            self->receive(bytes);
        }
    });
}

void PeerConnection::receive(std::size_t bytes)
{
    m_reader.arrived(bytes);
    try {
        while (std::optional<Envelope> envelope = m_reader.next()) {
            if (m_isClosed) {
                return;
            }
            take(std::move(*envelope));
        }
    } catch (const Error &it) {
        finish(ConnectionEnd::Refused, it.what());
    }
    if (!m_isClosed) {
        read();
    }
}

void PeerConnection::take(Envelope envelope)
{
    if (!m_isReady) {
        takeHello(envelope);
        return;
    }
    switch (envelope.type) {
    case MessageType::HelloChallenge:
    case MessageType::Hello:
        throw ProtocolError("hello: a second one on the same connection");
    case MessageType::Goodbye:
        m_saidGoodbye = true;
        return;
    default:
        m_wasUsed = true;
        touch();
        m_hooks.message(peer(), std::move(envelope));
    }
}

void PeerConnection::takeHello(const Envelope &envelope)
{
    const std::optional<Envelope> answer = m_hello.receive(envelope);
    if (answer) {
        writeNow(*answer);
        return;
    }
    if (m_hello.peer()->endpoint == m_settings.self.endpoint) {
        throw ProtocolError("hello: field endpoint: this node's own");
    }
    if (!m_key) {
        m_key = m_hello.peer()->endpoint;
    }
    m_reader.setMaxPayloadBytes(m_settings.maxFrameBytes);
    const std::string problem = m_hooks.accepted(shared_from_this());
    if (!problem.empty()) {
        throw ProtocolError(problem);
    }
    becomeReady();
}

void PeerConnection::becomeReady()
{
    touch();
    std::unique_lock lock(m_mutex);
    m_isReady = true;
    if (!m_isWriting) {
        flush(lock);
    }
}

/// Writes outside the queue, before any frame of the queue. The socket's buffer has room for the few hundred bytes of a hello.
bool PeerConnection::writeNow(const Envelope &envelope)
{
    FrameQueue queue(MaxHelloBytes);
    const std::size_t size = FrameHeaderBytes + envelope.payload.size();
    queue.push(envelope);
    if (writePieces(m_descriptor, queue.front()) != static_cast<ssize_t>(size)) {
        finish(endBeforeHello(), "the hello can't be written");
        return false;
    }
    m_sentBytes += size;
    return true;
}

SendResult PeerConnection::send(Envelope envelope)
{
    std::unique_lock lock(m_mutex);
    if (m_isClosed || !m_queue.hasRoomFor(envelope)) {
        return SendResult::Refused;
    }
    m_queue.push(std::move(envelope));
    m_wasUsed = true;
    touch();
    if (m_isReady && !m_isWriting) {
        flush(lock);
    }
    return SendResult::Queued;
}

void PeerConnection::takeWaiting(PeerConnection &other)
{
    const std::scoped_lock lock(m_mutex, other.m_mutex);
    if (!other.m_isReady) {
        m_queue.takeAll(other.m_queue);
        m_wasUsed = m_wasUsed || other.m_wasUsed;
        other.m_wasUsed = false;
    }
}

// One thread writes at a time; frames that others push meanwhile go out with its next system call.
void PeerConnection::flush(std::unique_lock<std::mutex> &lock)
{
    m_isWriting = true;
    for (int n = 0; n < MaxWritesOfSender; ++n) {
        if (m_isClosed || m_queue.isEmpty()) {
            m_isWriting = false;
            return;
        }
        if (!writeOnce(lock)) {
            return;
        }
    }
    flushLater();
}

bool PeerConnection::writeOnce(std::unique_lock<std::mutex> &lock)
{
    const std::span<const iovec> pieces = m_queue.front();
    m_isInSystemCall = true;
    lock.unlock();
    const ssize_t written = writePieces(m_descriptor, pieces);
    const int error = errno;
    lock.lock();
    m_isInSystemCall = false;
    if (written >= 0) {
        m_queue.written(static_cast<std::size_t>(written));
        m_sentBytes += static_cast<std::size_t>(written);
        return true;
    }
    if (error == EAGAIN || error == EWOULDBLOCK) {
        flushWhenWritable();
        return false;
    }
    // The reader finds the connection ended and reports it.
    shutdown(m_descriptor, SHUT_RDWR);
    m_isWriting = false;
    return false;
}

void PeerConnection::flushWhenWritable()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_socket.async_wait(asio::ip::tcp::socket::wait_write, [self](const std::error_code &) {
            std::unique_lock lock(self->m_mutex);
            self->flush(lock);
        });
    });
}

void PeerConnection::flushLater()
{
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        std::unique_lock lock(self->m_mutex);
        self->flush(lock);
    });
}

void PeerConnection::close(ConnectionEnd end, const std::string &problem)
{
    asio::post(m_socket.get_executor(), [self = shared_from_this(), end, problem] { self->finish(end, problem); });
}

void PeerConnection::checkLimits(TimePoint now)
{
    if (m_isClosed) {
        return;
    }
    if (!m_isReady) {
        if (now - m_begin > m_settings.helloLimit) {
            close(endBeforeHello(), "no hello within the time limit");
        }
        return;
    }
    if (now - m_lastFrame.load() > m_settings.idleLimit) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->sayGoodbye(); });
    }
}

ConnectionEnd PeerConnection::endBeforeHello() const
{
    return m_role == HelloRole::Connector ? ConnectionEnd::Unreachable : ConnectionEnd::Refused;
}

void PeerConnection::sayGoodbye()
{
    {
        const std::scoped_lock lock(m_mutex);
        if (m_isClosed || m_isWriting || !m_queue.isEmpty()) {
            return;
        }
        // No sender comes in between any more.
        m_isClosed = true;
    }
    FrameQueue queue(MaxHelloBytes);
    queue.push({MessageType::Goodbye, {}});
    writePieces(m_descriptor, queue.front());
    finish(ConnectionEnd::Idle, "idle");
}

void PeerConnection::readFailed(const std::error_code &ec)
{
    if (!m_isReady) {
        finish(endBeforeHello(), "closed before its hello: " + ec.message());
        return;
    }
    const bool wasIdle = std::chrono::steady_clock::now() - m_lastFrame.load() > RecentUse;
    finish(m_saidGoodbye && wasIdle ? ConnectionEnd::Idle : ConnectionEnd::Lost, ec.message());
}

void PeerConnection::finish(ConnectionEnd end, const std::string &problem)
{
    if (std::exchange(m_hasFinished, true)) {
        return;
    }
    std::vector<Envelope> unsent;
    {
        const std::scoped_lock lock(m_mutex);
        m_isClosed = true;
        // What another thread is writing may arrive.
        if (!m_isInSystemCall) {
            unsent = m_queue.takeUnwritten();
        }
        if (m_descriptor >= 0) {
            // Another thread may be writing, so that the descriptor stays open until nobody holds this object.
            shutdown(m_descriptor, SHUT_RDWR);
        }
    }
    if (m_descriptor < 0) {
        std::error_code ec;
        m_socket.close(ec);
    }
    m_hooks.ended(shared_from_this(), end, problem, unsent);
}

void PeerConnection::touch()
{
    m_lastFrame = std::chrono::steady_clock::now();
}

} // namespace banyankeel

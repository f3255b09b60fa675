#include "edge/edgeconnection.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>

#include <strings.h>

#include <array>
#include <utility>

namespace banyankeel
{

namespace
{
// Limit of unparsed bytes buffered while a response is pending. Reading pauses at the limit.
constexpr std::size_t MaxPipelinedBytes = std::size_t{64} * 1024;
// How long input is discarded after the final response before the connection is closed.
constexpr Duration LingerTimeout = std::chrono::seconds(1);
constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
// Retry-After value of a 503 that is sent because the memory limit is reached.
constexpr std::string_view MemoryLimitRetryAfterSeconds = "0.5";

constexpr int BadRequest = 400;
constexpr int RequestTimeout = 408;
constexpr int PayloadTooLarge = 413;
constexpr int RequestHeaderFieldsTooLarge = 431;
constexpr int ServiceUnavailable = 503;

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

int statusFor(HttpParseError error)
{
    switch (error) {
    case HttpParseError::BodyTooLarge:
        return PayloadTooLarge;
    case HttpParseError::HeaderTooLarge:
        return RequestHeaderFieldsTooLarge;
    case HttpParseError::Malformed:
        break;
    }
    return BadRequest;
}

bool expectsContinue(const std::vector<HttpHeader> &headers)
{
    const std::optional<std::string_view> value = findHeader(headers, "Expect");
    constexpr std::string_view Continue = "100-continue";
    return value && value->size() == Continue.size() && strncasecmp(value->data(), Continue.data(), Continue.size()) == 0;
}
} // namespace

EdgeConnection::EdgeConnection(asio::ip::tcp::socket socket, std::shared_ptr<EdgeConnectionSharedState> shared, TimePoint now)
    : m_socket(std::move(socket))
    , m_shared(std::move(shared))
    , m_reader(HttpMessageKind::Request, m_shared->limits.message)
    , m_lastProgress(now)
{
}

EdgeConnection::~EdgeConnection()
{
    m_shared->bufferedBytes -= m_bufferedBytes;
}

void EdgeConnection::start()
{
    std::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    m_socket.non_blocking(true, ec);
    if (ec) {
        close();
        return;
    }
    readAvailable();
}

void EdgeConnection::waitReadable()
{
    if (m_isReadPending || m_state == State::Closed || !canReadMore()) {
        return;
    }
    m_isReadPending = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const std::error_code &ec) {
        self->m_isReadPending = false;
        if (!ec) {
            self->readAvailable();
        }
    });
}

bool EdgeConnection::canReadMore() const
{
    return m_state == State::Reading || m_state == State::Lingering || m_unparsed.size() < MaxPipelinedBytes;
}

void EdgeConnection::readAvailable()
{
    // A handler may release the last other reference to this connection.
    const std::shared_ptr<EdgeConnection> keep = shared_from_this();
    while (m_state != State::Closed && canReadMore()) {
        std::error_code ec;
        const std::size_t n = m_socket.read_some(asio::buffer(m_shared->readBuffer.data(), m_shared->readBuffer.size()), ec);
        if (ec == asio::error::would_block || ec == asio::error::try_again) {
            waitReadable();
            return;
        }
        if (ec) {
            onEndOfInput();
            return;
        }
        receive({m_shared->readBuffer.data(), n});
        if (n < m_shared->readBuffer.size()) {
            waitReadable();
            return;
        }
    }
}

void EdgeConnection::receive(std::string_view bytes)
{
    if (m_state == State::Lingering || m_state == State::Closed) {
        return;
    }
    m_unparsed += bytes;
    if (m_state == State::Reading) {
        parse();
    }
}

void EdgeConnection::onEndOfInput()
{
    if (m_state != State::Closed) {
        closeOnClientLoss();
    }
}

void EdgeConnection::closeOnClientLoss()
{
    // Moved out first, because the hooks may destroy the request that owns them.
    const bool wasHandling = m_state == State::Handling;
    const std::function<void()> disconnected = std::exchange(m_onClientDisconnect, nullptr);
    const ResponseBodyHooks bodyHooks = std::exchange(m_bodyHooks, {});
    close();
    if (wasHandling && disconnected) {
        disconnected();
    }
    if (bodyHooks.clientLeft) {
        bodyHooks.clientLeft();
    }
}

void EdgeConnection::parse()
{
    // Re-entered if the handler responds synchronously. The outer call continues the loop.
    if (m_isParsing) {
        return;
    }
    m_isParsing = true;
    while (m_state == State::Reading && !m_unparsed.empty()) {
        if (!m_reader.hasBegun()) {
            m_reader.setLimits(m_shared->limits.message);
            m_lastProgress = steadyNow();
        }
        const bool hadHeader = m_reader.hasHeaders();
        const std::size_t used = m_reader.read(m_unparsed);
        m_unparsed.erase(0, used);
        if (m_reader.error()) {
            refuse(statusFor(*m_reader.error()));
            break;
        }
        if (m_reader.hasHeaders()) {
            if (!hadHeader) {
                onHeadersComplete();
            } else {
                m_lastProgress = steadyNow();
            }
            updateBufferedBytes();
        }
        if (m_state == State::Reading && m_reader.isComplete()) {
            onRequestComplete();
        } else if (used == 0) {
            break;
        }
    }
    m_isParsing = false;
}

void EdgeConnection::updateBufferedBytes()
{
    const std::size_t bufferedBytes = m_reader.bodyBytes() + m_unparsed.size() + m_body.size();
    m_shared->bufferedBytes += bufferedBytes;
    m_shared->bufferedBytes -= m_bufferedBytes;
    m_bufferedBytes = bufferedBytes;
}

void EdgeConnection::onHeadersComplete()
{
    m_lastProgress = steadyNow();
    if (m_shared->bufferedBytes > m_shared->maxBufferedBytes) {
        refuse(ServiceUnavailable);
        return;
    }
    if (!m_reader.isComplete() && !m_hasSentContinue && expectsContinue(m_reader.headers())) {
        m_hasSentContinue = true;
        std::error_code ec;
        // The few bytes normally fit into the empty send buffer. If they don't, the client sends its body anyway after a timeout.
        m_socket.write_some(asio::buffer(ContinueResponse), ec);
    }
}

void EdgeConnection::onRequestComplete()
{
    m_keepAlive = m_reader.allowsReuse();
    HttpRequest request = m_reader.takeRequest();
    m_isHeadRequest = request.method == "HEAD";
    m_isHttp11 = m_reader.isHttp11();
    if (!findHeader(request.headers, "Host")) {
        refuse(BadRequest);
        return;
    }
    ++m_shared->counts.requests;
    m_state = State::Handling;
    const std::uint64_t number = ++m_requestNumber;
    const std::weak_ptr<EdgeConnection> weak = weak_from_this();
    const HttpResponder respond(
        [weak, number](HttpResponse response) {
            if (const std::shared_ptr<EdgeConnection> self = weak.lock()) {
                self->sendResponse(number, std::move(response));
            }
        },
        [weak, number](std::function<void()> hook) {
            const std::shared_ptr<EdgeConnection> self = weak.lock();
            if (self && self->m_state == State::Handling && self->m_requestNumber == number) {
                self->m_onClientDisconnect = std::move(hook);
            }
        },
        [weak, number](const HttpResponse &head, std::optional<std::uint64_t> length, ResponseBodyHooks hooks) {
            const std::shared_ptr<EdgeConnection> self = weak.lock();
            return self ? self->beginBody(number, head, length, std::move(hooks)) : ResponseBody([](const std::string &) {}, [](bool) {});
        });
    m_shared->handler(std::move(request), respond);
}

void EdgeConnection::sendResponse(std::uint64_t request, HttpResponse response)
{
    if (m_state != State::Handling || request != m_requestNumber) {
        return;
    }
    m_onClientDisconnect = nullptr;
    m_keepAlive = m_keepAlive && !m_shared->isDraining;
    m_head = serializeHead(response, m_keepAlive ? ConnectionOption::KeepAlive : ConnectionOption::Close);
    m_body = m_isHeadRequest ? std::string() : std::move(response.body);
    m_sentBytes = 0;
    m_state = State::Writing;
    m_lastProgress = steadyNow();
    updateBufferedBytes();
    write();
}

ResponseBody EdgeConnection::beginBody(std::uint64_t request, const HttpResponse &head, std::optional<std::uint64_t> length, ResponseBodyHooks hooks)
{
    const std::weak_ptr<EdgeConnection> weak = weak_from_this();
    ResponseBody body(
        [weak, request](std::string bytes) {
            if (const std::shared_ptr<EdgeConnection> self = weak.lock()) {
                self->writeBodyPart(request, std::move(bytes));
            }
        },
        [weak, request](bool isWhole) {
            if (const std::shared_ptr<EdgeConnection> self = weak.lock()) {
                self->endBody(request, isWhole);
            }
        });
    if (m_state != State::Handling || request != m_requestNumber) {
        return body;
    }
    const BodyFraming unsized = m_isHttp11 ? BodyFraming::Chunks : BodyFraming::Connection;
    m_bodyFraming = length ? BodyFraming::Length : unsized;
    m_onClientDisconnect = nullptr;
    m_bodyHooks = std::move(hooks);
    m_keepAlive = m_keepAlive && !m_shared->isDraining && m_bodyFraming != BodyFraming::Connection;
    m_head = serializeStreamHead(head, *m_bodyFraming, length.value_or(0), m_keepAlive ? ConnectionOption::KeepAlive : ConnectionOption::Close);
    m_body.clear();
    m_sentBytes = 0;
    m_undrainedBytes = 0;
    m_state = State::Writing;
    m_lastProgress = steadyNow();
    write();
    return body;
}

bool EdgeConnection::awaitsBody(std::uint64_t request) const
{
    return m_state == State::Writing && request == m_requestNumber && m_bodyFraming;
}

void EdgeConnection::writeBodyPart(std::uint64_t request, std::string bytes)
{
    if (!awaitsBody(request)) {
        return;
    }
    // What has been sent is dropped, so that only unsent bytes are held.
    if (m_sentBytes >= m_head.size()) {
        m_body.erase(0, m_sentBytes - m_head.size());
        m_head.clear();
        m_sentBytes = 0;
    }
    if (m_undrainedBytes == 0) {
        m_lastProgress = steadyNow();
    }
    m_undrainedBytes += bytes.size();
    m_body += m_bodyFraming == BodyFraming::Chunks ? serializeChunk(bytes) : std::move(bytes);
    updateBufferedBytes();
    write();
}

void EdgeConnection::endBody(std::uint64_t request, bool isWhole)
{
    if (!awaitsBody(request)) {
        return;
    }
    const BodyFraming framing = *std::exchange(m_bodyFraming, std::nullopt);
    m_bodyHooks = {};
    if (!isWhole) {
        abortResponse();
        return;
    }
    if (framing == BodyFraming::Chunks) {
        m_body += LastChunk;
    }
    write();
}

void EdgeConnection::abortResponse()
{
    // A reset, because an orderly close completes a body without a length.
    std::error_code ec;
    m_socket.set_option(asio::socket_base::linger(true, 0), ec);
    close();
}

void EdgeConnection::reportDrained()
{
    const std::size_t n = std::exchange(m_undrainedBytes, 0);
    if (n == 0) {
        return;
    }
    // Posted, because the hook may write the next part, and this may be a call of writing the last one.
    asio::post(m_socket.get_executor(), [weak = weak_from_this(), request = m_requestNumber, n] {
        const std::shared_ptr<EdgeConnection> self = weak.lock();
        if (self && self->awaitsBody(request) && self->m_bodyHooks.drained) {
            const std::function<void(std::size_t)> drained = self->m_bodyHooks.drained;
            drained(n);
        }
    });
}

void EdgeConnection::refuse(int status)
{
    ++m_shared->counts.refused;
    HttpResponse response{.status = status, .headers = {}, .body = {}};
    if (status == ServiceUnavailable) {
        response.headers.push_back({"Retry-After", std::string(MemoryLimitRetryAfterSeconds)});
    }
    m_keepAlive = false;
    m_head = serializeHead(response, ConnectionOption::Close);
    m_body.clear();
    m_sentBytes = 0;
    m_state = State::Writing;
    m_lastProgress = steadyNow();
    write();
}

void EdgeConnection::write()
{
    while (m_state == State::Writing) {
        const std::size_t total = m_head.size() + m_body.size();
        if (m_sentBytes >= total) {
            reportDrained();
            if (!m_bodyFraming) {
                onResponseWritten();
            }
            return;
        }
        const std::size_t headSent = std::min(m_sentBytes, m_head.size());
        const std::size_t bodySent = m_sentBytes - headSent;
        const std::array<asio::const_buffer, 2> pieces{
            asio::buffer(m_head.data() + headSent, m_head.size() - headSent),
            asio::buffer(m_body.data() + bodySent, m_body.size() - bodySent),
        };
        std::error_code ec;
        const std::size_t n = m_socket.write_some(pieces, ec);
        if (ec == asio::error::would_block || ec == asio::error::try_again) {
            waitWritable();
            return;
        }
        if (ec) {
            closeOnClientLoss();
            return;
        }
        m_sentBytes += n;
        m_lastProgress = steadyNow();
    }
}

void EdgeConnection::waitWritable()
{
    if (std::exchange(m_isWritePending, true)) {
        return;
    }
    m_socket.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const std::error_code &ec) {
        self->m_isWritePending = false;
        if (!ec) {
            self->write();
        }
    });
}

void EdgeConnection::onResponseWritten()
{
    m_head = std::string();
    m_body = std::string();
    if (!m_keepAlive) {
        linger();
        return;
    }
    m_reader.reset();
    m_hasSentContinue = false;
    m_state = State::Reading;
    m_lastProgress = steadyNow();
    updateBufferedBytes();
    parse();
    if (m_state == State::Reading) {
        waitReadable();
    }
}

void EdgeConnection::linger()
{
    m_state = State::Lingering;
    m_lastProgress = steadyNow();
    m_unparsed = std::string();
    m_reader.reset();
    updateBufferedBytes();
    std::error_code ec;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    waitReadable();
}

void EdgeConnection::checkTimeouts(TimePoint now)
{
    const Duration age = now - m_lastProgress;
    const EdgeLimits &limits = m_shared->limits;
    switch (m_state) {
    case State::Reading:
        if (!m_reader.hasBegun()) {
            if (age > limits.idleTimeout) {
                close();
            }
        } else if (!m_reader.hasHeaders()) {
            if (age > limits.headerTimeout) {
                refuse(RequestTimeout);
            }
        } else if (age > limits.stallTimeout) {
            refuse(RequestTimeout);
        }
        return;
    case State::Writing:
        // While all parts that have arrived are sent, it is not the client that stalls.
        if (age > limits.stallTimeout && !(m_bodyFraming && m_undrainedBytes == 0)) {
            closeOnClientLoss();
        }
        return;
    case State::Lingering:
        if (age > LingerTimeout) {
            close();
        }
        return;
    case State::Handling:
    case State::Closed:
        return;
    }
}

void EdgeConnection::countBusy(EdgeBusyCounts &counts) const
{
    counts.reading += m_state == State::Reading && m_reader.hasBegun() ? 1 : 0;
    counts.handling += m_state == State::Handling ? 1 : 0;
    counts.writing += m_state == State::Writing ? 1 : 0;
}

void EdgeConnection::closeIfIdle()
{
    if (m_state == State::Reading && !m_reader.hasBegun()) {
        close();
    }
}

void EdgeConnection::close()
{
    if (m_state == State::Closed) {
        return;
    }
    m_state = State::Closed;
    std::error_code ec;
    m_socket.close(ec);
    m_unparsed = std::string();
    m_head = std::string();
    m_body = std::string();
    m_bodyFraming.reset();
    m_bodyHooks = {};
    m_reader.reset();
    updateBufferedBytes();
}

} // namespace banyankeel

#include "edge/edgeconnection.h"

#include "edge/httpmessagewriter.h"

#include <asio/buffer.hpp>

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
    const bool wasHandling = m_state == State::Handling;
    if (m_state == State::Closed) {
        return;
    }
    close();
    if (wasHandling) {
        // Moved out first, because the hook may destroy the request that owns it.
        if (const std::function<void()> hook = std::exchange(m_onClientDisconnect, nullptr)) {
            hook();
        }
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
            onResponseWritten();
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
            m_socket.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const std::error_code &failure) {
                if (!failure) {
                    self->write();
                }
            });
            return;
        }
        if (ec) {
            close();
            return;
        }
        m_sentBytes += n;
        m_lastProgress = steadyNow();
    }
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
        if (age > limits.stallTimeout) {
            close();
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
    m_reader.reset();
    updateBufferedBytes();
}

} // namespace banyankeel

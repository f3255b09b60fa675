#include "edge/pooledconnection.h"

#include "edge/httpmessagewriter.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace banyankeel
{

namespace
{
// TCP_USER_TIMEOUT: the kernel closes a connection whose peer, slow or unreachable, has accepted no data for this long.
constexpr int TcpUserTimeoutMilliseconds = 5'000;
// Fraction of the server's Keep-Alive timeout for which a connection is reused. The rest allows for timer differences and network latency.
constexpr double KeepAliveUseFraction = 0.6;

// A response that is written twice follows the first one after a few calls at most.
constexpr std::size_t MaxRepeatIds = 64;
// More interim responses and responses to other calls than a server has reason to send before the response to one call.
constexpr unsigned MaxSkippedResponses = 16;
// After as many full reads, other connections get their turn.
constexpr unsigned MaxReadsInARow = 16;

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// A body that is delivered in parts is not held as a whole, so its length is not limited.
HttpMessageLimits streamLimits(HttpMessageLimits limits)
{
    limits.bodyBytes = std::numeric_limits<std::size_t>::max();
    return limits;
}

/// The timeout parameter of a Keep-Alive header.
std::optional<std::chrono::seconds> keepAliveSeconds(std::string_view value)
{
    constexpr std::string_view Field = "timeout=";
    const std::size_t at = value.find(Field);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    value.remove_prefix(at + Field.size());
    unsigned seconds = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), seconds);
    if (ec != std::errc() || end == value.data()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}
} // namespace

PooledConnection::PooledConnection(asio::io_context &context, std::shared_ptr<PooledConnectionSharedState> shared, Duration idleTimeout)
    : m_socket(context)
    , m_shared(std::move(shared))
    , m_defaultIdleTimeout(idleTimeout)
    , m_idleTimeout(idleTimeout)
    , m_reader(HttpMessageKind::Response, m_shared->response)
    , m_call{}
{
}

void PooledConnection::connect(const Endpoint &server)
{
    const asio::ip::tcp::endpoint to(asio::ip::make_address(server.address()), server.port());
    m_socket.async_connect(to, [self = shared_from_this()](const std::error_code &ec) {
        if (self->m_state != State::Connecting) {
            return;
        }
        if (ec) {
            self->fail(Reason::ConnectionLost, "connect: " + ec.message());
            return;
        }
        std::error_code ignored;
        self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->m_socket.non_blocking(true, ignored);
        setsockopt(self->m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &TcpUserTimeoutMilliseconds, sizeof(TcpUserTimeoutMilliseconds));
        self->m_state = State::Idle;
        if (self->m_hasCall) {
            self->startCall();
        }
        self->waitReadable();
    });
}

void PooledConnection::send(PoolCallId id, PoolCall call)
{
    m_callId = id;
    m_hasCall = true;
    m_call = std::move(call);
    if (m_state == State::Idle) {
        startCall();
    }
}

void PooledConnection::startCall()
{
    m_state = State::Busy;
    m_skippedResponses = 0;
    if (!m_call.repeatId.empty()) {
        m_repeatIds.push_back(std::hash<std::string>{}(m_call.repeatId));
        if (m_repeatIds.size() > MaxRepeatIds) {
            m_repeatIds.pop_front();
        }
    }
    m_receivedAt.reset();
    m_hasWriteFailed = false;
    m_reader.reset();
    m_reader.setLimits(m_call.stream ? streamLimits(m_shared->response) : m_shared->response);
    m_isStreaming = false;
    m_streamCredit = m_call.stream ? static_cast<std::ptrdiff_t>(m_call.stream->initialCredit) : 0;
    m_isHeadRequest = m_call.request.method == "HEAD";
    if (m_isHeadRequest) {
        m_reader.expectNoBody();
    }
    m_head = serializeHead(m_call.request);
    m_sentBytes = 0;
    write();
}

bool PooledConnection::hasCarried(const std::string &repeatId) const
{
    return !repeatId.empty() && std::ranges::find(m_repeatIds, std::hash<std::string>{}(repeatId)) != m_repeatIds.end();
}

void PooledConnection::write()
{
    while (m_state == State::Busy) {
        const std::string &body = m_call.request.body;
        const std::size_t total = m_head.size() + body.size();
        if (m_sentBytes >= total) {
            return;
        }
        const std::size_t headSent = std::min(m_sentBytes, m_head.size());
        const std::size_t bodySent = m_sentBytes - headSent;
        const std::array<asio::const_buffer, 2> pieces{
            asio::buffer(m_head.data() + headSent, m_head.size() - headSent),
            asio::buffer(body.data() + bodySent, body.size() - bodySent),
        };
        std::error_code ec;
        const std::size_t n = m_socket.write_some(pieces, ec);
        if (ec == asio::error::would_block || ec == asio::error::try_again) {
            m_socket.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this(), call = m_callId](const std::error_code &failure) {
                if (!failure && self->m_hasCall && self->m_callId == call) {
                    self->write();
                }
            });
            return;
        }
        if (ec) {
            // The server may have responded before it closed the connection, so pending input is read first.
            m_hasWriteFailed = true;
            waitReadable();
            return;
        }
        m_sentBytes += n;
    }
}

void PooledConnection::waitReadable()
{
    if (m_isReadPending || m_state == State::Closed || (m_isStreaming && m_streamCredit <= 0)) {
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

void PooledConnection::readAvailable()
{
    const std::shared_ptr<PooledConnection> keep = shared_from_this();
    for (unsigned reads = 0; m_state != State::Closed; ++reads) {
        if (reads == MaxReadsInARow || (m_isStreaming && m_streamCredit <= 0)) {
            waitReadable();
            return;
        }
        std::error_code ec;
        const std::size_t n = m_socket.read_some(asio::buffer(m_shared->readBuffer.data(), m_shared->readBuffer.size()), ec);
        if (ec == asio::error::would_block || ec == asio::error::try_again) {
            waitReadable();
            return;
        }
        if (ec) {
            onEndOfInput(ec);
            return;
        }
        receive({m_shared->readBuffer.data(), n});
        if (n < m_shared->readBuffer.size()) {
            waitReadable();
            return;
        }
    }
}

void PooledConnection::receive(std::string_view bytes)
{
    if (m_state == State::Idle) {
        // These bytes belong to no request, and a later response could not be told apart from what follows them.
        ++m_shared->unmatchedResponses;
        close();
        return;
    }
    m_receivedAt = steadyNow();
    m_unparsed += bytes;
    while (m_state == State::Busy && !m_unparsed.empty()) {
        const std::size_t used = m_reader.read(m_unparsed);
        m_unparsed.erase(0, used);
        if (m_reader.error()) {
            fail(Reason::BodyIncomplete, "response is malformed or exceeds the size limits");
            return;
        }
        if (!m_reader.isComplete()) {
            deliverParts();
            return;
        }
        onResponseComplete();
    }
}

void PooledConnection::deliverParts()
{
    if (!m_call.stream || !m_reader.hasHeaders() || (!m_isStreaming && !beginsStream())) {
        return;
    }
    if (m_reader.bodyBytes() > 0) {
        std::string bytes = m_reader.takeBodyPart();
        m_streamCredit -= static_cast<std::ptrdiff_t>(bytes.size());
        m_call.stream->part(std::move(bytes));
    }
}

bool PooledConnection::beginsStream()
{
    const bool isLong = m_reader.bodyBytes() > StreamThresholdBytes || m_reader.bodyLength().value_or(0) > StreamThresholdBytes;
    if (!isLong || !isFinalStatus(m_reader.status())) {
        return false;
    }
    HttpResponse head{.status = m_reader.status(), .headers = m_reader.headers(), .body = {}};
    const bool isOther = (m_call.isAnswer && !m_call.isAnswer(head)) || (m_hasCarriedCall && m_call.isAmbiguous && m_call.isAmbiguous(head));
    if (isOther) {
        fail(Reason::BodyIncomplete, "long response that does not answer the request");
        return false;
    }
    m_isStreaming = true;
    m_call.stream->began(std::move(head), m_reader.bodyLength());
    return m_isStreaming;
}

void PooledConnection::grant(std::size_t bytes)
{
    m_streamCredit += static_cast<std::ptrdiff_t>(bytes);
    if (m_isStreaming) {
        waitReadable();
    }
}

void PooledConnection::onEndOfInput(const std::error_code &ec)
{
    if (m_state == State::Busy && m_reader.hasBegun()) {
        // A write that fails takes the socket's error, and the read after it ends like that of an orderly close.
        if (ec == asio::error::eof && !m_hasWriteFailed) {
            m_reader.finish();
            if (m_reader.isComplete()) {
                onResponseComplete();
            }
        }
        if (m_state == State::Busy) {
            fail(Reason::BodyIncomplete, "connection closed before the response was complete: " + ec.message());
            return;
        }
    }
    if (m_state == State::Busy) {
        fail(Reason::ConnectionLost, "connection closed before the response: " + ec.message());
        return;
    }
    close();
}

void PooledConnection::onResponseComplete()
{
    const bool allowsReuse = m_reader.allowsReuse();
    HttpResponse response = m_reader.takeResponse();
    const bool isFinal = isFinalStatus(response.status);
    m_reader.reset();
    if (m_isHeadRequest) {
        m_reader.expectNoBody();
    }
    if (!isFinal || (m_call.isAnswer && !m_call.isAnswer(response))) {
        m_shared->unmatchedResponses += isFinal ? 1 : 0;
        if (++m_skippedResponses > MaxSkippedResponses) {
            fail(Reason::BodyIncomplete, "too many responses that do not answer the request");
        }
        return;
    }
    if (m_hasCarriedCall && m_call.isAmbiguous && m_call.isAmbiguous(response)) {
        fail(Reason::TargetFailed, "response that may belong to an earlier request");
        return;
    }
    m_hasCarriedCall = true;
    const bool isRequestSent = m_sentBytes >= m_head.size() + m_call.request.body.size();
    updateIdleTimeout(response);
    const std::shared_ptr<PooledConnection> keep = shared_from_this();
    // Bytes after the response belong to no request. A server that responded early may still expect the rest of the request, which is no longer sent.
    if (!allowsReuse || !isRequestSent || !m_unparsed.empty()) {
        m_state = State::Closed;
        std::error_code ec;
        m_socket.close(ec);
        finishCall({std::move(response), RunState::Ran, Reason::None, {}});
        m_shared->onClosed(keep);
        return;
    }
    m_state = State::Idle;
    m_idleSince = steadyNow();
    m_head = std::string();
    m_shared->onIdle(keep);
    finishCall({std::move(response), RunState::Ran, Reason::None, {}});
}

void PooledConnection::updateIdleTimeout(const HttpResponse &response)
{
    m_idleTimeout = m_defaultIdleTimeout;
    if (const std::optional<std::string_view> value = findHeader(response.headers, "Keep-Alive")) {
        if (const std::optional<std::chrono::seconds> seconds = keepAliveSeconds(*value)) {
            m_idleTimeout = std::min(m_defaultIdleTimeout, std::chrono::duration_cast<Duration>(*seconds * KeepAliveUseFraction));
        }
    }
}

void PooledConnection::finishCall(HttpResult result)
{
    m_isStreaming = false;
    if (std::exchange(m_hasCall, false)) {
        m_call = PoolCall{};
        m_shared->onCallEnded(shared_from_this(), m_callId, std::move(result));
    }
}

void PooledConnection::abandon()
{
    m_hasCall = false;
    m_isStreaming = false;
    close();
}

void PooledConnection::fail(Reason reason, const std::string &detail)
{
    if (m_state == State::Closed) {
        return;
    }
    const RunState runState = m_state == State::Busy && m_sentBytes > 0 ? RunState::MayHaveRun : RunState::NotRun;
    const std::shared_ptr<PooledConnection> keep = shared_from_this();
    m_state = State::Closed;
    std::error_code ec;
    m_socket.close(ec);
    finishCall({std::nullopt, runState, reason, detail});
    m_shared->onClosed(keep);
}

void PooledConnection::close()
{
    if (m_state == State::Closed) {
        return;
    }
    m_state = State::Closed;
    std::error_code ec;
    m_socket.close(ec);
    m_shared->onClosed(shared_from_this());
}

} // namespace banyankeel

#pragma once

// One connection of an HttpConnectionPool.

#include "edge/httpconnectionpool.h"
#include "edge/httpmessagereader.h"

#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace banyankeel
{

class PooledConnection;

/// Callbacks and state shared by all connections of one pool. Outlives them.
struct PooledConnectionSharedState {
    std::function<void(const std::shared_ptr<PooledConnection> &connection, PoolCallId call, HttpResult result)> onCallEnded;
    /// The connection is idle and may be reused.
    std::function<void(const std::shared_ptr<PooledConnection> &connection)> onIdle;
    std::function<void(const std::shared_ptr<PooledConnection> &connection)> onClosed;
    std::span<char> readBuffer;
    HttpMessageLimits response;
    std::uint64_t unmatchedResponses = 0;
};

/// Connects, then sends calls one at a time. Not thread-safe.
class PooledConnection : public std::enable_shared_from_this<PooledConnection>
{
public:
    PooledConnection(asio::io_context &context, std::shared_ptr<PooledConnectionSharedState> shared, Duration idleTimeout);

    void connect(const Endpoint &server);
    /// @pre No call is in flight.
    void send(PoolCallId id, PoolCall call);
    /// Closes the connection without reporting a result for the call in flight.
    void abandon();
    /// Closes the connection and fails the call in flight, if any, with @p reason.
    void fail(Reason reason, const std::string &detail);
    void close();
    /// Permits @p bytes more of a body that is delivered in parts to be read.
    void grant(std::size_t bytes);

    /// Whether the response to the call in flight is being delivered in parts.
    [[nodiscard]] bool isStreaming() const
    {
        return m_isStreaming;
    }
    /// How long the connection may be idle and still be reused.
    [[nodiscard]] Duration idleTimeout() const
    {
        return m_idleTimeout;
    }
    /// When the last part of the response to the call in flight arrived; absent before the first one.
    [[nodiscard]] std::optional<TimePoint> receivedAt() const
    {
        return m_receivedAt;
    }
    /// Whether a recent call on this connection had this repeat id.
    [[nodiscard]] bool hasCarried(const std::string &repeatId) const;
    [[nodiscard]] TimePoint idleSince() const
    {
        return m_idleSince;
    }
    [[nodiscard]] bool isClosed() const
    {
        return m_state == State::Closed;
    }

private:
    enum class State : std::uint8_t {
        Connecting,
        Idle,
        Busy,
        Closed,
    };

    void startCall();
    void write();
    void waitReadable();
    void readAvailable();
    void receive(std::string_view bytes);
    void onEndOfInput(const std::error_code &ec);
    void onResponseComplete();
    /// Delivers the body bytes received so far if the response is delivered in parts.
    void deliverParts();
    /// Whether the response whose head has arrived belongs to the call in flight, and its body is long. Fails the call if such a body can't be skipped.
    [[nodiscard]] bool beginsStream();
    void finishCall(HttpResult result);
    void updateIdleTimeout(const HttpResponse &response);

    asio::ip::tcp::socket m_socket;
    std::shared_ptr<PooledConnectionSharedState> m_shared;
    Duration m_defaultIdleTimeout;
    Duration m_idleTimeout;
    HttpMessageReader m_reader;
    State m_state = State::Connecting;
    PoolCallId m_callId{};
    bool m_hasCall = false;
    PoolCall m_call;
    std::string m_head;
    std::size_t m_sentBytes = 0;
    /// Whether sending the request has failed, so that an end of the connection may be a reset.
    bool m_hasWriteFailed = false;
    std::string m_unparsed;
    bool m_isReadPending = false;
    bool m_isHeadRequest = false;
    TimePoint m_idleSince;
    std::optional<TimePoint> m_receivedAt;
    bool m_hasCarriedCall = false;
    unsigned m_skippedResponses = 0;
    bool m_isStreaming = false;
    /// Body bytes that may still be read; negative if one read returned more.
    std::ptrdiff_t m_streamCredit = 0;
    /// Hashes of repeat ids, oldest first; bounded.
    std::deque<std::size_t> m_repeatIds;
};

} // namespace banyankeel

#pragma once

// HTTP/1.1 client for one server with persistent connections, on the thread of an io_context.
//
//   HttpConnectionPool pool(context, {.server = endpoint}, {});
//   PoolCallId id = pool.send({.request = request, .timeLimit = 500ms}, [](HttpResult result) { ... });

#include "edge/httpmessagelimits.h"
#include "protocol/httpmessage.h"
#include "state/endpoint.h"
#include "state/time.h"
#include "transport/httpresult.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace asio
{
class io_context;
} // namespace asio

namespace banyankeel
{

struct HttpConnectionPoolSettings {
    Endpoint server;
    /// Calls that would need another connection fail immediately with RunState::NotRun.
    std::size_t maxConnections = 1024;
    HttpMessageLimits response;
    /// Connections that were idle for longer are not reused. A Keep-Alive timeout sent by the server can shorten it.
    Duration idleTimeout = std::chrono::seconds(4);
    /// The idle timeout for calls that must not be repeated. If the server closes an idle connection as the call is sent, it is unknown whether the
    /// call ran.
    Duration nonRepeatableIdleTimeout = std::chrono::seconds(1);
};

/// Receives a response whose body is longer than StreamThresholdBytes in parts.
struct ResponseStream {
    /// The response begins; its body is empty and follows. @param length of the whole body, if the server announced it.
    std::function<void(HttpResponse head, std::optional<std::uint64_t> length)> began;
    /// Further bytes of the body. The last ones come with the result, in the body of its response.
    std::function<void(std::string bytes)> part;
    /// Bytes that are read before the first grant().
    std::size_t initialCredit = 0;
};

inline constexpr std::size_t StreamThresholdBytes = std::size_t{64} * 1024;

struct PoolCall {
    HttpRequest request;
    /// Must be positive.
    Duration timeLimit;
    /// If positive, a response that has begun is not cut at the time limit while parts of it keep arriving within this time, up to MaxTimeLimitExtension.
    Duration stallLimit = Duration::zero();
    bool isRepeatable = true;
    /// Whether @p response belongs to this call. Responses that don't are skipped: if a server sends a response twice, the second one arrives where
    /// the response to the next call is expected. If unset, the first response is accepted.
    std::function<bool(const HttpResponse &response)> isAnswer = nullptr;
    /// Whether a response that isAnswer accepts may as well belong to an earlier call. On a connection that has carried other calls, such a response fails
    /// the call: it is unknown whether the call ran.
    std::function<bool(const HttpResponse &response)> isAmbiguous = nullptr;
    /// Equal in calls whose responses can't be told apart, such as repeats of a request. They are not sent over the same connection. May be empty.
    std::string repeatId = {};
    /// If set, a long response is delivered in parts, whatever its length.
    std::optional<ResponseStream> stream = std::nullopt;
};

/// Bounds how long a slow server can extend a call.
inline constexpr Duration MaxTimeLimitExtension = std::chrono::seconds(10);

/// Identifies a call in flight.
enum class PoolCallId : std::uint64_t {};

/// Totals since the pool was created.
struct HttpConnectionPoolCounts {
    std::uint64_t calls = 0;
    std::uint64_t connections = 0;
    /// Responses that no call was waiting for, or that isAnswer rejected.
    std::uint64_t unmatchedResponses = 0;

    friend auto operator<=>(const HttpConnectionPoolCounts &, const HttpConnectionPoolCounts &) = default;
};

/// All functions must be called, and all handlers run, on the thread of the io_context. A connection carries one call at a time; the most recently
/// used idle connection is reused first. A response is complete when its Content-Length or last chunk has arrived or, without either, when the
/// server closes the connection in an orderly way.
class HttpConnectionPool
{
public:
    /// Called once per call, unless the call is cancelled or the pool destroyed. Never called from within send().
    using Handler = std::function<void(HttpResult)>;

    HttpConnectionPool(asio::io_context &context, HttpConnectionPoolSettings settings);
    ~HttpConnectionPool();
    HttpConnectionPool(const HttpConnectionPool &) = delete;
    HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

    PoolCallId send(PoolCall call, Handler handler);
    /// Closes the call's connection, so that the server can detect the cancellation. The handler is not called. No effect if the call has ended.
    void cancel(PoolCallId call);
    /// Permits @p bytes more of a response that is delivered in parts to be read. No effect if the call has ended.
    void grant(PoolCallId call, std::size_t bytes);
    /// Closes all idle connections. Used when another server process has taken over the address.
    void closeIdle();
    /// Fails all calls with Reason::ConnectionLost and closes all connections.
    void reset();

    [[nodiscard]] std::size_t callsInFlight() const;
    [[nodiscard]] const HttpConnectionPoolCounts &counts() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace banyankeel

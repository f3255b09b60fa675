#pragma once

// HTTP/1.1 server on the thread of an io_context. Requests are delivered with complete bodies; responses are sent asynchronously on the same
// thread.
//
//   EdgeServer server(context, {.listen = endpoint}, [](HttpRequest request, const HttpResponder &respond) { respond({.status = 200}); });
//   server.start();

#include "edge/httpmessagelimits.h"
#include "protocol/httpmessage.h"
#include "state/endpoint.h"
#include "state/time.h"
#include "transport/httpresponder.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace asio
{
class io_context;
} // namespace asio

namespace banyankeel
{

/// Size limits and timeouts of client connections. Can be changed while the server runs.
struct EdgeLimits {
    HttpMessageLimits message;
    /// From the first byte of a request to the end of its headers. The server then responds with 408.
    Duration headerTimeout = std::chrono::seconds(3);
    /// Time without a request after which the connection is closed.
    Duration idleTimeout = std::chrono::seconds(60);
    /// Time without progress in a request body (then 408) or a response, after which the connection is closed.
    Duration stallTimeout = std::chrono::seconds(10);

    friend auto operator<=>(const EdgeLimits &, const EdgeLimits &) = default;
};

struct EdgeServerSettings {
    Endpoint listen;
    /// Connections above this number are closed immediately.
    std::size_t maxConnections = 1024;
    /// Limit of the bytes of requests and responses buffered by all connections together. Above it, requests are refused with 503 before their
    /// bodies are read.
    std::size_t maxBufferedBytes = std::size_t{64} * 1024 * 1024;
    /// Bytes read from a connection at once. The buffer belongs to the server, not to a connection.
    std::size_t readBufferBytes = std::size_t{64} * 1024;
};

/// Totals since the server was created.
struct EdgeCounts {
    std::uint64_t connections = 0;
    std::uint64_t requests = 0;
    /// Requests that the server refused itself with 4xx or with 503 at the memory limit, and connections closed at maxConnections.
    std::uint64_t refused = 0;

    friend auto operator<=>(const EdgeCounts &, const EdgeCounts &) = default;
};

/// Connections with a request whose response is not completely written, by what they wait for.
struct EdgeBusyCounts {
    /// The rest of a request.
    std::size_t reading = 0;
    /// The handler's response.
    std::size_t handling = 0;
    /// The client to read the response.
    std::size_t writing = 0;

    friend auto operator<=>(const EdgeBusyCounts &, const EdgeBusyCounts &) = default;
};

/// All functions must be called, and all callbacks run, on the thread of the io_context.
class EdgeServer
{
public:
    using Handler = std::function<void(HttpRequest request, const HttpResponder &respond)>;

    EdgeServer(asio::io_context &context, EdgeServerSettings settings, Handler handler);
    ~EdgeServer();
    EdgeServer(const EdgeServer &) = delete;
    EdgeServer &operator=(const EdgeServer &) = delete;

    /// Starts listening before it returns.
    /// @throws Error if listening on the address fails.
    void start();
    void setLimits(const EdgeLimits &limits);
    /// From now on, connections are closed after their next response. Idle connections are closed after idleTimeout.
    void startDraining();
    /// Accepts no further connections. Open connections are kept.
    void stopListening();
    /// Closes all connections.
    void stop();

    /// Number of connections with a request whose response is not completely written.
    [[nodiscard]] std::size_t busyConnections() const;
    [[nodiscard]] EdgeBusyCounts busyCounts() const;
    [[nodiscard]] std::size_t openConnections() const;
    /// Bytes of requests and responses that all connections hold.
    [[nodiscard]] std::size_t bufferedBytes() const;
    [[nodiscard]] const EdgeCounts &counts() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace banyankeel

#pragma once

// The HTTP edge of a process: takes requests with whole bodies and answers them later, from any thread.
//
//   HttpServer server({.listen = Endpoint::parse("127.0.0.1:8080")}, [](HttpRequest request, HttpResponder respond) {
//       respond({.status = 200, .headers = {}, .body = "hello"});
//   });
//   server.start();

#include "protocol/httpmessage.h"
#include "state/endpoint.h"
#include "state/time.h"
#include "transport/httpresponder.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace banyankeel
{

struct HttpServerSettings {
    Endpoint listen;
    unsigned threads = 2;
    /// A request with a longer body is answered with 413 and its connection closed; one of over twice this length is cut off unanswered.
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    /// Further ones are closed at once.
    std::size_t maxConnections = 1024;
    /// How long a connection may stay without a request, and a response without being taken.
    Duration idleLimit = std::chrono::seconds(60);
};

/// Serves HTTP/1.1 with keep-alive over RESTinio.
class HttpServer
{
public:
    /// Called on one of the server's threads; must not block. Each responder must be called sooner or later, unless its client has left.
    using Handler = std::function<void(HttpRequest request, HttpResponder respond)>;

    HttpServer(HttpServerSettings settings, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Listens before it returns.
    /// @throws Error if the address can't be listened on.
    void start();
    /// Takes no further connections; those that are open and their answers go on.
    void stopListening();
    /// Ends all connections and threads. Waits for running handlers.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyankeel

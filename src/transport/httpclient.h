#pragma once

// Sends HTTP requests over kept connections and hands back whole responses.
//
//   HttpClient client({});
//   client.send({.server = target, .request = request, .timeLimit = 500ms}, [](HttpResult result) { ... });

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

namespace banyankeel
{

struct HttpClientSettings {
    /// Over all servers; further requests wait within their time limit.
    std::size_t maxConnections = 630;
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    /// Of a response, with those of interim responses before it and the trailers after it.
    std::size_t maxHeadBytes = std::size_t{64} * 1024;
};

struct HttpCall {
    Endpoint server;
    HttpRequest request;
    /// Above zero.
    Duration timeLimit;
};

/// Identifies a call under way.
enum class HttpCallId : std::uint64_t {};

/// libcurl's multi interface on a thread of its own. All functions may be called from any thread.
class HttpClient
{
public:
    /// Called once for each call, on the client's thread; must not block.
    using Handler = std::function<void(HttpResult)>;

    explicit HttpClient(HttpClientSettings settings);
    /// Ends calls under way with Cancelled.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// A response counts as whole only when its announced length or last chunk arrived.
    HttpCallId send(HttpCall call, Handler handler);
    /// Closes the call's connection, so that the server can see it. No effect on an ended call.
    void cancel(HttpCallId call);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyankeel

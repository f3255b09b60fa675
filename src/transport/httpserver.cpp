#include "transport/httpserver.h"

#include "state/errors.h"
#include "transport/connectionregistry.h"

// RESTinio takes long to compile, so that no other source includes it.
#include <restinio/http_server.hpp>

#include <array>
#include <atomic>
#include <future>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

namespace banyankeel
{

namespace
{
constexpr std::size_t MaxTargetBytes = std::size_t{16} * 1024;
constexpr std::size_t MaxHeaderNameBytes = 256;
constexpr std::size_t MaxHeaderValueBytes = std::size_t{16} * 1024;
constexpr std::size_t MaxHeaderCount = 128;
constexpr std::size_t ReadBufferBytes = std::size_t{16} * 1024;

// Callers and targets set deadlines of their own; this one only frees connections whose responder was forgotten.
constexpr auto HandlingLimit = std::chrono::hours(1);

// While a request is handled, the next one is read already; else a client that closes its connection would not be noticed.
constexpr std::size_t MaxPipelinedRequests = 2;

// RESTinio cuts a connection off without an answer once a body passes its limit. Bodies up to this many times our own limit
// are taken, so that their senders get a proper answer.
constexpr std::size_t AnsweredOversize = 2;

/// Tells the registry of connections that open and close.
class ConnectionListener
{
public:
    explicit ConnectionListener(std::shared_ptr<ConnectionRegistry> registry)
        : m_registry(std::move(registry))
    {
    }

    // RESTinio gives the name.
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept // NOLINT(readability-identifier-naming)
    {
        const auto cause = notice.cause();
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(cause)) {
            m_registry->opened(notice.connection_id());
        } else {
            m_registry->closed(notice.connection_id());
        }
    }

private:
    std::shared_ptr<ConnectionRegistry> m_registry;
};

/// Refuses connections over the limit. RESTinio's own limiter must not be used: its connections refer to it when they end,
/// which may be after the server has ended.
class ConnectionLimiter
{
public:
    ConnectionLimiter(std::shared_ptr<ConnectionRegistry> registry, std::size_t maxConnections)
        : m_registry(std::move(registry))
        , m_maxConnections(maxConnections)
    {
    }

    restinio::ip_blocker::inspection_result_t inspect(const restinio::ip_blocker::incoming_info_t & /*info*/) noexcept
    {
        return m_registry->count() < m_maxConnections ? restinio::ip_blocker::allow() : restinio::ip_blocker::deny();
    }

private:
    std::shared_ptr<ConnectionRegistry> m_registry;
    std::size_t m_maxConnections;
};

struct ServerTraits : restinio::default_traits_t {
    using connection_state_listener_t = ConnectionListener;
    using ip_blocker_t = ConnectionLimiter;
};

using RestinioServer = restinio::http_server_t<ServerTraits>;

struct StatusPhrase {
    int status;
    const char *phrase;
};

constexpr std::array StatusPhrases{
    StatusPhrase{200, "OK"},
    StatusPhrase{201, "Created"},
    StatusPhrase{202, "Accepted"},
    StatusPhrase{204, "No Content"},
    StatusPhrase{304, "Not Modified"},
    StatusPhrase{400, "Bad Request"},
    StatusPhrase{401, "Unauthorized"},
    StatusPhrase{403, "Forbidden"},
    StatusPhrase{404, "Not Found"},
    StatusPhrase{405, "Method Not Allowed"},
    StatusPhrase{409, "Conflict"},
    StatusPhrase{413, "Content Too Large"},
    StatusPhrase{422, "Unprocessable Content"},
    StatusPhrase{429, "Too Many Requests"},
    StatusPhrase{500, "Internal Server Error"},
    StatusPhrase{502, "Bad Gateway"},
    StatusPhrase{503, "Service Unavailable"},
    StatusPhrase{504, "Gateway Timeout"},
};

std::string phraseOf(int status)
{
    for (const StatusPhrase &it : StatusPhrases) {
        if (it.status == status) {
            return it.phrase;
        }
    }
    return "Status";
}

// The framing of a response belongs to this connection, whatever the response was framed by where it came from.
bool isFramingHeader(const std::string &name)
{
    constexpr std::array<const char *, 5> Names{"Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive", "Trailer"};
    for (const char *it : Names) {
        if (strcasecmp(it, name.c_str()) == 0) {
            return true;
        }
    }
    return false;
}

bool hasNoBody(int status)
{
    return status == 204 || status == 304;
}

HttpRequest takeRequest(const restinio::request_t &request)
{
    HttpRequest taken;
    taken.method = request.header().method().c_str();
    taken.target = request.header().request_target();
    taken.headers.reserve(request.header().fields_count());
    request.header().for_each_field([&taken](const auto &field) { taken.headers.push_back({field.name(), field.value()}); });
    taken.body = request.body();
    return taken;
}

/// One request that waits for its response. Keeps the reactor alive, since the connection that it holds refers to it.
class PendingResponse
{
public:
    PendingResponse(std::shared_ptr<asio::io_context> context, std::shared_ptr<ConnectionRegistry> registry, restinio::request_handle_t request)
        : m_context(std::move(context))
        , m_registry(std::move(registry))
        , m_connection(request->connection_id())
        , m_request(std::move(request))
    {
    }

    ~PendingResponse()
    {
        unwatch();
    }

    PendingResponse(const PendingResponse &) = delete;
    PendingResponse &operator=(const PendingResponse &) = delete;

    void whenClientLeaves(std::function<void()> hook)
    {
        m_isWatched = true;
        m_registry->watch(m_connection, watcherId(), std::move(hook));
        if (m_isAnswered) {
            unwatch();
        }
    }

    void respond(HttpResponse response)
    {
        if (!m_isAnswered.exchange(true)) {
            unwatch();
            write(std::move(response), m_request->header().should_keep_alive());
        }
    }

    void respondAndClose(HttpResponse response)
    {
        if (!m_isAnswered.exchange(true)) {
            unwatch();
            write(std::move(response), false);
        }
    }

private:
    [[nodiscard]] ConnectionRegistry::WatcherId watcherId() const
    {
        return reinterpret_cast<ConnectionRegistry::WatcherId>(this);
    }

    void unwatch()
    {
        if (m_isWatched) {
            m_registry->unwatch(m_connection, watcherId());
        }
    }

    void write(HttpResponse response, bool keepsAlive)
    {
        const restinio::http_status_code_t code(static_cast<std::uint16_t>(response.status));
        auto builder = m_request->create_response(restinio::http_status_line_t(code, phraseOf(response.status)));
        for (HttpHeader &header : response.headers) {
            if (!isFramingHeader(header.name)) {
                builder.append_header(std::move(header.name), std::move(header.value));
            }
        }
        if (keepsAlive) {
            builder.connection_keep_alive();
        } else {
            builder.connection_close();
        }
        const bool isHead = m_request->header().method() == restinio::http_method_head();
        if (!isHead && !hasNoBody(response.status)) {
            builder.set_body(std::move(response.body));
        }
        builder.done();
        m_request.reset();
    }

    std::shared_ptr<asio::io_context> m_context;
    std::shared_ptr<ConnectionRegistry> m_registry;
    restinio::connection_id_t m_connection;
    restinio::request_handle_t m_request;
    std::atomic<bool> m_isAnswered = false;
    std::atomic<bool> m_isWatched = false;
};
} // namespace

class HttpServer::Impl
{
public:
    Impl(HttpServerSettings settings, Handler handler)
        : m_settings(std::move(settings))
        , m_handler(std::move(handler))
        , m_context(std::make_shared<asio::io_context>(static_cast<int>(m_settings.threads)))
    {
    }

    void start()
    {
        try {
            m_server = std::make_unique<RestinioServer>(restinio::external_io_context(*m_context), serverSettings());
            m_server->open_sync();
        } catch (const std::exception &it) {
            throw Error("http server: can't listen on " + m_settings.listen.text() + ": " + it.what());
        }
        m_isListening = true;
        for (unsigned n = 0; n < m_settings.threads; ++n) {
            m_threads.emplace_back([this] { m_context->run(); });
        }
    }

    void stopListening()
    {
        if (!m_isListening.exchange(false)) {
            return;
        }
        if (m_context->get_executor().running_in_this_thread()) {
            m_server->close_async([] {}, [](const std::exception_ptr &) {});
            return;
        }
        const auto closed = std::make_shared<std::promise<void>>();
        m_server->close_async([closed] { closed->set_value(); }, [closed](const std::exception_ptr &) { closed->set_value(); });
        closed->get_future().wait();
    }

    void stop()
    {
        stopListening();
        m_work.reset();
        m_context->stop();
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
        m_registry->clear();
        m_server.reset();
    }

private:
    restinio::server_settings_t<ServerTraits> serverSettings()
    {
        const auto address = asio::ip::make_address(m_settings.listen.address());
        restinio::server_settings_t<ServerTraits> settings;
        settings.address(address)
            .port(m_settings.listen.port())
            .protocol(address.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4())
            .buffer_size(ReadBufferBytes)
            .max_pipelined_requests(MaxPipelinedRequests)
            .connection_state_listener(std::make_shared<ConnectionListener>(m_registry))
            .ip_blocker(std::make_shared<ConnectionLimiter>(m_registry, m_settings.maxConnections))
            .read_next_http_message_timelimit(m_settings.idleLimit)
            .write_http_response_timelimit(m_settings.idleLimit)
            .handle_request_timeout(HandlingLimit)
            .incoming_http_msg_limits(messageLimits())
            .socket_options_setter([](auto &options) { options.set_option(asio::ip::tcp::no_delay(true)); })
            .request_handler([this](const restinio::request_handle_t &request) { return handle(request); });
        return settings;
    }

    restinio::incoming_http_msg_limits_t messageLimits() const
    {
        restinio::incoming_http_msg_limits_t limits;
        limits.max_url_size(MaxTargetBytes)
            .max_field_name_size(MaxHeaderNameBytes)
            .max_field_value_size(MaxHeaderValueBytes)
            .max_field_count(MaxHeaderCount)
            .max_body_size(AnsweredOversize * m_settings.maxBodyBytes);
        return limits;
    }

    restinio::request_handling_status_t handle(const restinio::request_handle_t &request)
    {
        const auto pending = std::make_shared<PendingResponse>(m_context, m_registry, request);
        if (request->body().size() > m_settings.maxBodyBytes) {
            pending->respondAndClose({.status = 413, .headers = {}, .body = "the body is too long\n"});
            return restinio::request_accepted();
        }
        const HttpResponder responder([pending](HttpResponse response) { pending->respond(std::move(response)); },
                                      [pending](std::function<void()> hook) { pending->whenClientLeaves(std::move(hook)); });
        m_handler(takeRequest(*request), responder);
        return restinio::request_accepted();
    }

    HttpServerSettings m_settings;
    Handler m_handler;
    std::shared_ptr<ConnectionRegistry> m_registry = std::make_shared<ConnectionRegistry>();
    std::shared_ptr<asio::io_context> m_context;
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> m_work{asio::make_work_guard(*m_context)};
    std::unique_ptr<RestinioServer> m_server;
    std::atomic<bool> m_isListening = false;
    std::vector<std::thread> m_threads;
};

HttpServer::HttpServer(HttpServerSettings settings, Handler handler)
{
    if (settings.threads == 0) {
        throw ValueError("http server: field threads: 0 found, 1 or more allowed");
    }
    m_impl = std::make_unique<Impl>(std::move(settings), std::move(handler));
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::start()
{
    m_impl->start();
}

void HttpServer::stopListening()
{
    m_impl->stopListening();
}

void HttpServer::stop()
{
    m_impl->stop();
}

} // namespace banyankeel

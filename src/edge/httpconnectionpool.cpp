#include "edge/httpconnectionpool.h"

#include "edge/pooledconnection.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace banyankeel
{

namespace
{
// A body in parts goes on after the time limit while its receiver takes parts within this time.
constexpr Duration StreamStallLimit = std::chrono::seconds(3);
constexpr std::size_t ReadBufferBytes = std::size_t{32} * 1024;

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}
} // namespace

class HttpConnectionPool::Impl : public std::enable_shared_from_this<HttpConnectionPool::Impl>
{
public:
    using ConnectionPointer = std::shared_ptr<PooledConnection>;

    Impl(asio::io_context &context, HttpConnectionPoolSettings settings)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_timer(context)
        , m_shared(std::make_shared<PooledConnectionSharedState>())
        , m_readBuffer(ReadBufferBytes)
    {
        m_shared->readBuffer = m_readBuffer;
        m_shared->response = m_settings.response;
    }

    void start()
    {
        const std::weak_ptr<Impl> weak = weak_from_this();
        m_shared->onCallEnded = [weak](const ConnectionPointer & /*connection*/, PoolCallId id, HttpResult result) {
            if (const std::shared_ptr<Impl> self = weak.lock()) {
                self->onCallEnded(id, std::move(result));
            }
        };
        m_shared->onIdle = [weak](const ConnectionPointer &connection) {
            if (const std::shared_ptr<Impl> self = weak.lock()) {
                self->m_idleConnections.push_back(connection);
            }
        };
        m_shared->onClosed = [weak](const ConnectionPointer &connection) {
            if (const std::shared_ptr<Impl> self = weak.lock()) {
                self->onClosed(connection);
            }
        };
    }

    PoolCallId send(PoolCall call, Handler handler)
    {
        const auto id = static_cast<PoolCallId>(++m_lastCallId);
        ++m_counts.calls;
        const ConnectionPointer connection = takeConnection(call);
        if (!connection) {
            asio::post(m_context, [handler = std::move(handler)] {
                handler({std::nullopt, RunState::NotRun, Reason::ConnectionLost, "connection limit of the pool reached"});
            });
            return id;
        }
        const TimePoint deadline = steadyNow() + call.timeLimit;
        m_calls.emplace(id, Call{connection, std::move(handler), m_deadlines.emplace(deadline, id), call.stallLimit, deadline + MaxTimeLimitExtension});
        connection->send(id, std::move(call));
        armTimer();
        return id;
    }

    void cancel(PoolCallId id)
    {
        const auto it = m_calls.find(id);
        if (it == m_calls.end()) {
            return;
        }
        const ConnectionPointer connection = it->second.connection;
        m_deadlines.erase(it->second.deadline);
        m_calls.erase(it);
        connection->abandon();
    }

    void grant(PoolCallId id, std::size_t bytes)
    {
        const auto it = m_calls.find(id);
        if (it != m_calls.end()) {
            it->second.connection->grant(bytes);
        }
    }

    void closeIdle()
    {
        closeIdle(m_idleConnections.size());
    }

    void reset()
    {
        closeIdle();
        for (const ConnectionPointer &it : std::vector<ConnectionPointer>(m_connections)) {
            it->fail(Reason::ConnectionLost, "connection pool reset");
        }
    }

    void shutDown()
    {
        m_timer.cancel();
        m_calls.clear();
        m_deadlines.clear();
        m_idleConnections.clear();
        for (const ConnectionPointer &it : std::exchange(m_connections, {})) {
            it->abandon();
        }
    }

    [[nodiscard]] std::size_t callsInFlight() const
    {
        return m_calls.size();
    }

    [[nodiscard]] const HttpConnectionPoolCounts &counts()
    {
        m_counts.unmatchedResponses = m_shared->unmatchedResponses;
        return m_counts;
    }

private:
    using Deadlines = std::multimap<TimePoint, PoolCallId>;

    struct Call {
        ConnectionPointer connection;
        Handler handler;
        Deadlines::iterator deadline;
        Duration stallLimit;
        TimePoint latestDeadline;
    };

    /// Closes the @p count connections that have been idle the longest.
    void closeIdle(std::size_t count)
    {
        const auto end = m_idleConnections.begin() + static_cast<std::ptrdiff_t>(count);
        const std::vector<ConnectionPointer> closed(m_idleConnections.begin(), end);
        m_idleConnections.erase(m_idleConnections.begin(), end);
        for (const ConnectionPointer &it : closed) {
            it->close();
        }
    }

    ConnectionPointer takeConnection(const PoolCall &call)
    {
        const TimePoint now = steadyNow();
        for (std::size_t n = m_idleConnections.size(); n > 0; --n) {
            ConnectionPointer connection = m_idleConnections[n - 1];
            const Duration idle = now - connection->idleSince();
            if (idle > connection->idleTimeout()) {
                // The list is in order of last use, so all connections before this one have been idle even longer.
                closeIdle(n);
                break;
            }
            if (!call.isRepeatable && idle > m_settings.nonRepeatableIdleTimeout) {
                break;
            }
            if (!connection->hasCarried(call.repeatId)) {
                m_idleConnections.erase(m_idleConnections.begin() + static_cast<std::ptrdiff_t>(n - 1));
                return connection;
            }
        }
        if (m_connections.size() >= m_settings.maxConnections) {
            return nullptr;
        }
        ++m_counts.connections;
        auto connection = std::make_shared<PooledConnection>(m_context, m_shared, m_settings.idleTimeout);
        m_connections.push_back(connection);
        connection->connect(m_settings.server);
        return connection;
    }

    void onCallEnded(PoolCallId id, HttpResult result)
    {
        const auto it = m_calls.find(id);
        if (it == m_calls.end()) {
            return;
        }
        const Handler handler = std::move(it->second.handler);
        m_deadlines.erase(it->second.deadline);
        m_calls.erase(it);
        handler(std::move(result));
    }

    void onClosed(const ConnectionPointer &connection)
    {
        std::erase(m_idleConnections, connection);
        std::erase(m_connections, connection);
    }

    void armTimer()
    {
        if (m_deadlines.empty()) {
            return;
        }
        const TimePoint next = m_deadlines.begin()->first;
        if (m_timerExpiry && *m_timerExpiry <= next) {
            return;
        }
        m_timerExpiry = next;
        m_timer.expires_at(std::chrono::steady_clock::time_point(std::chrono::duration_cast<std::chrono::steady_clock::duration>(next.time_since_epoch())));
        m_timer.async_wait([self = shared_from_this()](const std::error_code &ec) {
            if (!ec) {
                self->m_timerExpiry.reset();
                self->expireCalls();
                self->armTimer();
            }
        });
    }

    /// The time until which a call whose time limit has passed may go on.
    [[nodiscard]] static TimePoint extendedDeadline(const Call &call)
    {
        const std::optional<TimePoint> receivedAt = call.connection->receivedAt();
        const Duration stallLimit = call.connection->isStreaming() ? std::max(call.stallLimit, StreamStallLimit) : call.stallLimit;
        return receivedAt ? std::min(*receivedAt + stallLimit, call.latestDeadline) : TimePoint::min();
    }

    void expireCalls()
    {
        const TimePoint now = steadyNow();
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
            const PoolCallId id = m_deadlines.begin()->second;
            Call &call = m_calls.at(id);
            if (const TimePoint extended = extendedDeadline(call); extended > now) {
                m_deadlines.erase(call.deadline);
                call.deadline = m_deadlines.emplace(extended, id);
                continue;
            }
            const ConnectionPointer connection = call.connection;
            connection->fail(Reason::DeadlineExpired, "no response within the time limit");
        }
    }

    asio::io_context &m_context;
    HttpConnectionPoolSettings m_settings;
    asio::steady_timer m_timer;
    std::shared_ptr<PooledConnectionSharedState> m_shared;
    std::vector<char> m_readBuffer;
    std::vector<ConnectionPointer> m_connections;
    /// In order of last use, most recent last.
    std::vector<ConnectionPointer> m_idleConnections;
    std::unordered_map<PoolCallId, Call> m_calls;
    Deadlines m_deadlines;
    std::optional<TimePoint> m_timerExpiry;
    std::uint64_t m_lastCallId = 0;
    HttpConnectionPoolCounts m_counts;
};

HttpConnectionPool::HttpConnectionPool(asio::io_context &context, HttpConnectionPoolSettings settings)
    : m_impl(std::make_shared<Impl>(context, std::move(settings)))
{
    m_impl->start();
}

HttpConnectionPool::~HttpConnectionPool()
{
    m_impl->shutDown();
}

PoolCallId HttpConnectionPool::send(PoolCall call, Handler handler)
{
    return m_impl->send(std::move(call), std::move(handler));
}

void HttpConnectionPool::cancel(PoolCallId call)
{
    m_impl->cancel(call);
}

void HttpConnectionPool::grant(PoolCallId call, std::size_t bytes)
{
    m_impl->grant(call, bytes);
}

void HttpConnectionPool::closeIdle()
{
    m_impl->closeIdle();
}

void HttpConnectionPool::reset()
{
    m_impl->reset();
}

std::size_t HttpConnectionPool::callsInFlight() const
{
    return m_impl->callsInFlight();
}

const HttpConnectionPoolCounts &HttpConnectionPool::counts() const
{
    return m_impl->counts();
}

} // namespace banyankeel

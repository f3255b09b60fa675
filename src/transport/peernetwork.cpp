#include "transport/peernetwork.h"

#include "state/errors.h"
#include "transport/peerconnection.h"
#include "transport/peerhello.h"
#include "transport/peerlink.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <algorithm>
#include <random>
#include <thread>
#include <unordered_map>
#include <unordered_set>

namespace banyankeel
{

namespace
{
constexpr std::size_t MinSecretBytes = 16;
// The length of a frame has 4 bytes.
constexpr std::size_t HighestFrameBytes = 0xffff'ffff;
constexpr Duration ShortestSweep = std::chrono::milliseconds(5);
constexpr Duration LongestSweep = std::chrono::milliseconds(500);
// Two nodes that connect to each other at the same time both keep their connections.
constexpr Duration ConnectRace = std::chrono::seconds(1);
// When the process has no descriptor left, accepting would fail at once again.
constexpr Duration AcceptPause = std::chrono::milliseconds(100);

void check(const PeerNetworkSettings &settings)
{
    if (settings.secret.size() < MinSecretBytes) {
        throw ValueError("peer network: field secret: " + std::to_string(settings.secret.size()) + " bytes found, 16 or more allowed");
    }
    // Checked here rather than at the first connection.
    static_cast<void>(PeerHello(HelloRole::Connector, settings.self, settings.secret));
    if (settings.threads == 0) {
        throw ValueError("peer network: field threads: 0 found, 1 or more allowed");
    }
    if (settings.maxFrameBytes == 0 || settings.maxFrameBytes > HighestFrameBytes) {
        throw ValueError("peer network: field max frame bytes: " + std::to_string(settings.maxFrameBytes) + " found, 1 to 4294967295 allowed");
    }
    if (settings.shortestReconnect <= Duration::zero() || settings.longestReconnect < settings.shortestReconnect) {
        throw ValueError("peer network: field longest reconnect: must not be below the shortest one, which must be above zero");
    }
}

asio::ip::tcp::endpoint addressOf(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address()), endpoint.port()};
}
} // namespace

class PeerNetwork::Impl
{
public:
    using ConnectionPointer = std::shared_ptr<PeerConnection>;

    /// @param external the context to run on; null for one of its own with threads.
    Impl(asio::io_context *external, PeerNetworkSettings settings, PeerNetworkHooks hooks);

    void start();
    SendResult send(const Endpoint &to, Envelope envelope);
    void drop(const Endpoint &peer, const std::string &reason);
    void stop();

    [[nodiscard]] std::size_t connectionCount()
    {
        const std::scoped_lock lock(m_mutex);
        return m_connections.size();
    }
    [[nodiscard]] std::uint64_t sentBytes() const
    {
        return m_sentBytes;
    }

private:
    using Strand = asio::strand<asio::io_context::executor_type>;

    void accept();
    void accepted(asio::ip::tcp::socket socket);
    ConnectionPointer connectionTo(const Endpoint &endpoint);
    SendResult sendToSelf(Envelope envelope);
    void handOn(const Peer &from, Envelope envelope);

    std::string helloAccepted(const ConnectionPointer &connection);
    std::vector<ConnectionPointer> olderIncarnations(const ConnectionPointer &connection, bool &isOutdated);
    void ended(const ConnectionPointer &connection, ConnectionEnd end, const std::string &problem, const std::vector<Envelope> &unsent);
    void forget(const ConnectionPointer &connection, ConnectionEnd end);
    [[nodiscard]] bool isReachable(const Endpoint &peer);
    [[nodiscard]] bool isLoss(const ConnectionPointer &connection, ConnectionEnd end);
    Duration reconnectDelay(unsigned failures);

    void sweep();
    void checkLimits();

    const PeerNetworkSettings m_settings;
    const PeerNetworkHooks m_hooks;
    const PeerConnectionHooks m_connectionHooks;
    std::atomic<std::uint64_t> m_sentBytes = 0;
    std::atomic<std::size_t> m_loopBytes = 0;
    std::atomic<bool> m_isRunning = false;

    // Destroyed after all that refers to it.
    const std::unique_ptr<asio::io_context> m_ownContext;
    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    asio::steady_timer m_sweepTimer;
    Strand m_loop;
    std::vector<std::thread> m_threads;

    // Taken before the mutex of a connection, never after it, and not held while hooks run.
    std::mutex m_mutex;
    std::unordered_set<ConnectionPointer> m_connections;
    std::unordered_map<Endpoint, PeerLink> m_links;
    std::mt19937_64 m_random{std::random_device{}()};
};

PeerNetwork::Impl::Impl(asio::io_context *external, PeerNetworkSettings settings, PeerNetworkHooks hooks)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_connectionHooks{
          .accepted = [this](const ConnectionPointer &connection) { return helloAccepted(connection); },
          .message = [this](const Peer &from, Envelope envelope) { handOn(from, std::move(envelope)); },
          .ended =
              [this](const ConnectionPointer &connection, ConnectionEnd end, const std::string &problem, const std::vector<Envelope> &unsent) {
                  ended(connection, end, problem, unsent);
              },
      }
    , m_ownContext(external == nullptr ? std::make_unique<asio::io_context>(static_cast<int>(m_settings.threads)) : nullptr)
    , m_context(external == nullptr ? *m_ownContext : *external)
    , m_acceptor(m_context)
    , m_acceptTimer(m_context)
    , m_sweepTimer(m_context)
    , m_loop(asio::make_strand(m_context))
{
}

void PeerNetwork::Impl::start()
{
    const asio::ip::tcp::endpoint address = addressOf(m_settings.self.endpoint);
    try {
        m_acceptor.open(address.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(address);
        m_acceptor.listen();
    } catch (const std::system_error &it) {
        throw Error("peer network: can't listen on " + m_settings.self.endpoint.text() + ": " + it.what());
    }
    m_isRunning = true;
    accept();
    sweep();
    for (unsigned n = 0; m_ownContext && n < m_settings.threads; ++n) {
        m_threads.emplace_back([this] { m_context.run(); });
    }
}

void PeerNetwork::Impl::stop()
{
    m_isRunning = false;
    std::error_code ec;
    m_acceptor.close(ec);
    m_acceptTimer.cancel();
    m_sweepTimer.cancel();
    if (m_ownContext) {
        m_ownContext->stop();
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    const std::scoped_lock lock(m_mutex);
    if (!m_ownContext) {
        // The context goes on, and ends them one by one.
        for (const ConnectionPointer &it : m_connections) {
            it->close(ConnectionEnd::Replaced, "stopped");
        }
        return;
    }
    m_links.clear();
    m_connections.clear();
}

SendResult PeerNetwork::Impl::send(const Endpoint &to, Envelope envelope)
{
    if (!m_isRunning || envelope.payload.size() > m_settings.maxFrameBytes) {
        return SendResult::Refused;
    }
    if (to == m_settings.self.endpoint) {
        return sendToSelf(std::move(envelope));
    }
    const ConnectionPointer connection = connectionTo(to);
    return connection ? connection->send(std::move(envelope)) : SendResult::Refused;
}

SendResult PeerNetwork::Impl::sendToSelf(Envelope envelope)
{
    const std::size_t size = envelope.payload.size() + FrameHeaderBytes;
    const std::size_t waiting = m_loopBytes.fetch_add(size);
    if (waiting > 0 && waiting + size > m_settings.maxQueuedBytes) {
        m_loopBytes -= size;
        return SendResult::Refused;
    }
    asio::post(m_loop, [this, size, envelope = std::move(envelope)]() mutable {
        m_loopBytes -= size;
        handOn(m_settings.self, std::move(envelope));
    });
    return SendResult::Queued;
}

// The frames around a message that can't be read are whole, and belong to others.
void PeerNetwork::Impl::handOn(const Peer &from, Envelope envelope)
{
    try {
        m_hooks.message(from, std::move(envelope));
    } catch (const Error &it) {
        m_hooks.malformed(from, it.what());
    }
}

void PeerNetwork::Impl::drop(const Endpoint &peer, const std::string &reason)
{
    const std::scoped_lock lock(m_mutex);
    for (const ConnectionPointer &it : m_connections) {
        if (it->key() == peer) {
            it->close(it->isReady() ? ConnectionEnd::Lost : ConnectionEnd::Unreachable, reason);
        }
    }
}

PeerNetwork::Impl::ConnectionPointer PeerNetwork::Impl::connectionTo(const Endpoint &endpoint)
{
    const std::scoped_lock lock(m_mutex);
    PeerLink &link = m_links[endpoint];
    if (link.current()) {
        return link.current();
    }
    if (!link.mayConnect(std::chrono::steady_clock::now()) || m_connections.size() >= m_settings.maxConnections) {
        return nullptr;
    }
    auto connection =
        std::make_shared<PeerConnection>(asio::ip::tcp::socket(asio::make_strand(m_context)), HelloRole::Connector, m_settings, m_connectionHooks, m_sentBytes);
    m_connections.insert(connection);
    link.connecting(connection);
    connection->connect(endpoint);
    return connection;
}

void PeerNetwork::Impl::accept()
{
    m_acceptor.async_accept(asio::make_strand(m_context), [this](const std::error_code &ec, asio::ip::tcp::socket socket) {
        if (!m_isRunning) {
            return;
        }
        if (!ec) {
            accepted(std::move(socket));
            accept();
            return;
        }
        m_acceptTimer.expires_after(AcceptPause);
        m_acceptTimer.async_wait([this](const std::error_code &) { accept(); });
    });
}

void PeerNetwork::Impl::accepted(asio::ip::tcp::socket socket)
{
    const auto connection = std::make_shared<PeerConnection>(std::move(socket), HelloRole::Acceptor, m_settings, m_connectionHooks, m_sentBytes);
    bool hasRoom = false;
    {
        const std::scoped_lock lock(m_mutex);
        hasRoom = m_connections.size() < m_settings.maxConnections;
        m_connections.insert(connection);
    }
    connection->start();
    if (!hasRoom) {
        connection->close(ConnectionEnd::Refused, "too many connections");
    }
}

std::string PeerNetwork::Impl::helloAccepted(const ConnectionPointer &connection)
{
    bool isOutdated = false;
    const std::vector<ConnectionPointer> older = olderIncarnations(connection, isOutdated);
    if (isOutdated) {
        return "hello: field incarnation: a newer incarnation of this node is connected";
    }
    // Reported before a message can go to the new incarnation, so that nobody takes that one for lost.
    if (!older.empty()) {
        m_hooks.lost(*connection->key(), true);
    }
    const std::scoped_lock lock(m_mutex);
    PeerLink &link = m_links[*connection->key()];
    for (const ConnectionPointer &it : older) {
        link.ended(it);
        it->close(ConnectionEnd::Replaced, "replaced by a newer connection");
    }
    link.accepted(connection);
    return {};
}

std::vector<PeerNetwork::Impl::ConnectionPointer> PeerNetwork::Impl::olderIncarnations(const ConnectionPointer &connection, bool &isOutdated)
{
    const std::scoped_lock lock(m_mutex);
    std::vector<ConnectionPointer> older;
    for (const ConnectionPointer &it : m_links[*connection->key()].ready()) {
        const Peer &known = it->peer();
        const Peer &peer = connection->peer();
        // Another node at the same endpoint has taken it over; or the peer connects anew, which it does only if it has found its connections dead.
        const bool isAbandoned = connection->role() == HelloRole::Acceptor && it != connection && known.incarnation == peer.incarnation
            && connection->begunAt() - it->begunAt() > ConnectRace;
        if (known.node != peer.node || known.incarnation < peer.incarnation || isAbandoned) {
            older.push_back(it);
        } else if (known.incarnation > peer.incarnation) {
            isOutdated = true;
        }
    }
    return older;
}

void PeerNetwork::Impl::ended(const ConnectionPointer &connection, ConnectionEnd end, const std::string &problem, const std::vector<Envelope> &unsent)
{
    if (m_hooks.unsent && connection->key()) {
        for (const Envelope &it : unsent) {
            m_hooks.unsent(*connection->key(), it);
        }
    }
    if (end == ConnectionEnd::Refused) {
        m_hooks.refused(connection->remote(), problem);
    }
    // Reported before a message can go over another connection, so that nobody takes that message for lost.
    if (isLoss(connection, end)) {
        m_hooks.lost(*connection->key(), connection->isReady() || isReachable(*connection->key()));
    }
    forget(connection, end);
}

bool PeerNetwork::Impl::isReachable(const Endpoint &peer)
{
    const std::scoped_lock lock(m_mutex);
    return !m_links[peer].ready().empty();
}

bool PeerNetwork::Impl::isLoss(const ConnectionPointer &connection, ConnectionEnd end)
{
    if (!connection->key() || end == ConnectionEnd::Idle || end == ConnectionEnd::Replaced) {
        return false;
    }
    if (connection->wasUsed()) {
        return true;
    }
    const std::scoped_lock lock(m_mutex);
    return m_links[*connection->key()].current() == connection;
}

void PeerNetwork::Impl::forget(const ConnectionPointer &connection, ConnectionEnd end)
{
    const std::scoped_lock lock(m_mutex);
    m_connections.erase(connection);
    if (!connection->key()) {
        return;
    }
    PeerLink &link = m_links[*connection->key()];
    link.ended(connection);
    if (connection->role() == HelloRole::Connector && !connection->isReady() && end != ConnectionEnd::Replaced) {
        link.retryAt(std::chrono::steady_clock::now() + reconnectDelay(link.failed()));
    }
}

// Half of the delay is random, so that nodes that lost the same peer don't come back all at once.
Duration PeerNetwork::Impl::reconnectDelay(unsigned failures)
{
    Duration delay = m_settings.shortestReconnect;
    for (unsigned n = 0; n < failures && delay < m_settings.longestReconnect; ++n) {
        delay *= 2;
    }
    delay = std::min(delay, m_settings.longestReconnect);
    std::uniform_int_distribution<std::int64_t> jitter(delay.count() / 2, delay.count());
    return Duration(jitter(m_random));
}

void PeerNetwork::Impl::sweep()
{
    const Duration shortestLimit = std::min(m_settings.helloLimit, m_settings.idleLimit);
    m_sweepTimer.expires_after(std::clamp(shortestLimit / 4, ShortestSweep, LongestSweep));
    m_sweepTimer.async_wait([this](const std::error_code &ec) {
        if (!ec) {
            checkLimits();
            sweep();
        }
    });
}

void PeerNetwork::Impl::checkLimits()
{
    const TimePoint now = std::chrono::steady_clock::now();
    const std::scoped_lock lock(m_mutex);
    for (const ConnectionPointer &it : m_connections) {
        it->checkLimits(now);
    }
    std::erase_if(m_links, [this, now](const auto &link) { return link.second.isForgettable(now, m_settings.longestReconnect); });
}

PeerNetwork::PeerNetwork(PeerNetworkSettings settings, PeerNetworkHooks hooks)
{
    check(settings);
    m_impl = std::make_unique<Impl>(nullptr, std::move(settings), std::move(hooks));
}

PeerNetwork::PeerNetwork(asio::io_context &context, PeerNetworkSettings settings, PeerNetworkHooks hooks)
{
    check(settings);
    m_impl = std::make_unique<Impl>(&context, std::move(settings), std::move(hooks));
}

PeerNetwork::~PeerNetwork()
{
    stop();
}

void PeerNetwork::start()
{
    m_impl->start();
}

SendResult PeerNetwork::send(const Endpoint &to, Envelope envelope)
{
    return m_impl->send(to, std::move(envelope));
}

void PeerNetwork::drop(const Endpoint &peer, const std::string &reason)
{
    m_impl->drop(peer, reason);
}

void PeerNetwork::stop()
{
    m_impl->stop();
}

std::size_t PeerNetwork::connectionCount() const
{
    return m_impl->connectionCount();
}

std::uint64_t PeerNetwork::sentBytes() const
{
    return m_impl->sentBytes();
}

} // namespace banyankeel

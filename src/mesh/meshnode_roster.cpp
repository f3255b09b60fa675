#include "mesh/meshnodeimpl.h"

#include "state/errors.h"

#include <algorithm>
#include <utility>

namespace banyankeel
{

namespace
{
using namespace std::chrono_literals;

constexpr Duration RosterRetryInterval = 300ms;
constexpr Duration RegisterRetryInterval = 300ms;
constexpr std::uint32_t RosterPageRows = 500;
// Reconnecting to a host behind a network partition must not delay requests.
constexpr Duration HelloTimeout = 700ms;
constexpr Duration MaxReconnectInterval = 1s;
// Holds the largest request body and its headers.
constexpr std::size_t MaxFrameBytes = std::size_t{80} * 1024 * 1024;
constexpr std::size_t MaxQueuedBytes = std::size_t{32} * 1024 * 1024;

Incarnation incarnationAfter(Incarnation last)
{
    // Stays above the last incarnation even if the clock was set back since the previous process.
    const auto now =
        static_cast<std::uint64_t>(std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now()).time_since_epoch().count());
    return Incarnation{std::max(now, static_cast<std::uint64_t>(last) + 1)};
}
} // namespace

void MeshNode::Impl::readRoster()
{
    m_rosterReadAt = bootTime();
    m_store.send(ListRows{.table = std::string(HostRow::table()), .prefix = {}, .after = {}, .limit = RosterPageRows},
                 [this](const StoreReply &reply) { handleRoster(reply); });
}

void MeshNode::Impl::handleRoster(const StoreReply &reply)
{
    if (m_isStopped) {
        return;
    }
    const auto *read = std::get_if<RowsRead>(&reply);
    if (read == nullptr) {
        runAfter(RosterRetryInterval, [this] { readRoster(); });
        return;
    }
    const TimePoint now = bootTime();
    Incarnation last{};
    std::vector<TargetDeparture> departures;
    std::vector<NodeId> added;
    const bool isFirst = !m_isRegistered;
    bool isOwnRowUnreadable = false;
    for (const Row &row : read->rows) {
        try {
            const HostRow host = HostRow::decode(row.value);
            restoreQuarantines(host.quarantines);
            if (host.peer.node == m_settings.node) {
                last = host.peer.incarnation;
                departures = host.departures;
                if (isFirst) {
                    m_storedTarget = host.target;
                    if (host.target && host.target->ratePerSecond) {
                        restoreRateLimit({host.target->boot, host.target->ratePerSecond});
                    }
                }
            } else if (m_peers.addFromRoster(host.peer, now) && host.peer.place.region == m_settings.place.region) {
                added.push_back(host.peer.node);
            }
        } catch (const Error &it) {
            // A row that can't be decoded, for example one written by other software, is skipped. One of this node still shows that it has run before.
            isOwnRowUnreadable = isOwnRowUnreadable || row.key == HostRow::keyOf(m_settings.node);
            logEvent(LogLevel::Warning, "host-row-unreadable", {{"key", row.key.key}, {"detail", it.what()}});
        }
    }
    if (isFirst) {
        m_mayHavePredecessor = last != Incarnation{} || isOwnRowUnreadable;
    }
    m_rateLimiter.setPeerCount(m_peers.size());
    joinFleet(last);
    applyTargetChange(m_life.mergeLeavings(departures));
    if (isFirst) {
        registerNode();
    }
    probeStoredTarget();
    confirmTarget();
    // They may hold a departure or limit of this node's target that an earlier process has acknowledged.
    for (const NodeId &it : added) {
        if (const KnownPeer *peer = m_peers.find(it)) {
            sendCompleteReport(*peer, true);
        }
    }
}

void MeshNode::Impl::registerNode()
{
    writeOwnRow([this](bool isWritten) {
        if (m_isStopping) {
            return;
        }
        if (!isWritten) {
            runAfter(RegisterRetryInterval, [this] { registerNode(); });
            return;
        }
        // Of two nodes that register concurrently, the later one finds the other in this read.
        m_isRegistered = true;
        writeOutdatedRow();
        readRoster();
    });
}

void MeshNode::Impl::joinFleet(Incarnation last)
{
    if (m_self || m_isStopping) {
        return;
    }
    m_self = Peer{m_settings.node, incarnationAfter(last), m_settings.place, m_settings.peers};
    PeerNetworkSettings network{.self = *m_self, .secret = m_settings.secret};
    network.maxFrameBytes = MaxFrameBytes;
    network.maxQueuedBytes = MaxQueuedBytes;
    network.helloLimit = HelloTimeout;
    network.longestReconnect = MaxReconnectInterval;
    m_network = std::make_unique<PeerNetwork>(m_context,
                                              std::move(network),
                                              PeerNetworkHooks{
                                                  .message = [this](const Peer &from, const Envelope &envelope) { handleMessage(from, envelope); },
                                                  .lost = [this](const Endpoint &peer, bool mayHaveArrived) { handlePeerLost(peer, mayHaveArrived); },
                                                  .refused =
                                                      [](const std::string &remote, const std::string &problem) {
                                                          logEvent(LogLevel::Warning, "connection-refused", {{"remote", remote}, {"detail", problem}});
                                                      },
                                                  .malformed = [this](const Peer &from, const std::string &problem) { reportMalformed(from, problem); },
                                                  .unsent = [this](const Endpoint &, const Envelope &message) { handleUnsent(message); },
                                              });
    m_network->start();
    logEvent(LogLevel::Info, "joined", {{"incarnation", std::to_string(static_cast<std::uint64_t>(m_self->incarnation))}});
    if (m_life.serving() != nullptr) {
        publishTargetRecord(TargetState::Serving);
    }
}

void MeshNode::Impl::writeOwnRow(std::function<void(bool)> done)
{
    const TargetReport *serving = m_life.serving();
    std::optional<StoredTarget> target;
    if (serving != nullptr) {
        target = StoredTarget{serving->boot, serving->slots, m_rateLimits.limitOf(serving->boot)};
    }
    const HostRow row{*m_self, std::move(target), m_life.departures(), storedQuarantines()};
    m_store.send(WriteRows{{{row.key(), RowAction::Put, std::nullopt, row.encode()}}}, [done = std::move(done)](const StoreReply &reply) {
        const bool isWritten = std::holds_alternative<RowsWritten>(reply);
        if (!isWritten) {
            const auto *failure = std::get_if<StoreFailure>(&reply);
            logEvent(LogLevel::Warning, "host-row-not-written", {{"detail", failure == nullptr ? "conflict" : failure->detail}});
        }
        done(isWritten);
    });
}

void MeshNode::Impl::persistOwnRow(std::function<void()> written)
{
    m_isRowOutdated = true;
    if (written) {
        m_rowWaiters.push_back(std::move(written));
    }
    writeOutdatedRow();
}

void MeshNode::Impl::writeOutdatedRow()
{
    if (!m_isRowOutdated || m_isWritingRow || !m_isRegistered) {
        return;
    }
    m_isRowOutdated = false;
    m_isWritingRow = true;
    writeOwnRow([this, waiters = std::exchange(m_rowWaiters, {})](bool isWritten) {
        m_isWritingRow = false;
        if (isWritten) {
            for (const std::function<void()> &it : waiters) {
                it();
            }
            writeOutdatedRow();
            return;
        }
        m_isRowOutdated = true;
        m_rowWaiters.insert(m_rowWaiters.begin(), waiters.begin(), waiters.end());
        runAfter(RegisterRetryInterval, [this] { writeOutdatedRow(); });
    });
}

} // namespace banyankeel

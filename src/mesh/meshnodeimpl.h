#pragma once

// Implementation of MeshNode: its components and the hooks between them. Split into meshnode.cpp (lifecycle, logs and metrics), meshnode_roster.cpp
// (its row and those of others), meshnode_fleet.cpp (configuration and peers), meshnode_relay.cpp (reports between nodes) and meshnode_target.cpp (the host's
// target).

#include "coordination/demand/loadmeter.h"
#include "coordination/demand/rootadmission.h"
#include "coordination/feed/configurationfeed.h"
#include "coordination/feed/configurationfetcher.h"
#include "coordination/fleet/relayhub.h"
#include "coordination/fleet/relayselector.h"
#include "coordination/targetlife/ratelimittracker.h"
#include "coordination/targetlife/targetlifecycle.h"
#include "edge/edgeserver.h"
#include "mesh/crashmonitor.h"
#include "mesh/logratelimiter.h"
#include "mesh/meshentry.h"
#include "mesh/meshmetrics.h"
#include "mesh/meshnode.h"
#include "mesh/meshpeers.h"
#include "mesh/meshtarget.h"
#include "mesh/peertraffic.h"
#include "protocol/hostrow.h"
#include "protocol/reportbatch.h"
#include "transport/peernetwork.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace banyankeel
{

/// A monotonic clock that includes the time during which the host is suspended, so that deadlines and leases expire on time.
TimePoint bootTime();
/// The time of day, in microseconds.
WallTime wallNow();

class MeshNode::Impl
{
public:
    Impl(asio::io_context &context, const MeshSettings &settings, PlatformAdapter adapter, MeshStore store);

    void start();
    void drain(std::function<void()> stopped);
    void reload(const MeshSettings &settings);
    void stopNow();

private:
    MeshEntryHooks entryHooks();
    CrashMonitorHooks crashHooks();
    ConfigurationFeedHooks feedHooks();
    /// @throws Error if the document can't be decoded.
    MeshConfigurationPointer decodeConfiguration(const std::string &document);
    void applyConfiguration(const MeshConfigurationPointer &configuration, std::string_view source);

    void readRoster();
    void handleRoster(const StoreReply &reply);
    void joinFleet(Incarnation last);
    void registerNode();
    void probeStoredTarget();
    /// Asks the target whether it serves, if that has to be known before it gets requests.
    void confirmTarget();
    /// Sends the target a health check. @param done gets whether it is @p boot and serves. Not called if no configuration names the check.
    void probeTarget(const TargetBoot &boot, std::function<void(bool isServing)> done);
    void writeOwnRow(std::function<void(bool)> done);
    /// Writes the current state of this node to its row, and tries again until the store takes it. Writes are sent one after the other.
    /// @param written called when a row with the present state has been written; may be null.
    void persistOwnRow(std::function<void()> written);
    void writeOutdatedRow();

    void handleReadinessProbe(const HttpRequest &request, const HttpResponder &respond);
    void handleTargetNotification(const HttpRequest &request, const HttpResponder &respond);
    void handleTargetReport(const TargetReport &report, const HttpResponder &respond);
    void applyTargetChange(TargetChange change);
    void publishTargetRecord(TargetState state);
    void acknowledgeDeparture(const HttpResponder &respond);
    void handleTargetNotice(const TargetBoot &boot, const TargetNotice &notice);
    /// Tells all nodes what was found out about requests that crash targets.
    void reportCrashes(const std::vector<CrashReport> &reports);
    void restoreQuarantines(const std::vector<StoredQuarantine> &quarantines);
    /// The quarantined requests as they are stored.
    [[nodiscard]] std::vector<StoredQuarantine> storedQuarantines() const;
    void restoreRateLimit(const TargetRateLimit &limit);
    void logRateLimit(const TargetRateLimit &limit, std::string_view source) const;

    /// Sends and counts a message. Returns false if it can't be sent.
    bool sendMessage(const Endpoint &to, Envelope message);
    void logTraffic(TimePoint now);
    void handleMessage(const Peer &from, const Envelope &envelope);
    void dispatchMessage(const Peer &from, const Envelope &envelope);
    /// Ends what a message concerns that can't be read, so that nobody waits for it.
    void handleMalformed(const Peer &from, const Envelope &envelope, const std::string &problem);
    void reportMalformed(const Peer &from, const std::string &problem);
    void sendBodyPart(const Endpoint &to, const CallBodyPart &part);
    void handleNodeReport(const Peer &from, const NodeReport &report);
    /// Asks a peer for a newer configuration if one is known to have it and no other request is outstanding.
    void fetchConfiguration();
    void sendConfiguration(const Peer &to);
    /// Forgets a node whose address another one has taken.
    void removePeer(const NodeId &node);
    void recordRelayLoss(const Peer &peer);
    /// A message whose connection ended before it was written.
    void handleUnsent(const Envelope &message);
    void handlePeerLost(const Endpoint &endpoint, bool mayHaveArrived);
    void setReachable(KnownPeer &peer, bool isReachable, std::string_view reason);
    /// Applies a report of @p from, whichever way it came. @param sentAt about when it was sent.
    void applyReport(const Peer &from, const NodeReport &report, TimePoint sentAt, TimePoint now);
    /// Tells every reachable peer the state of this node directly, and its relays. For changes that must not depend on a relay.
    void announceState();
    void sendCompleteReport(const KnownPeer &to, bool asksReply);
    /// The state of this node but for the usage of organisations, which goes through relays.
    [[nodiscard]] NodeReport completeReport(const KnownPeer &to) const;
    /// A report without changes.
    [[nodiscard]] NodeReport briefReport() const;

    /// Chooses the relays of this node, and subscribes with them.
    void updateRelays(TimePoint now);
    void updateRemoteRelays(TimePoint now);
    void subscribeAtRemoteRelay(const NodeId &relay, bool isNew);
    /// Reports to the relays of the own region.
    void sendToRelays(ReportScope scope, bool isUrgent);
    void sendToRelay(const NodeId &relay, NodeReport report);
    /// Keeps a report of the own region for the subscribers of this node.
    void relayReport(const Peer &from, const NodeReport &report, TimePoint now);
    /// Sends the subscribers of this node the batches that are due.
    void flushRelay(TimePoint now);
    /// Tells subscribers how recent this node's configuration is.
    void stampConfiguration(ReportBatch &batch, TimePoint now) const;
    void noteRegionLoads(const std::vector<RegionLoad> &loads, TimePoint now);
    /// Whether the load of this node is part of a region's load that was received recently.
    [[nodiscard]] bool isRegionLoadKnown(TimePoint now) const;
    void handleSubscription(const Peer &from, const NodeReport &report, TimePoint now);
    /// All that this node knows, for a subscriber that knows nothing.
    [[nodiscard]] std::vector<RelayedReport> fullHistory(const NodeId &subscriber, ReportSubscription subscription, TimePoint now) const;
    void handleReportBatch(const Peer &from, const ReportBatch &batch);
    /// Returns false if the report is outdated or its sender not known.
    bool handleRelayedReport(const RelayedReport &relayed, TimePoint now);
    /// Tries peers that were lost, in case they are back.
    void contactLostPeers();
    /// Finds connections that have gone silent while calls wait on them.
    void checkAwaitedPeers(TimePoint now);
    void checkAwaitedPeer(KnownPeer &peer, TimePoint since, TimePoint now);
    /// Tells the peers of the own region which configuration this node has and whether it reaches the store.
    void notifyRegion();
    /// Whether this node tells its region of a configuration that it has from the store or from another region.
    [[nodiscard]] bool spreadsConfiguration(TimePoint now) const;
    /// Whether this node, which has no configuration yet, is to read it from the store.
    [[nodiscard]] bool isInitialReader(TimePoint now) const;
    /// Decides whether this node follows the store: a few nodes of each region do, and any node whose configuration may be outdated, whatever the reason.
    void updateFeed(TimePoint now);
    void reportIfDue(TimePoint now);
    /// Measures the load. This node bases its decisions on the same report as its peers.
    const LoadReport &measureLoad(TimePoint now);
    void logShortage();
    /// Formats admitted or finished shares by route and priority for the log.
    std::string formatRootFractions(const RootFractions &fractions) const;

    void tick();
    void checkPeers(TimePoint now);
    void wakeEntryAt(TimePoint time);
    void checkShutdown();
    /// Ends whatever is still under way when the grace period is over, so that nobody is left without an answer.
    void endRemaining();
    void finishShutdown();
    void logRemaining() const;
    void recordRequestEnd(const EntryOutcome &outcome);
    void handleMetricsRequest(const HttpRequest &request, const HttpResponder &respond);
    /// Wraps the store so that its calls are timed.
    MeshStore instrumentStore(MeshStore store);
    void recordAttemptEnd(const std::string &requestId, const CallAnswer &answer, Duration waited, Duration ran);
    void runAfter(Duration delay, std::function<void()> task);

    asio::io_context &m_context;
    MeshSettings m_settings;
    const PlatformAdapter m_adapter;
    MeshMetrics m_metrics;
    PeerTraffic m_traffic;
    TimePoint m_trafficLoggedAt{};
    std::uint64_t m_droppedLogLines = 0;
    std::uint64_t m_malformedMessages = 0;
    const MeshStore m_store;
    std::optional<Peer> m_self;
    MeshPeers m_peers;
    TargetLifecycle m_life;
    RateLimitTracker m_rateLimits;
    std::optional<TargetRecord> m_record;
    std::uint64_t m_recordVersion = 0;
    /// The target that the previous process of this node served, until it is probed.
    std::optional<StoredTarget> m_storedTarget;
    bool m_isConfirming = false;
    std::uint32_t m_confirmRetries = 0;
    FleetRateLimiter m_rateLimiter;
    TargetRouter m_router;
    LoadMeter m_meter;
    RootAdmission m_admission;
    /// The load sent in the last report.
    LoadReport m_load;
    CrashMonitor m_crashes;
    /// Not yet reported to the relays.
    std::vector<CrashReport> m_unsentCrashReports;
    MeshTarget m_target;
    MeshEntry m_entry;
    RelayHub m_hub;
    RelaySelector m_relays;
    std::map<RegionName, RelaySelector> m_remoteRelays;
    std::map<RegionName, TimePoint> m_remoteSubscribedAt;
    /// The relays that have a complete report of this process.
    std::set<std::pair<NodeId, Incarnation>> m_informedRelays;
    std::optional<NodeId> m_subscribedRelay;
    bool m_isRelayNew = false;
    /// When the last batch of a relay of the own region came.
    TimePoint m_batchReceivedAt{};
    /// When reports of a region were last passed on to this node.
    std::map<RegionName, TimePoint> m_regionHeardAt;
    std::optional<TimePoint> m_regionLoadAt;
    std::uint64_t m_reportSequence = 0;
    std::uint64_t m_relayedRecordVersion = 0;
    /// Whether departures or the rate limit have changed since the last report to the relays.
    bool m_isStateChanged = true;
    std::size_t m_lostPeerTurn = 0;
    TimePoint m_awaitedCheckedAt{};
    ConfigurationFeed m_feed;
    ConfigurationFetcher m_fetcher;
    EdgeServer m_callers;
    EdgeServer m_readiness;
    EdgeServer m_reports;
    EdgeServer m_metricsServer;
    std::unique_ptr<PeerNetwork> m_network;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_entryTimer;
    std::optional<TimePoint> m_entryWake;
    /// When the last report with all changes was sent, and the last report of any scope.
    TimePoint m_changesSentAt{};
    TimePoint m_lastReportSentAt{};
    std::uint32_t m_reportsSinceComplete = 0;
    TimePoint m_rosterReadAt{};
    Duration m_idleTime = Duration::zero();
    Duration m_configurationDecodeTime = Duration::zero();
    LogRateLimiter m_requestLog;
    bool m_wasShort = false;
    bool m_wasStoreReachable = true;
    /// False once the store has shown that no process of this node has been registered before.
    bool m_mayHavePredecessor = true;
    bool m_isRegistered = false;
    bool m_isRowOutdated = false;
    bool m_isWritingRow = false;
    std::vector<std::function<void()>> m_rowWaiters;
    bool m_isStopping = false;
    bool m_isStopped = false;
    bool m_hasDrainedTarget = false;
    bool m_hasEndedRemaining = false;
    TimePoint m_startedAt{};
    TimePoint m_stopAt{};
    std::function<void()> m_stopped;
};

} // namespace banyankeel

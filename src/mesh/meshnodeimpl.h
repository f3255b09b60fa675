#pragma once

// The parts of one node and the hooks between them. Its functions stand in three sources: what runs it, its fleet and its target.

#include "coordination/demand/loadmeter.h"
#include "coordination/demand/rootadmission.h"
#include "coordination/feed/configurationfeed.h"
#include "coordination/targetlife/targetlife.h"
#include "edge/edgeserver.h"
#include "mesh/boundedlog.h"
#include "mesh/meshentry.h"
#include "mesh/meshmetrics.h"
#include "mesh/meshnode.h"
#include "mesh/meshpeers.h"
#include "mesh/meshtarget.h"
#include "protocol/hostrow.h"
#include "transport/peernetwork.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace banyankeel
{

/// Time that goes on while the host is suspended: what was promised for a time is over after it.
TimePoint bootTime();

class MeshNode::Impl
{
public:
    Impl(asio::io_context &context, const MeshSettings &settings, MeshDialect dialect, MeshStore store);

    void start();
    void drain(std::function<void()> stopped);
    void reload(const MeshSettings &settings);
    void stopNow();

private:
    MeshEntryHooks entryHooks();
    ConfigurationFeedHooks feedHooks();
    void configurationChanged(const MeshConfigurationPointer &configuration);

    void readRoster();
    void rosterRead(const StoreReply &reply);
    void joinFleet(Incarnation last);
    void registerSelf();
    void probeStoredTarget();
    void writeOwnRow(std::function<void(bool)> done);

    void readinessAsked(const HttpRequest &request, const HttpResponder &respond);
    void targetCalled(const HttpRequest &request, const HttpResponder &respond);
    void targetReported(const TargetReport &report, const HttpResponder &respond);
    void applyTarget(TargetChange change);
    void recordTarget(TargetState state);
    void acknowledgeLeaving(const HttpResponder &respond);

    void received(const Peer &from, const Envelope &envelope);
    void reported(const Peer &from, const NodeReport &report);
    void peerLost(const Endpoint &endpoint, bool mayHaveArrived);
    void setReachable(KnownPeer &peer, bool isReachable, std::string_view reason);
    /// Tells all peers all that they need to know of this node.
    void sendCompleteReports(bool asksReply);
    void sendCompleteReport(const KnownPeer &to, bool asksReply);
    /// Tells all peers what changed, which most of the time is little.
    void sendBriefReports(ReportScope scope);
    void reportIfDue(TimePoint now);
    /// Measures the load anew; the decisions of this node use the same report as those of its peers.
    const LoadReport &measureLoad(TimePoint now);
    void logShortage();
    /// Parts by route and priority, for the log.
    std::string textOf(const RootParts &parts) const;

    void tick();
    void checkPeers(TimePoint now);
    void wakeEntryAt(TimePoint time);
    void checkStop();
    void noteEnded(const EntryOutcome &outcome);
    void metricsAsked(const HttpRequest &request, const HttpResponder &respond);
    /// The store, with its calls timed.
    MeshStore measured(MeshStore store);
    void noteAttempt(const std::string &requestId, const CallAnswer &answer, Duration waited, Duration ran);
    void runAfter(Duration delay, std::function<void()> task);

    asio::io_context &m_context;
    MeshSettings m_settings;
    const MeshDialect m_dialect;
    MeshMetrics m_metrics;
    std::uint64_t m_linesLeftOut = 0;
    const MeshStore m_store;
    std::optional<Peer> m_self;
    MeshPeers m_peers;
    TargetLife m_life;
    std::optional<TargetRecord> m_record;
    std::uint64_t m_recordVersion = 0;
    /// What the process before this one had heard from, until it is asked.
    std::optional<StoredTarget> m_storedTarget;
    FleetAllowances m_allowances;
    TargetRouter m_router;
    LoadMeter m_meter;
    RootAdmission m_admission;
    /// As of the last report.
    LoadReport m_load;
    MeshTarget m_target;
    MeshEntry m_entry;
    ConfigurationFeed m_feed;
    EdgeServer m_callers;
    EdgeServer m_readiness;
    EdgeServer m_reports;
    EdgeServer m_metricsServer;
    std::unique_ptr<PeerNetwork> m_network;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_entryTimer;
    std::optional<TimePoint> m_entryWake;
    /// Of the last report that named all changes, and of the last one at all.
    TimePoint m_reportedAt{};
    TimePoint m_lastReportAt{};
    std::uint32_t m_briefReports = 0;
    TimePoint m_rosterAt{};
    Duration m_idleTime = Duration::zero();
    BoundedLog m_requestLog;
    bool m_isShort = false;
    bool m_isRegistered = false;
    bool m_isStopping = false;
    bool m_isDead = false;
    bool m_hasDrainedTarget = false;
    TimePoint m_stopAt{};
    std::function<void()> m_stopped;
};

} // namespace banyankeel

#include "mesh/meshnodeimpl.h"

#include "state/errors.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace banyankeel
{

namespace
{
using namespace std::chrono_literals;

// How long a node of the roster that has not been heard yet is taken for a relay.
constexpr Duration RelayTrial = 1500ms;
// A node that has heard no relay for longer takes the full state, as relays keep the reports of the last seconds only.
constexpr Duration HistoryTime = 2s;
// A node that relays for itself may not be known to all others, or not know them; it asks another relay for all that it knows so often.
constexpr Duration OwnRelayHistoryInterval = 10s;
// Nodes that are lost and may be back are contacted in turn, so many at each report.
constexpr std::size_t ContactedLostPeers = 2;
// A peer that calls wait for and that sends nothing for this long is asked for a sign of life, and has this long to give one.
constexpr Duration QuietPeerTime = 700ms;
constexpr Duration PingTimeout = 1200ms;
// A node takes the load of its region from its relay; its own measurement counts only while that is older.
constexpr Duration RegionLoadFreshness = 2500ms;
constexpr Duration OwnLoadInterval = 400ms;

/// What a relay passes on: a report without the parts that concern its receiver.
NodeReport withoutReceiver(NodeReport report)
{
    report.asksReply = false;
    report.load.reset();
    report.receiverDepartures.clear();
    report.receiverRateLimit.reset();
    report.isForRelay = false;
    report.isUrgent = false;
    report.subscription = ReportSubscription::None;
    report.history = ReportHistory::None;
    return report;
}

RelayedReport relayedReport(const Peer &peer, const NodeReport &report, Duration age)
{
    const bool isIntroduction = report.isComplete || report.target.has_value();
    return {peer.node, peer.incarnation, isIntroduction ? std::optional(peer) : std::nullopt, age, withoutReceiver(report).encode().payload};
}
} // namespace

void MeshNode::Impl::updateRelays(TimePoint now)
{
    if (!m_self) {
        return;
    }
    const RegionName &region = m_settings.place.region;
    if (m_relays.update(m_peers.relayCandidates(region, now, RelayTrial), now)) {
        logEvent(LogLevel::Info, "relay", {{"region", region.text()}, {"node", m_relays.current() ? m_relays.current()->text() : "none"}});
        m_isRelayNew = true;
    }
    updateRemoteRelays(now);
    if (std::exchange(m_isRelayNew, false)) {
        sendToRelays(ReportScope::Changed, false);
    }
}

void MeshNode::Impl::updateRemoteRelays(TimePoint now)
{
    // Only a node that others take reports from, or that has no relay but itself, needs those of other regions at first hand.
    const bool isRelay = m_hub.hasSubscribers(now) || m_relays.current() == m_settings.node;
    for (const RegionName &region : m_peers.regions()) {
        if (region == m_settings.place.region) {
            continue;
        }
        RelaySelector &selector = m_remoteRelays.try_emplace(region, RelaySelectorSettings{}).first->second;
        if (!isRelay) {
            selector.clear();
            continue;
        }
        const bool isNew = selector.update(m_peers.relayCandidates(region, now, RelayTrial), now);
        if (isNew) {
            logEvent(LogLevel::Info, "relay", {{"region", region.text()}, {"node", selector.current() ? selector.current()->text() : "none"}});
        }
        if (selector.current() && (isNew || now - m_remoteSubscribedAt[region] >= 1s)) {
            m_remoteSubscribedAt[region] = now;
            subscribeAtRemoteRelay(*selector.current(), isNew);
        }
    }
}

void MeshNode::Impl::subscribeAtRemoteRelay(const NodeId &relay, bool isNew)
{
    const KnownPeer *peer = m_peers.find(relay);
    if (peer == nullptr) {
        return;
    }
    NodeReport report = isNew ? completeReport(*peer) : briefReport();
    report.subscription = ReportSubscription::Region;
    report.history = isNew ? ReportHistory::Full : ReportHistory::None;
    sendMessage(peer->peer.endpoint, report.encode());
}

void MeshNode::Impl::sendToRelays(ReportScope scope, bool isUrgent)
{
    if (!m_self) {
        return;
    }
    const TimePoint now = bootTime();
    m_lastReportSentAt = now;
    NodeReport report = briefReport();
    report.uses = m_rateLimiter.report(scope, now);
    report.isComplete = scope == ReportScope::Complete;
    if (scope != ReportScope::Urgent) {
        report.load = measureLoad(now);
    }
    if (report.isComplete || m_relayedRecordVersion != m_recordVersion || m_isStateChanged) {
        m_relayedRecordVersion = m_recordVersion;
        m_isStateChanged = false;
        report.target = m_record;
        report.departures = m_life.departures();
        report.rateLimit = m_rateLimits.last();
    }
    report.crashReports = std::exchange(m_unsentCrashReports, {});
    report.sequence = ++m_reportSequence;
    report.isForRelay = true;
    report.isUrgent = isUrgent;
    for (const NodeId &it : m_relays.reported()) {
        if (it == m_settings.node) {
            relayReport(*m_self, report, now);
        } else {
            sendToRelay(it, report);
        }
    }
    // What other relays knew of this node may be gone with them.
    std::erase_if(m_informedRelays, [this](const auto &it) { return std::ranges::find(m_relays.reported(), it.first) == m_relays.reported().end(); });
}

void MeshNode::Impl::sendToRelay(const NodeId &relay, NodeReport report)
{
    const KnownPeer *peer = m_peers.find(relay);
    if (peer == nullptr) {
        return;
    }
    const std::pair informed(relay, peer->peer.incarnation);
    if (!m_informedRelays.contains(informed)) {
        NodeReport complete = completeReport(*peer);
        complete.isComplete = true;
        complete.uses = m_rateLimiter.reported();
        complete.load = report.load;
        complete.sequence = report.sequence;
        complete.isForRelay = true;
        complete.isUrgent = report.isUrgent;
        complete.crashReports.insert(complete.crashReports.end(), report.crashReports.begin(), report.crashReports.end());
        report = std::move(complete);
    }
    const TimePoint now = bootTime();
    if (m_relays.current() == m_settings.node && now - m_batchReceivedAt > OwnRelayHistoryInterval) {
        report.subscription = ReportSubscription::Fleet;
        report.history = ReportHistory::Full;
    }
    if (m_relays.current() == relay) {
        report.subscription = ReportSubscription::Fleet;
        if (m_subscribedRelay != relay) {
            m_subscribedRelay = relay;
            report.history = now - m_batchReceivedAt > HistoryTime ? ReportHistory::Full : ReportHistory::Recent;
        }
    }
    if (sendMessage(peer->peer.endpoint, report.encode())) {
        m_informedRelays.insert(informed);
    } else if (m_relays.current() == relay) {
        m_subscribedRelay.reset();
    }
}

void MeshNode::Impl::relayReport(const Peer &from, const NodeReport &report, TimePoint now)
{
    m_regionHeardAt[from.place.region] = now;
    m_hub.addReport(relayedReport(from, report, Duration::zero()), ReportOrigin::OwnRegion, report.isUrgent, now);
    if (report.load) {
        m_hub.recordLoad(from.node, *report.load, now);
    }
    if (report.isUrgent) {
        flushRelay(now);
    }
}

void MeshNode::Impl::flushRelay(TimePoint now)
{
    const bool isOwnRelay = m_relays.current() == m_settings.node;
    m_hub.setMergesLoads(isOwnRelay);
    // A node that relays its own region needs the region's load as its subscribers do.
    if (isOwnRelay) {
        m_relays.recordBatch(m_settings.node, now);
        if (!m_regionLoadAt || now - *m_regionLoadAt >= OwnLoadInterval) {
            noteRegionLoads(m_hub.regionLoads(now), now);
        }
    }
    for (OutgoingBatch &outgoing : m_hub.flush(now)) {
        stampConfiguration(outgoing.batch, now);
        const Envelope message = outgoing.batch.encode();
        for (const NodeId &it : outgoing.recipients) {
            if (const KnownPeer *peer = m_peers.find(it)) {
                sendMessage(peer->peer.endpoint, message);
            }
        }
    }
}

void MeshNode::Impl::stampConfiguration(ReportBatch &batch, TimePoint now) const
{
    if (m_feed.current()) {
        batch.configuration = m_feed.version();
        batch.configurationAge = now - m_feed.verifiedAt();
    }
}

void MeshNode::Impl::noteRegionLoads(const std::vector<RegionLoad> &loads, TimePoint now)
{
    for (const RegionLoad &it : loads) {
        m_admission.noteRegionLoad(it.region, it.load, now);
        if (it.region == m_settings.place.region) {
            m_regionLoadAt = now;
            m_admission.removeReport(m_settings.node);
        }
    }
}

bool MeshNode::Impl::isRegionLoadKnown(TimePoint now) const
{
    return m_regionLoadAt && now - *m_regionLoadAt < RegionLoadFreshness;
}

void MeshNode::Impl::handleSubscription(const Peer &from, const NodeReport &report, TimePoint now)
{
    m_hub.subscribe(from.node, report.subscription, now);
    if (report.history == ReportHistory::None) {
        return;
    }
    ReportBatch batch = m_hub.history(report.subscription, now);
    if (report.history == ReportHistory::Full) {
        batch.entries = fullHistory(from.node, report.subscription, now);
    }
    logEvent(LogLevel::Info,
             "relay-subscriber",
             {{"node", from.node.text()},
              {"history", report.history == ReportHistory::Full ? "full" : "recent"},
              {"reports", std::to_string(batch.entries.size())}});
    stampConfiguration(batch, now);
    sendMessage(from.endpoint, batch.encode());
}

std::vector<RelayedReport> MeshNode::Impl::fullHistory(const NodeId &subscriber, ReportSubscription subscription, TimePoint now) const
{
    std::vector<RelayedReport> found;
    for (const auto &[node, it] : m_peers.all()) {
        const bool isWanted = subscription == ReportSubscription::Fleet || it.peer.place.region == m_settings.place.region;
        if (node == subscriber || !isWanted || !it.isReachable || !it.lastReportAt) {
            continue;
        }
        ReportedUsage usage = m_rateLimiter.usageOf(node);
        NodeReport report = briefReport();
        report.isComplete = usage.isComplete;
        report.configuration = it.configuration;
        report.target = it.target;
        report.departures = it.departures.all();
        report.uses = std::move(usage.usage);
        report.isStopping = it.isStopping;
        report.isStoreReachable = it.isStoreReachable;
        report.rateLimit = it.rateLimit;
        report.sequence = it.lastSequence;
        found.push_back({node, it.peer.incarnation, it.peer, std::max(Duration::zero(), now - *it.lastReportAt), report.encode().payload});
    }
    NodeReport own = briefReport();
    own.isComplete = true;
    own.target = m_record;
    own.departures = m_life.departures();
    own.uses = m_rateLimiter.reported();
    own.rateLimit = m_rateLimits.last();
    own.crashReports = m_crashes.quarantined();
    own.sequence = m_reportSequence;
    found.push_back(relayedReport(*m_self, own, Duration::zero()));
    return found;
}

void MeshNode::Impl::handleReportBatch(const Peer &from, const ReportBatch &batch)
{
    const TimePoint now = bootTime();
    const bool isRemote = from.place.region != m_settings.place.region;
    if (isRemote) {
        const auto selector = m_remoteRelays.find(from.place.region);
        if (selector != m_remoteRelays.end()) {
            selector->second.recordBatch(from.node, now);
        }
    } else {
        m_relays.recordBatch(from.node, now);
        m_batchReceivedAt = now;
    }
    m_regionHeardAt[from.place.region] = now;
    if (batch.configurationAge) {
        m_fetcher.recordVersion(from.node, m_peers.distanceTo(from.place), batch.configuration);
        m_feed.recordVerification(batch.configuration, now - *batch.configurationAge);
    }
    // Nodes that see other relays than most have subscribed here, although not all nodes of the region report here. What has been passed on before is
    // outdated when it comes again, so that nothing goes round in circles.
    const bool isPassedOn = m_hub.hasSubscribers(now);
    for (const RelayedReport &it : batch.entries) {
        if (it.node != m_settings.node && handleRelayedReport(it, now) && isPassedOn) {
            const KnownPeer *peer = m_peers.find(it.node);
            const bool isOwnRegion = peer != nullptr && peer->peer.place.region == m_settings.place.region;
            m_hub.addReport(it, isOwnRegion ? ReportOrigin::OwnRegion : ReportOrigin::OtherRegion, batch.isUrgent, now);
        }
    }
    noteRegionLoads(batch.loads, now);
    if (isPassedOn) {
        for (const RegionLoad &it : batch.loads) {
            m_hub.addLoad(it);
        }
        flushRelay(now);
    }
    fetchConfiguration();
}

bool MeshNode::Impl::handleRelayedReport(const RelayedReport &relayed, TimePoint now)
{
    const KnownPeer *known = m_peers.find(relayed.node);
    const bool isKnown = known != nullptr && known->peer.incarnation == relayed.incarnation;
    if (!isKnown && !relayed.peer) {
        // Its next complete report introduces it.
        return false;
    }
    const Peer peer = relayed.peer ? *relayed.peer : known->peer;
    try {
        const NodeReport report = NodeReport::decode({MessageType::NodeReport, relayed.report});
        if (m_peers.isOutdated(peer, report)) {
            return false;
        }
        m_regionHeardAt[peer.place.region] = now;
        applyReport(peer, report, now - relayed.age, now);
        return true;
    } catch (const Error &it) {
        // The relay passes on what it does not read in full.
        logEvent(LogLevel::Warning, "relayed-report-unreadable", {{"node", relayed.node.text()}, {"detail", it.what()}});
        return false;
    }
}

void MeshNode::Impl::contactLostPeers()
{
    std::vector<const KnownPeer *> lost;
    for (const auto &[node, it] : m_peers.all()) {
        if (!it.isReachable) {
            lost.push_back(&it);
        }
    }
    for (std::size_t n = 0; n < std::min(lost.size(), ContactedLostPeers); ++n) {
        sendCompleteReport(*lost[m_lostPeerTurn++ % lost.size()], true);
    }
}

void MeshNode::Impl::checkAwaitedPeers(TimePoint now)
{
    for (const auto &[node, since] : m_entry.oldestAttempts()) {
        if (KnownPeer *peer = m_peers.find(node)) {
            checkAwaitedPeer(*peer, since, now);
        }
    }
    // Work for a sender that can't be reached any more is of no use.
    for (const auto &[sender, since] : m_target.oldestBySender()) {
        if (KnownPeer *peer = sender == m_settings.peers ? nullptr : m_peers.find(sender)) {
            checkAwaitedPeer(*peer, since, now);
        }
    }
}

void MeshNode::Impl::checkAwaitedPeer(KnownPeer &peer, TimePoint since, TimePoint now)
{
    if (now - std::max(since, peer.lastMessageAt) < QuietPeerTime) {
        return;
    }
    const bool isPinged = peer.pingedAt && *peer.pingedAt > peer.lastMessageAt;
    if (!isPinged) {
        peer.pingedAt = now;
        sendCompleteReport(peer, true);
    } else if (now - *peer.pingedAt > PingTimeout) {
        peer.pingedAt.reset();
        logEvent(LogLevel::Info, "connection-quiet", {{"peer", peer.peer.node.text()}});
        m_network->drop(peer.peer.endpoint, "no sign of life within the time limit");
    }
}

} // namespace banyankeel

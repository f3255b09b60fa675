#include "mesh/meshnodeimpl.h"

#include "protocol/targetcodec.h"
#include "state/errors.h"
#include "transport/frame.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace banyankeel
{

namespace
{
using namespace std::chrono_literals;

// Regular report interval. Reports are sent sooner when load or quota use differs from what peers assume.
constexpr Duration ReportInterval = 800ms;
constexpr Duration UrgentReportInterval = 100ms;
// One in this many reports is complete, in case a peer missed a change.
constexpr std::uint32_t ReportsPerCompleteReport = 30;
// How often connections on which calls wait are checked.
constexpr Duration AwaitedCheckInterval = 500ms;
// A few nodes of each region have a long poll open at the store, and pass changes on to the others, so that a large document crosses between regions a few
// times only. The first of them uses a short wait so that a dead connection is noticed quickly.
constexpr std::size_t FollowersPerRegion = 3;
constexpr Duration FirstFollowerWait = 700ms;
constexpr Duration FollowerWait = 3s;
// A configuration has to be in force everywhere 2 s after the store has acknowledged it. A node that has not heard for this long, from whomever, that its own
// is the newest, asks the store. Longer than the first follower's wait and the change to another relay.
constexpr Duration ConfigurationAgeLimit = 1300ms;
// Within this time a starting node has usually read the roster, and then knows whether it is among the first that read the configuration.
constexpr Duration RosterTime = 100ms;
// After each such time without a configuration, as many further nodes of a region read it.
constexpr Duration InitialReaderInterval = 200ms;
// Two missed reports at one report per second, plus the delay of two relays.
constexpr Duration PeerSilenceLimit = 1800ms;
// How long a peer of which relays say nothing has to answer.
constexpr Duration SilentPeerAnswerTime = 600ms;
// A whole region is silent while its relays change; it counts as lost only after longer than that takes.
constexpr Duration RegionSilenceLimit = 6s;
// Rows of nodes that are gone permanently stay in the store's roster; such peers are contacted no longer than partitions and restarts last.
constexpr Duration PeerRetention = 30s;
constexpr Duration TrafficLogInterval = 5s;

} // namespace

bool MeshNode::Impl::sendMessage(const Endpoint &to, Envelope message)
{
    const MessageType type = message.type;
    const std::size_t bytes = FrameHeaderBytes + message.payload.size();
    if (!m_network || m_network->send(to, std::move(message)) != SendResult::Queued) {
        return false;
    }
    m_traffic.record(TrafficDirection::Sent, type, m_peers.distanceTo(to), bytes);
    return true;
}

void MeshNode::Impl::handleMessage(const Peer &from, const Envelope &envelope)
{
    if (m_isStopped) {
        return;
    }
    m_traffic.record(TrafficDirection::Received, envelope.type, m_peers.distanceTo(from.place), FrameHeaderBytes + envelope.payload.size());
    if (KnownPeer *peer = m_peers.find(from.node)) {
        peer->lastMessageAt = bootTime();
    }
    try {
        dispatchMessage(from, envelope);
    } catch (const ProtocolError &it) {
        handleMalformed(from, envelope, it.what());
    }
}

void MeshNode::Impl::dispatchMessage(const Peer &from, const Envelope &envelope)
{
    switch (envelope.type) {
    case MessageType::CallRequest:
        // If the connection is lost, the answer is too; the other node notices the loss.
        m_target.handleRequest(from.endpoint,
                               CallRequest::decode(envelope),
                               {
                                   .answer = [this, to = from.endpoint](const CallAnswer &answer) { sendMessage(to, answer.encode()); },
                                   .bodyPart = [this, to = from.endpoint](const CallBodyPart &part) { sendBodyPart(to, part); },
                               });
        return;
    case MessageType::CallAnswer:
        m_entry.handleAnswer(CallAnswer::decode(envelope));
        return;
    case MessageType::CallBodyPart:
        m_entry.handleBodyPart(CallBodyPart::decode(envelope));
        return;
    case MessageType::CallBodyCredit:
        m_target.handleBodyCredit(from.endpoint, CallBodyCredit::decode(envelope));
        return;
    case MessageType::CallCancel:
        m_target.handleCancel(from.endpoint, CallCancel::decode(envelope).attempt);
        return;
    case MessageType::NodeReport:
        handleNodeReport(from, NodeReport::decode(envelope));
        return;
    case MessageType::ReportBatch:
        handleReportBatch(from, ReportBatch::decode(envelope));
        return;
    case MessageType::ConfigurationRequest:
        if (m_feed.version() > ConfigurationRequest::decode(envelope).newerThan) {
            sendConfiguration(from);
        }
        return;
    case MessageType::ConfigurationDocument:
        m_metrics.recordConfigurationDocument("received", envelope.payload.size());
        m_fetcher.recordDocument(from.node);
        m_feed.handleDocument(ConfigurationDocument::decode(envelope), from.node.text());
        fetchConfiguration();
        return;
    default:
        throw ProtocolError(fmt::format("message type {} is not handled", static_cast<int>(envelope.type)));
    }
}

void MeshNode::Impl::handleMalformed(const Peer &from, const Envelope &envelope, const std::string &problem)
{
    reportMalformed(from, problem);
    const std::optional<AttemptId> attempt = attemptOf(envelope);
    if (!attempt) {
        return;
    }
    if (envelope.type == MessageType::CallRequest) {
        // The target is as well as before.
        const AdmissionHint hint{
            .admittedLevel = static_cast<PriorityLevel>(std::numeric_limits<std::uint8_t>::max()),
            .admittedFraction = 1,
            .load = static_cast<std::uint32_t>(m_target.attemptCount()),
            .limit = m_target.slots(),
        };
        sendMessage(from.endpoint, CallAnswer{*attempt, Verdict::refused(Reason::NoTarget), std::nullopt, hint, 0}.encode());
    } else if (envelope.type == MessageType::CallAnswer || envelope.type == MessageType::CallBodyPart) {
        m_entry.handleMalformedAnswer(*attempt);
    }
}

void MeshNode::Impl::reportMalformed(const Peer &from, const std::string &problem)
{
    ++m_malformedMessages;
    if (m_requestLog.tryAcquire(bootTime())) {
        logEvent(LogLevel::Warning, "malformed-message", {{"peer", from.node.text()}, {"detail", problem}});
    }
}

void MeshNode::Impl::sendBodyPart(const Endpoint &to, const CallBodyPart &part)
{
    // Without this part the body can't be whole. Posted, because this runs inside a call of the target.
    if (!sendMessage(to, part.encode()) && part.progress == BodyProgress::More) {
        asio::post(m_context, [this, to, attempt = part.attempt] {
            m_target.handleCancel(to, attempt);
            sendMessage(to, CallBodyPart{attempt, {}, BodyProgress::Broken}.encode());
        });
    }
}

void MeshNode::Impl::handleNodeReport(const Peer &from, const NodeReport &report)
{
    const TimePoint now = bootTime();
    // A subscription concerns the connection, whichever way the report came first.
    if (report.subscription != ReportSubscription::None && m_self) {
        handleSubscription(from, report, now);
    }
    if (m_peers.isOutdated(from, report)) {
        return;
    }
    const KnownPeer *before = m_peers.find(from.node);
    const bool wasReachable = before != nullptr && before->isReachable;
    applyReport(from, report, now, now);
    if (report.isForRelay) {
        relayReport(from, report, now);
    }
    if (report.receiverRateLimit) {
        restoreRateLimit(*report.receiverRateLimit);
    }
    applyTargetChange(m_life.mergeLeavings(report.receiverDepartures));
    fetchConfiguration();
    const KnownPeer *peer = m_peers.find(from.node);
    if (peer != nullptr && (report.asksReply || !wasReachable)) {
        sendCompleteReport(*peer, false);
    }
}

void MeshNode::Impl::applyReport(const Peer &from, const NodeReport &report, TimePoint sentAt, TimePoint now)
{
    if (const KnownPeer *other = m_peers.findOtherAt(from)) {
        // A relay may pass on what the node had said that was there before.
        if (other->peer.incarnation > from.incarnation) {
            return;
        }
        logEvent(LogLevel::Info, "peer-replaced", {{"peer", other->peer.node.text()}, {"by", from.node.text()}, {"endpoint", from.endpoint.text()}});
        removePeer(NodeId(other->peer.node));
    }
    const KnownPeer *before = m_peers.find(from.node);
    const bool isNewProcess = before != nullptr && before->lastReportAt && before->peer.incarnation != from.incarnation;
    KnownPeer &peer = m_peers.recordReport(from, report, sentAt);
    if (report.target) {
        m_router.update(*report.target, now);
    }
    setReachable(peer, true, "report");
    m_crashes.merge(report.crashReports);
    m_rateLimiter.applyReport(from.node, {report.uses, report.isComplete, isNewProcess}, now);
    m_fetcher.recordVersion(from.node, m_peers.distanceTo(from.place), report.configuration);
}

void MeshNode::Impl::fetchConfiguration()
{
    const std::optional<NodeId> node = m_fetcher.next(m_feed.version(), bootTime());
    const KnownPeer *peer = node ? m_peers.find(*node) : nullptr;
    if (peer == nullptr) {
        return;
    }
    logEvent(LogLevel::Info,
             "configuration-requested",
             {{"peer", peer->peer.node.text()}, {"newer-than", std::to_string(static_cast<std::uint64_t>(m_feed.version()))}});
    m_metrics.recordConfigurationDocument("requested", 0);
    sendMessage(peer->peer.endpoint, ConfigurationRequest{m_feed.version()}.encode());
}

void MeshNode::Impl::sendConfiguration(const Peer &to)
{
    logEvent(LogLevel::Info,
             "configuration-sent",
             {{"peer", to.node.text()},
              {"version", std::to_string(static_cast<std::uint64_t>(m_feed.version()))},
              {"bytes", std::to_string(m_feed.document().text.size())}});
    m_metrics.recordConfigurationDocument("sent", m_feed.document().text.size());
    sendMessage(to.endpoint, m_feed.document().encode());
}

void MeshNode::Impl::setReachable(KnownPeer &peer, bool isReachable, std::string_view reason)
{
    // The router treats a target with a new incarnation as reachable.
    m_router.setReachable(peer.peer.node, isReachable);
    if (peer.isReachable != isReachable) {
        peer.isReachable = isReachable;
        if (!isReachable) {
            m_fetcher.removePeer(peer.peer.node);
        }
        logEvent(LogLevel::Info, isReachable ? "peer-regained" : "peer-lost", {{"peer", peer.peer.node.text()}, {"reason", std::string(reason)}});
    }
}

void MeshNode::Impl::removePeer(const NodeId &node)
{
    m_router.setReachable(node, false);
    m_fetcher.removePeer(node);
    m_peers.remove(node);
}

void MeshNode::Impl::recordRelayLoss(const Peer &peer)
{
    const TimePoint now = bootTime();
    if (peer.place.region == m_settings.place.region) {
        m_relays.recordLoss(peer.node, now);
        std::erase_if(m_informedRelays, [&peer](const auto &it) { return it.first == peer.node; });
        if (m_subscribedRelay == peer.node) {
            m_subscribedRelay.reset();
        }
    } else if (const auto it = m_remoteRelays.find(peer.place.region); it != m_remoteRelays.end()) {
        it->second.recordLoss(peer.node, now);
    }
}

void MeshNode::Impl::handleUnsent(const Envelope &message)
{
    if (message.type == MessageType::CallRequest && !m_isStopped) {
        m_entry.handleUnsent(CallRequest::decode(message).attempt);
    }
}

void MeshNode::Impl::handlePeerLost(const Endpoint &endpoint, bool mayHaveArrived)
{
    if (KnownPeer *peer = m_peers.find(endpoint)) {
        const bool wasReachable = peer->isReachable;
        setReachable(*peer, false, "connection");
        recordRelayLoss(peer->peer);
        if (wasReachable) {
            // Only the connection may be lost; a reply to this report shows at once that the peer is alive. Posted, because this runs inside a network
            // callback.
            asio::post(m_context, [this, node = peer->peer.node] {
                if (const KnownPeer *known = m_peers.find(node)) {
                    sendCompleteReport(*known, true);
                }
            });
        }
    }
    m_entry.handlePeerLost(endpoint, mayHaveArrived);
    m_target.handleSenderLost(endpoint);
}

NodeReport MeshNode::Impl::completeReport(const KnownPeer &to) const
{
    NodeReport report = briefReport();
    report.target = m_record;
    report.departures = m_life.departures();
    report.receiverDepartures = to.departures.all();
    report.rateLimit = m_rateLimits.last();
    report.receiverRateLimit = to.rateLimit;
    report.crashReports = m_crashes.quarantined();
    return report;
}

void MeshNode::Impl::sendCompleteReport(const KnownPeer &to, bool asksReply)
{
    NodeReport report = completeReport(to);
    report.asksReply = asksReply;
    sendMessage(to.peer.endpoint, report.encode());
}

void MeshNode::Impl::announceState()
{
    if (!m_self) {
        return;
    }
    for (const auto &[node, peer] : m_peers.all()) {
        if (peer.isReachable) {
            sendCompleteReport(peer, false);
        }
    }
    m_isStateChanged = true;
    sendToRelays(ReportScope::Changed, true);
}

NodeReport MeshNode::Impl::briefReport() const
{
    return {
        .asksReply = false,
        .isComplete = false,
        .configuration = m_feed.version(),
        .target = std::nullopt,
        .departures = {},
        .receiverDepartures = {},
        .uses = {},
        .isStopping = m_isStopping,
        .isStoreReachable = m_feed.isStoreReachable(),
    };
}

void MeshNode::Impl::notifyRegion()
{
    if (!m_network) {
        return;
    }
    const Envelope message = briefReport().encode();
    for (const auto &[node, peer] : m_peers.all()) {
        if (peer.isReachable && m_peers.distanceTo(peer.peer.place) != PeerDistance::OtherRegion) {
            sendMessage(peer.peer.endpoint, message);
        }
    }
}

bool MeshNode::Impl::spreadsConfiguration(TimePoint now) const
{
    // Any other node has asked the store for itself; all others do the same, and messages to all from all are too many.
    return m_peers.regionRank() < FollowersPerRegion || m_relays.current() == m_settings.node || m_hub.hasSubscribers(now);
}

bool MeshNode::Impl::isInitialReader(TimePoint now) const
{
    // Nodes that start together have not heard from each other yet, but the roster names them all. Those that come first may be gone.
    const Duration age = now - m_startedAt;
    const auto readers = static_cast<std::size_t>(FollowersPerRegion * (1 + age / InitialReaderInterval));
    return age >= RosterTime && m_peers.rosterRank() < readers;
}

void MeshNode::Impl::updateFeed(TimePoint now)
{
    const std::size_t rank = m_peers.regionRank();
    // Those that the rank depends on, and the relays, may all be silent without being known as lost yet.
    const bool isOutdated = now - std::max(m_feed.verifiedAt(), m_startedAt) > ConfigurationAgeLimit;
    const bool isFollowing = rank < FollowersPerRegion || isOutdated;
    if (m_feed.current() ? isFollowing : isInitialReader(now)) {
        m_feed.start();
    }
    m_fetcher.setRegionRank(rank);
    m_feed.setWait(rank == 0 || m_relays.current() == m_settings.node ? FirstFollowerWait : FollowerWait);
    m_feed.setFollowing(isFollowing);
    // A follower that loses the store is replaced by the next node in order.
    if (std::exchange(m_wasStoreReachable, m_feed.isStoreReachable()) != m_feed.isStoreReachable()) {
        notifyRegion();
    }
}

void MeshNode::Impl::reportIfDue(TimePoint now)
{
    if (now - m_awaitedCheckedAt >= AwaitedCheckInterval) {
        m_awaitedCheckedAt = now;
        checkAwaitedPeers(now);
    }
    if (now - m_changesSentAt >= ReportInterval) {
        m_changesSentAt = now;
        checkPeers(now);
        contactLostPeers();
        m_reportsSinceComplete = (m_reportsSinceComplete + 1) % ReportsPerCompleteReport;
        sendToRelays(m_reportsSinceComplete == 0 ? ReportScope::Complete : ReportScope::Changed, false);
        logShortage();
    } else if (now - m_lastReportSentAt >= UrgentReportInterval) {
        if (m_meter.isReportUrgent(m_load, now)) {
            sendToRelays(ReportScope::Changed, true);
        } else if (m_rateLimiter.isReportUrgent(now) || !m_unsentCrashReports.empty()) {
            sendToRelays(ReportScope::Urgent, true);
        }
    }
    flushRelay(now);
}

const LoadReport &MeshNode::Impl::measureLoad(TimePoint now)
{
    m_load = m_meter.report(
        m_target.slots(), [this](const ServiceName &service) { return m_entry.retriesLeft(service); }, now);
    if (!isRegionLoadKnown(now)) {
        m_admission.noteReport(m_settings.node, m_load, now);
    }
    return m_load;
}

std::string MeshNode::Impl::formatRootFractions(const RootFractions &fractions) const
{
    std::string text;
    for (const MeshRoute &route : m_feed.current()->objects().routes) {
        for (const auto &[rootClass, fraction] : fractions) {
            if (rootClass.kind == requestKindOf(route.name)) {
                text += fmt::format("{}{}:{}={:.2f}", text.empty() ? "" : ",", route.name.text(), static_cast<int>(rootClass.priority), fraction);
            }
        }
    }
    return text;
}

void MeshNode::Impl::logShortage()
{
    const bool isShort = !m_admission.admitted().empty() || !m_admission.retried().empty();
    if (isShort) {
        logEvent(
            LogLevel::Info, "shortage", {{"admitted", formatRootFractions(m_admission.admitted())}, {"finished", formatRootFractions(m_admission.retried())}});
    } else if (m_wasShort) {
        logEvent(LogLevel::Info, "shortage-ended");
    }
    m_wasShort = isShort;
}

void MeshNode::Impl::logTraffic(TimePoint now)
{
    if (now - m_trafficLoggedAt < TrafficLogInterval) {
        return;
    }
    m_trafficLoggedAt = now;
    logEvent(LogLevel::Info,
             "peer-traffic",
             {{"connections", std::to_string(m_network ? m_network->connectionCount() : 0)},
              {"sent", m_traffic.takeSummary(TrafficDirection::Sent)},
              {"received", m_traffic.takeSummary(TrafficDirection::Received)}});
}

void MeshNode::Impl::checkPeers(TimePoint now)
{
    for (KnownPeer *it : m_peers.findSilent(m_regionHeardAt, now, PeerSilenceLimit, RegionSilenceLimit)) {
        // The relay may have lost the reports; the peer itself knows best.
        const bool isPinged = it->pingedAt && *it->pingedAt > it->lastMessageAt;
        if (!isPinged) {
            it->pingedAt = now;
            sendCompleteReport(*it, true);
        } else if (now - *it->pingedAt >= SilentPeerAnswerTime) {
            const Endpoint endpoint = it->peer.endpoint;
            setReachable(*it, false, "silent");
            m_network->drop(endpoint, "no report within the time limit");
        }
    }
    m_peers.removeUnreachable(now, PeerRetention);
    m_rateLimiter.setPeerCount(m_peers.size());
    logTraffic(now);
    if (const std::uint64_t n = m_requestLog.takeDroppedLines(); n > 0) {
        m_droppedLogLines += n;
        logEvent(LogLevel::Info, "log-lines-left-out", {{"count", std::to_string(n)}});
    }
}

} // namespace banyankeel

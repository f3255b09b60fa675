#include "mesh/meshnodeimpl.h"

#include "protocol/leavingcodec.h"
#include "state/errors.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace banyankeel
{

namespace
{
using namespace std::chrono_literals;

// Reports are due this often, and sooner when peers expect another use of an allowance.
constexpr Duration ReportInterval = 1s;
constexpr Duration UrgentReportInterval = 100ms;
// One in so many is complete, in case a peer missed what changed.
constexpr std::uint32_t BriefReports = 10;
// A change reaches every node from the store at once, over the question that it has open. So many nodes ask anew often, so that a connection that
// went silent is found; the others hear of a missed change in the reports of these, within a second.
constexpr std::size_t ConfigurationReaders = 4;
constexpr Duration ReaderWait = 1500ms;
constexpr Duration FollowerWait = 10s;
// A peer that reports every second is silent after two missed reports and the way.
constexpr Duration PeerSilence = 2200ms;
// A peer that is gone for good stays in the store's roster; it is not asked for longer than cuts and restarts last.
constexpr Duration PeerRetention = 30s;
constexpr Duration RosterRetry = 300ms;
constexpr Duration RegisterRetry = 300ms;
constexpr std::uint32_t RosterPage = 500;
// Reconnecting to a host behind a cut must not delay requests.
constexpr Duration HelloLimit = 700ms;
constexpr Duration LongestReconnect = 1s;
// Of one frame: the longest body and its headers.
constexpr std::size_t MaxFrameBytes = std::size_t{80} * 1024 * 1024;
constexpr std::size_t MaxQueuedBytes = std::size_t{32} * 1024 * 1024;

Incarnation incarnationAfter(Incarnation last)
{
    // The clock may have been set back since the process before this one.
    const auto now =
        static_cast<std::uint64_t>(std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now()).time_since_epoch().count());
    return Incarnation{std::max(now, static_cast<std::uint64_t>(last) + 1)};
}
} // namespace

void MeshNode::Impl::readRoster()
{
    m_rosterAt = bootTime();
    m_store.ask(ListRows{.table = std::string(HostRow::table()), .prefix = {}, .after = {}, .limit = RosterPage},
                [this](const StoreReply &reply) { rosterRead(reply); });
}

void MeshNode::Impl::rosterRead(const StoreReply &reply)
{
    if (m_isDead) {
        return;
    }
    const auto *read = std::get_if<RowsRead>(&reply);
    if (read == nullptr) {
        runAfter(RosterRetry, [this] { readRoster(); });
        return;
    }
    const TimePoint now = bootTime();
    Incarnation last{};
    std::vector<TargetLeaving> leavings;
    const bool isFirst = !m_isRegistered;
    for (const Row &row : read->rows) {
        try {
            const HostRow host = HostRow::decode(row.value);
            if (host.peer.node == m_settings.node) {
                last = host.peer.incarnation;
                leavings = host.leavings;
                if (isFirst) {
                    m_storedTarget = host.target;
                }
            } else {
                m_peers.listed(host.peer, now);
            }
        } catch (const Error &it) {
            // Another writer's row names no node.
            logEvent(LogLevel::Warning, "host-row-unreadable", {{"key", row.key.key}, {"detail", it.what()}});
        }
    }
    m_allowances.notePeers(m_peers.size());
    joinFleet(last);
    applyTarget(m_life.learn(leavings));
    if (isFirst) {
        registerSelf();
    }
    probeStoredTarget();
    sendCompleteReports(true);
}

void MeshNode::Impl::registerSelf()
{
    writeOwnRow([this](bool isWritten) {
        if (m_isStopping) {
            return;
        }
        if (!isWritten) {
            runAfter(RegisterRetry, [this] { registerSelf(); });
            return;
        }
        // Of two nodes that register at the same time, the later one finds the other in this read.
        m_isRegistered = true;
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
    network.helloLimit = HelloLimit;
    network.longestReconnect = LongestReconnect;
    m_network = std::make_unique<PeerNetwork>(m_context,
                                              std::move(network),
                                              PeerNetworkHooks{
                                                  .message = [this](const Peer &from, const Envelope &envelope) { received(from, envelope); },
                                                  .lost = [this](const Endpoint &peer, bool mayHaveArrived) { peerLost(peer, mayHaveArrived); },
                                                  .refused =
                                                      [](const std::string &remote, const std::string &problem) {
                                                          logEvent(LogLevel::Warning, "connection-refused", {{"remote", remote}, {"detail", problem}});
                                                      },
                                              });
    m_network->start();
    logEvent(LogLevel::Info, "joined", {{"incarnation", std::to_string(static_cast<std::uint64_t>(m_self->incarnation))}});
    if (m_life.serving() != nullptr) {
        recordTarget(TargetState::Serving);
    }
}

void MeshNode::Impl::writeOwnRow(std::function<void(bool)> done)
{
    const TargetReport *serving = m_life.serving();
    const HostRow row{*m_self, serving == nullptr ? std::nullopt : std::optional(StoredTarget{serving->boot, serving->slots}), m_life.leavings()};
    m_store.ask(WriteRows{{{row.key(), RowAction::Put, std::nullopt, row.encode()}}}, [done = std::move(done)](const StoreReply &reply) {
        const bool isWritten = std::holds_alternative<RowsWritten>(reply);
        if (!isWritten) {
            const auto *failure = std::get_if<StoreFailure>(&reply);
            logEvent(LogLevel::Warning, "host-row-not-written", {{"detail", failure == nullptr ? "conflict" : failure->detail}});
        }
        done(isWritten);
    });
}

void MeshNode::Impl::received(const Peer &from, const Envelope &envelope)
{
    if (m_isDead) {
        return;
    }
    switch (envelope.type) {
    case MessageType::CallRequest:
        m_target.requested(from.endpoint, CallRequest::decode(envelope), [this, to = from.endpoint](const CallAnswer &answer) {
            // If the connection is lost, so is the answer; the other side knows.
            m_network->send(to, answer.encode());
        });
        return;
    case MessageType::CallAnswer:
        m_entry.answered(CallAnswer::decode(envelope));
        return;
    case MessageType::CallCancel:
        m_target.cancelled(from.endpoint, CallCancel::decode(envelope).attempt);
        return;
    case MessageType::NodeReport:
        reported(from, NodeReport::decode(envelope));
        return;
    case MessageType::ConfigurationAsk:
        if (m_feed.version() > ConfigurationAsk::decode(envelope).newerThan) {
            m_network->send(from.endpoint, ConfigurationDocument{m_feed.document()}.encode());
        }
        return;
    case MessageType::ConfigurationDocument:
        m_feed.offered(ConfigurationDocument::decode(envelope).text);
        return;
    default:
        throw ProtocolError(fmt::format("message type {} is not handled", static_cast<int>(envelope.type)));
    }
}

void MeshNode::Impl::reported(const Peer &from, const NodeReport &report)
{
    const TimePoint now = bootTime();
    const KnownPeer *before = m_peers.find(from.node);
    const bool isNewProcess = before != nullptr && before->heardAt && before->peer.incarnation != from.incarnation;
    KnownPeer &peer = m_peers.reported(from, report, now);
    if (report.target) {
        m_router.update(*report.target, now);
    }
    const bool wasReachable = peer.isReachable;
    setReachable(peer, true, "report");
    if (report.load) {
        m_admission.noteReport(from.node, *report.load, now);
    }
    m_allowances.noteReport(from.node, {report.uses, report.isComplete, isNewProcess}, now);
    applyTarget(m_life.learn(report.leavingsOfReceiver));
    if (report.configuration > m_feed.version()) {
        m_network->send(from.endpoint, ConfigurationAsk{m_feed.version()}.encode());
    }
    if (report.asksReply || !wasReachable) {
        sendCompleteReport(peer, false);
    }
}

void MeshNode::Impl::setReachable(KnownPeer &peer, bool isReachable, std::string_view reason)
{
    // A target of a new incarnation begins as reachable in the router.
    m_router.setReachable(peer.peer.node, isReachable);
    if (peer.isReachable != isReachable) {
        peer.isReachable = isReachable;
        logEvent(LogLevel::Info, isReachable ? "peer-regained" : "peer-lost", {{"peer", peer.peer.node.text()}, {"reason", std::string(reason)}});
    }
}

void MeshNode::Impl::peerLost(const Endpoint &endpoint, bool mayHaveArrived)
{
    if (KnownPeer *peer = m_peers.find(endpoint)) {
        const bool wasReachable = peer->isReachable;
        setReachable(*peer, false, "connection");
        if (wasReachable) {
            // The peer may be well and only the connection lost: its answer to this says so at once. Not from within the network's own call.
            asio::post(m_context, [this, node = peer->peer.node] {
                if (const KnownPeer *known = m_peers.find(node)) {
                    sendCompleteReport(*known, true);
                }
            });
        }
    }
    m_entry.peerLost(endpoint, mayHaveArrived);
    m_target.senderLost(endpoint);
}

void MeshNode::Impl::sendCompleteReport(const KnownPeer &to, bool asksReply)
{
    if (!m_network) {
        return;
    }
    const NodeReport report{
        .asksReply = asksReply,
        .isComplete = true,
        .configuration = m_feed.version(),
        .target = m_record,
        .leavings = m_life.leavings(),
        .leavingsOfReceiver = to.leavings,
        .uses = m_allowances.reported(),
        .isStopping = m_isStopping,
        .load = m_load,
    };
    m_network->send(to.peer.endpoint, report.encode());
}

void MeshNode::Impl::sendCompleteReports(bool asksReply)
{
    if (!m_self) {
        return;
    }
    m_reportedAt = bootTime();
    m_lastReportAt = m_reportedAt;
    measureLoad(m_reportedAt);
    // Also settles what peers know by the reports to come.
    static_cast<void>(m_allowances.report(ReportScope::Complete, m_reportedAt));
    for (const auto &[node, peer] : m_peers.all()) {
        sendCompleteReport(peer, asksReply);
    }
}

void MeshNode::Impl::sendBriefReports(ReportScope scope)
{
    if (!m_self) {
        return;
    }
    m_lastReportAt = bootTime();
    const NodeReport report{
        .asksReply = false,
        .isComplete = false,
        .configuration = m_feed.version(),
        .target = std::nullopt,
        .leavings = {},
        .leavingsOfReceiver = {},
        .uses = m_allowances.report(scope, m_lastReportAt),
        .isStopping = m_isStopping,
        .load = scope == ReportScope::Changed ? std::optional(measureLoad(m_lastReportAt)) : std::nullopt,
    };
    const Envelope message = report.encode();
    for (const auto &[node, peer] : m_peers.all()) {
        m_network->send(peer.peer.endpoint, message);
    }
}

void MeshNode::Impl::reportIfDue(TimePoint now)
{
    if (now - m_reportedAt >= ReportInterval) {
        checkPeers(now);
        m_feed.setWait(m_peers.isAmongFirst(ConfigurationReaders) ? ReaderWait : FollowerWait);
        m_briefReports = (m_briefReports + 1) % BriefReports;
        if (m_briefReports == 0) {
            sendCompleteReports(false);
        } else {
            sendBriefReports(ReportScope::Changed);
            m_reportedAt = now;
        }
        logShortage();
    } else if (now - m_lastReportAt < UrgentReportInterval) {
        return;
    } else if (m_meter.isReportUrgent(m_load, now)) {
        sendBriefReports(ReportScope::Changed);
    } else if (m_allowances.isReportUrgent(now)) {
        sendBriefReports(ReportScope::Urgent);
    }
}

const LoadReport &MeshNode::Impl::measureLoad(TimePoint now)
{
    m_load = m_meter.report(
        m_target.slots(), [this](const ServiceName &service) { return m_entry.repeatsLeft(service); }, now);
    m_admission.noteReport(m_settings.node, m_load, now);
    return m_load;
}

std::string MeshNode::Impl::textOf(const RootParts &parts) const
{
    std::string text;
    for (const MeshRoute &route : m_feed.current()->objects().routes) {
        for (const auto &[rootClass, part] : parts) {
            if (rootClass.kind == requestKindOf(route.name)) {
                text += fmt::format("{}{}:{}={:.2f}", text.empty() ? "" : ",", route.name.text(), static_cast<int>(rootClass.priority), part);
            }
        }
    }
    return text;
}

void MeshNode::Impl::logShortage()
{
    const bool isShort = !m_admission.admitted().empty() || !m_admission.finished().empty();
    if (isShort) {
        logEvent(LogLevel::Info, "shortage", {{"admitted", textOf(m_admission.admitted())}, {"finished", textOf(m_admission.finished())}});
    } else if (m_isShort) {
        logEvent(LogLevel::Info, "shortage-ended");
    }
    m_isShort = isShort;
}

void MeshNode::Impl::checkPeers(TimePoint now)
{
    for (KnownPeer *it : m_peers.silent(now, PeerSilence)) {
        const Endpoint endpoint = it->peer.endpoint;
        setReachable(*it, false, "silent");
        m_network->drop(endpoint, "no report within the time limit");
    }
    m_peers.dropLost(now, PeerRetention);
    if (const std::uint64_t n = m_requestLog.takeLeftOut(); n > 0) {
        m_linesLeftOut += n;
        logEvent(LogLevel::Info, "log-lines-left-out", {{"count", std::to_string(n)}});
    }
}

} // namespace banyankeel

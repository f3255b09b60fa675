#include "node/node.h"

#include "node/contexttable.h"
#include "node/controlplane.h"
#include "node/entrycallhandler.h"
#include "node/nodestatus.h"
#include "node/operatorapi.h"
#include "node/quarantinecoordinator.h"
#include "node/securerandom.h"
#include "node/targetannouncement.h"
#include "node/targetcallhandler.h"
#include "node/targetstatetracker.h"
#include "protocol/callmessages.h"
#include "state/errors.h"
#include "telemetry/metrics.h"
#include "timeline/timelinecodec.h"
#include "timeline/timelinering.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/peernetwork.h"
#include "transport/storeclient.h"
#include "transport/workerpool.h"

#include <fmt/format.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace banyankeel
{

namespace
{
using namespace std::chrono_literals;

// How often expired deadlines and queue times are checked while requests are in flight, and otherwise.
constexpr Duration BusyExpiryInterval = 5ms;
constexpr Duration IdleExpiryInterval = 50ms;
constexpr Duration ProbeInterval = 500ms;
constexpr Duration ProbeTimeLimit = 400ms;
constexpr Duration IdlePollInterval = 10ms;
// Gives peers time to learn of the drain before connections are closed.
constexpr Duration MinDrainTime = 1s;
constexpr std::size_t ControlConnections = 8;

TimePoint steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

Incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation{static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count())};
}

Peer selfOf(const NodeSettings &settings)
{
    return {settings.node, newIncarnation(), settings.place, settings.listen.peers};
}

RandomSource systemRandom()
{
    return seededRandom(secureRandomNumber());
}
} // namespace

/// Owns the components of a node and connects their hooks.
class Node::Impl
{
public:
    explicit Impl(const NodeSettings &settings);

    void start();
    void startDraining();
    bool waitUntilIdle(const std::function<bool()> &isInterrupted);
    void stop();

private:
    ComponentRunnerHooks componentRunnerHooks();
    ControlPlaneHooks controlPlaneHooks();
    EntryCallHooks entryHooks();
    TargetCallHooks targetHooks();
    PeerNetworkSettings networkSettings() const;
    PeerNetworkHooks networkHooks();
    HttpServerSettings serverSettings(const Endpoint &listen, unsigned threads) const;
    RoutingSettings routingSettings() const;
    OperatorApiHooks operatorHooks();
    void addGauges();

    void handleMessage(const Peer &from, const Envelope &envelope);
    void dispatchMessage(const Peer &from, const Envelope &envelope);
    void reportMalformed(const Peer &from, const std::string &problem);
    void handleTargetHttp(HttpRequest request, const HttpResponder &respond);
    HttpResponse handleTargetAnnouncement(const HttpRequest &request);
    void expirePeriodically();
    void probePeriodically();
    void probe();
    void handleProbeResult(bool isReachable);
    void announce(std::optional<TargetState> state);
    [[nodiscard]] bool isIdle() const;

    const NodeSettings m_settings;
    const Peer m_self;
    Metrics m_metrics;
    TimelineRing m_timeline;
    const TimelineRecorder m_record;
    ContextTable m_contexts;
    WorkerPool m_pool;
    // Calls to the target use their own HTTP client, so that a slow store cannot delay them.
    HttpClient m_targetHttp;
    HttpClient m_controlHttp;
    StoreClient m_store;
    QuarantineCoordinator m_quarantine;
    ControlPlane m_control;
    std::unique_ptr<TargetCallHandler> m_target;
    EntryCallHandler m_entry;
    PeerNetwork m_network;
    OperatorApi m_operatorApi;
    HttpServer m_callerServer;
    HttpServer m_targetServer;
    HttpServer m_operatorServer;
    std::mutex m_stateMutex;
    TargetStateTracker m_stateTracker;
    std::uint32_t m_slots;
    std::uint32_t m_connections;
    std::atomic<bool> m_isDraining{false};
    std::atomic<bool> m_isProbing{false};
};

Node::Impl::Impl(const NodeSettings &settings)
    : m_settings(settings)
    , m_self(selfOf(settings))
    , m_timeline({.node = m_self.node, .incarnation = m_self.incarnation, .capacity = settings.limits.timelineEvents})
    , m_record(m_timeline.recorder())
    , m_pool(settings.limits.threads)
    , m_targetHttp({.maxConnections = settings.target ? settings.target->connections : 1, .maxBodyBytes = settings.limits.bodyBytes})
    , m_controlHttp({.maxConnections = ControlConnections})
    , m_store({.store = settings.store.address, .token = settings.store.token, .timeLimit = settings.store.timeLimit}, m_controlHttp)
    , m_quarantine({.now = steadyNow,
                    .sendToPeers =
                        [this](const CrashReport &report) {
                            for (const Peer &peer : m_control.peers()) {
                                m_network.send(peer.endpoint, report.encode());
                            }
                        },
                    .record = m_record},
                   m_self)
    , m_control(m_self, settings.bootstrapPeers, controlPlaneHooks())
    , m_entry(entryHooks(), m_contexts, m_metrics, TargetRouter(routingSettings(), systemRandom(), steadyNow()), RetryPolicy(RetrySettings{}, steadyNow()))
    , m_network(networkSettings(), networkHooks())
    , m_operatorApi(settings.operatorToken, m_metrics, operatorHooks())
    , m_callerServer(serverSettings(settings.listen.callers, settings.limits.threads),
                     [this](HttpRequest request, const HttpResponder &respond) { m_entry.handleCallerRequest(std::move(request), respond); })
    , m_targetServer(serverSettings(settings.listen.target, settings.limits.threads),
                     [this](HttpRequest request, const HttpResponder &respond) { handleTargetHttp(std::move(request), respond); })
    , m_operatorServer(serverSettings(settings.listen.operators, 1),
                       [this](const HttpRequest &request, const HttpResponder &respond) { respond(m_operatorApi.handle(request)); })
    , m_slots(settings.target ? settings.target->slots : 0)
    , m_connections(settings.target ? settings.target->connections : 0)
{
    if (settings.target) {
        m_target = std::make_unique<TargetCallHandler>(targetHooks(), *settings.target, m_self.incarnation, m_targetHttp, m_contexts, m_quarantine);
    }
    addGauges();
}

ComponentRunnerHooks Node::Impl::componentRunnerHooks()
{
    return {
        .now = steadyNow,
        .send = [this](const Endpoint &to, Envelope envelope) { m_network.send(to, std::move(envelope)); },
        .sendStoreRequest = [this](const StoreRequest &request, std::function<void(StoreReply)> reply) { m_store.send(request, std::move(reply)); },
        .runAt = [this](TimePoint time, std::function<void()> task) { m_pool.postAt(time, std::move(task)); },
        .record = m_record,
        .reportMalformed = [this](const Peer &from, const std::string &problem) { reportMalformed(from, problem); },
    };
}

ControlPlaneHooks Node::Impl::controlPlaneHooks()
{
    return {
        .runner = componentRunnerHooks(),
        .targetChanged = [this](const TargetRecord &record) { m_entry.targetChanged(record); },
        .claimDecided =
            [this](ClaimTicket ticket, ClaimResult result) {
                if (m_target) {
                    m_target->handleClaimResult(ticket, result);
                }
            },
        .post = [this](std::function<void()> task) { m_pool.post(std::move(task)); },
    };
}

EntryCallHooks Node::Impl::entryHooks()
{
    return {
        .self = m_self.incarnation,
        .now = steadyNow,
        .published = [this] { return m_control.published(); },
        .isStale = [this] { return m_control.isStale(); },
        .takeQuota = [this](const OrganisationId &organisation) { return m_control.takeQuota(organisation); },
        .returnQuota = [this](const OrganisationId &organisation) { m_control.returnQuota(organisation); },
        .send = [this](const Endpoint &to, Envelope envelope) { return m_network.send(to, std::move(envelope)); },
        .runAt = [this](TimePoint time, std::function<void()> task) { m_pool.postAt(time, std::move(task)); },
        .subscribe = [this](const ServiceName &service) { return m_control.subscribe(service); },
        .isQuarantined = [this](const RequestFingerprint &fingerprint) { return m_quarantine.isQuarantined(fingerprint); },
        .record = m_record,
    };
}

TargetCallHooks Node::Impl::targetHooks()
{
    return {
        .now = steadyNow,
        .published = [this] { return m_control.published(); },
        .send = [this](const Endpoint &to, Envelope envelope) { m_network.send(to, std::move(envelope)); },
        .claim = [this](ClaimTicket ticket, const RequestId &request) { m_control.claim(ticket, request); },
        .targetLost = [this] { probe(); },
        .record = m_record,
    };
}

PeerNetworkSettings Node::Impl::networkSettings() const
{
    PeerNetworkSettings network{.self = m_self, .secret = m_settings.secret};
    // Peers don't know the limits of this node, and send what theirs allow. Headers and the rest of a message take less than a body.
    network.maxFrameBytes = 2 * MaxBodyBytes;
    network.maxQueuedBytes = m_settings.limits.peerQueueBytes;
    network.maxConnections = m_settings.limits.connections;
    network.threads = m_settings.limits.threads;
    return network;
}

PeerNetworkHooks Node::Impl::networkHooks()
{
    return {
        .message = [this](const Peer &from, const Envelope &envelope) { handleMessage(from, envelope); },
        .lost = [this](const Endpoint &peer, bool /*mayHaveArrived*/) { m_entry.handlePeerLoss(peer); },
        .refused =
            [](const std::string &remote, const std::string &problem) {
                logEvent(LogLevel::Warning, "connection-refused", {{"remote", remote}, {"problem", problem}});
            },
        .malformed = [this](const Peer &from, const std::string &problem) { reportMalformed(from, problem); },
    };
}

HttpServerSettings Node::Impl::serverSettings(const Endpoint &listen, unsigned threads) const
{
    HttpServerSettings server{.listen = listen};
    server.threads = threads;
    server.maxBodyBytes = m_settings.limits.bodyBytes;
    server.maxConnections = m_settings.limits.connections;
    return server;
}

RoutingSettings Node::Impl::routingSettings() const
{
    return {.ownNode = m_settings.node, .place = m_settings.place};
}

void Node::Impl::start()
{
    m_network.start();
    m_operatorServer.start();
    m_targetServer.start();
    m_callerServer.start();
    m_control.start();
    logEvent(LogLevel::Info,
             "listening",
             {{"node", m_self.node.text()},
              {"incarnation", std::to_string(static_cast<std::uint64_t>(m_self.incarnation))},
              {"callers", m_settings.listen.callers.text()},
              {"operators", m_settings.listen.operators.text()},
              {"peers", m_settings.listen.peers.text()}});
    m_record({.kind = TimelineKind::Started, .root = std::nullopt, .detail = fmt::format("node={}", m_self.node.text())});
    expirePeriodically();
    if (m_target) {
        probePeriodically();
    }
}

void Node::Impl::handleMessage(const Peer &from, const Envelope &envelope)
{
    try {
        dispatchMessage(from, envelope);
    } catch (const Error &e) {
        reportMalformed(from, e.what());
    }
}

void Node::Impl::dispatchMessage(const Peer &from, const Envelope &envelope)
{
    switch (envelope.type) {
    case MessageType::CallRequest:
        if (m_target) {
            m_target->handleRequest(from, CallRequest::decode(envelope));
        }
        return;
    case MessageType::CallAnswer:
        m_entry.handleAnswer(from, CallAnswer::decode(envelope));
        return;
    case MessageType::CallCancel:
        if (m_target) {
            m_target->handleCancel(from, CallCancel::decode(envelope));
        }
        return;
    case MessageType::CrashReport:
        m_quarantine.handleReport(CrashReport::decode(envelope));
        return;
    default:
        if (!m_control.receive(from, envelope)) {
            reportMalformed(from, fmt::format("message type {} is not handled", static_cast<int>(envelope.type)));
        }
    }
}

void Node::Impl::reportMalformed(const Peer &from, const std::string &problem)
{
    m_metrics.counter("banyankeel_malformed_messages_total").add();
    logEvent(LogLevel::Warning, "malformed-message", {{"from", from.node.text()}, {"problem", problem}});
}

void Node::Impl::handleTargetHttp(HttpRequest request, const HttpResponder &respond)
{
    constexpr std::string_view AnnouncePath = "/banyankeel/announce";
    if (std::string_view(request.target).substr(0, AnnouncePath.size()) == AnnouncePath) {
        respond(handleTargetAnnouncement(request));
        return;
    }
    m_entry.handleDownstreamRequest(std::move(request), respond);
}

HttpResponse Node::Impl::handleTargetAnnouncement(const HttpRequest &request)
{
    const TargetAnnouncementRequest announcement = parseTargetAnnouncement(request.target);
    if (!announcement.state || !m_target) {
        return {.status = 400, .headers = {}, .body = "query parameter state must be starting, serving, draining or gone, and the node must have a target\n"};
    }
    const std::lock_guard lock(m_stateMutex);
    m_slots = announcement.slots.value_or(m_slots);
    m_connections = announcement.connections.value_or(m_connections);
    const bool wasGone = m_stateTracker.state() == TargetState::Gone;
    const std::optional<TargetState> changed = m_stateTracker.handleAnnouncement(*announcement.state);
    if (wasGone && (changed == TargetState::Starting || changed == TargetState::Serving)) {
        m_target->handleTargetReturn();
    }
    announce(changed);
    return {.status = 204, .headers = {}, .body = {}};
}

void Node::Impl::expirePeriodically()
{
    m_entry.expireAttempts();
    if (m_target) {
        m_target->expireQueued();
    }
    const bool isBusy = m_entry.isBusy() || (m_target && m_target->isBusy());
    m_pool.postAt(steadyNow() + (isBusy ? BusyExpiryInterval : IdleExpiryInterval), [this] { expirePeriodically(); });
}

void Node::Impl::probePeriodically()
{
    probe();
    m_pool.postAt(steadyNow() + ProbeInterval, [this] { probePeriodically(); });
}

void Node::Impl::probe()
{
    if (m_isProbing.exchange(true)) {
        return;
    }
    HttpCall call{
        .server = m_settings.target->address,
        .request = {.method = "GET", .target = m_settings.target->healthPath, .headers = {}, .body = {}},
        .timeLimit = ProbeTimeLimit,
    };
    m_controlHttp.send(std::move(call), [this](const HttpResult &result) {
        m_isProbing = false;
        // The target is gone only if connecting fails; a timeout is inconclusive.
        const bool isGone = !result.response && result.runState == RunState::NotRun && result.reason == Reason::ConnectionLost;
        if (result.response || isGone) {
            handleProbeResult(!isGone);
        }
    });
}

void Node::Impl::handleProbeResult(bool isReachable)
{
    m_quarantine.handleProbe(isReachable, isReachable ? std::vector<RequestFingerprint>{} : m_target->runningRequests());
    const std::lock_guard lock(m_stateMutex);
    const TargetState before = m_stateTracker.state();
    const std::optional<TargetState> changed = m_stateTracker.handleProbe(isReachable, steadyNow());
    if (changed == TargetState::Starting && before == TargetState::Gone) {
        m_target->handleTargetReturn();
    }
    announce(changed);
}

void Node::Impl::announce(std::optional<TargetState> state)
{
    if (!state) {
        return;
    }
    logEvent(
        LogLevel::Info, "target-state", {{"node", m_self.node.text()}, {"service", m_settings.target->service.text()}, {"state", std::string(nameOf(*state))}});
    m_control.announce(m_settings.target->service, *state, m_slots, m_connections);
}

void Node::Impl::startDraining()
{
    m_isDraining = true;
    logEvent(LogLevel::Info, "draining", {{"node", m_self.node.text()}});
    m_record({.kind = TimelineKind::Stopping, .root = std::nullopt, .detail = fmt::format("node={}", m_self.node.text())});
    if (m_target) {
        {
            const std::lock_guard lock(m_stateMutex);
            announce(m_stateTracker.startDraining());
        }
        m_target->startDraining();
    }
    m_callerServer.stopListening();
    m_control.startDraining();
}

bool Node::Impl::isIdle() const
{
    return !m_entry.isBusy() && !(m_target && m_target->isBusy()) && m_control.isReleased();
}

bool Node::Impl::waitUntilIdle(const std::function<bool()> &isInterrupted)
{
    const TimePoint begin = steadyNow();
    const TimePoint end = begin + m_settings.limits.drain;
    while (steadyNow() < begin + MinDrainTime || !isIdle()) {
        if (steadyNow() >= end || isInterrupted()) {
            return false;
        }
        std::this_thread::sleep_for(IdlePollInterval);
    }
    return true;
}

void Node::Impl::stop()
{
    m_control.stop();
    m_callerServer.stop();
    m_targetServer.stop();
    m_operatorServer.stop();
    m_network.stop();
    m_pool.stop();
}

OperatorApiHooks Node::Impl::operatorHooks()
{
    return {
        .health = [this]() -> std::pair<bool, std::string> {
            if (m_isDraining) {
                return {false, "draining"};
            }
            if (!m_control.published()) {
                return {false, "no configuration yet"};
            }
            return m_control.isStale() ? std::pair(false, std::string("configuration stale")) : std::pair(true, std::string("serving"));
        },
        .status =
            [this] {
                NodeStatus status{
                    .self = m_self,
                    .isDraining = m_isDraining,
                    .operators = m_settings.listen.operators,
                    .targetState = std::nullopt,
                    .control = m_control.status(),
                    .targets = m_entry.targets(),
                    .admission = std::nullopt,
                };
                if (m_target) {
                    const std::lock_guard lock(m_stateMutex);
                    status.targetState = m_stateTracker.state();
                    status.admission = m_target->hint();
                }
                return toJson(status);
            },
        .timeline = [this] { return encodeTimeline(m_timeline.events()); },
        .drain =
            [this] {
                if (m_target) {
                    const std::lock_guard lock(m_stateMutex);
                    announce(m_stateTracker.startDraining());
                }
                if (m_target) {
                    m_target->startDraining();
                }
            },
        .quarantine = [this] { return m_quarantine.listAsJson(); },
        .releaseQuarantine = [this](std::string_view fingerprint) { return m_quarantine.release(fingerprint); },
    };
}

void Node::Impl::addGauges()
{
    m_metrics.gauge("banyankeel_configuration_revision", {}, [this] {
        const PublishedViewPointer view = m_control.published();
        return view ? static_cast<double>(view->set.revision()) : 0.0;
    });
    m_metrics.gauge("banyankeel_configuration_staleness_seconds", {}, [this] { return std::chrono::duration<double>(m_control.staleness()).count(); });
    m_metrics.gauge("banyankeel_peer_sent_bytes_total", {}, [this] { return static_cast<double>(m_network.sentBytes()); });
    m_metrics.gauge("banyankeel_known_peers", {}, [this] { return static_cast<double>(m_control.peers().size()); });
    if (m_target) {
        m_metrics.gauge("banyankeel_admission_limit", {}, [this] { return static_cast<double>(m_target->hint().limit); });
        m_metrics.gauge("banyankeel_admission_load", {}, [this] { return static_cast<double>(m_target->hint().load); });
    }
}

Node::Node(const NodeSettings &settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

Node::~Node() = default;

void Node::start()
{
    m_impl->start();
}

void Node::startDraining()
{
    m_impl->startDraining();
}

bool Node::waitUntilIdle(const std::function<bool()> &isInterrupted)
{
    return m_impl->waitUntilIdle(isInterrupted);
}

void Node::stop()
{
    m_impl->stop();
}

} // namespace banyankeel

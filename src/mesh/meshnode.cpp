#include "mesh/meshnodeimpl.h"

#include "state/errors.h"

#include <asio/io_context.hpp>

#include <fmt/format.h>
#include <time.h>

#include <algorithm>
#include <random>
#include <utility>

namespace banyankeel
{

namespace
{
using namespace std::chrono_literals;
// Relays introduce new nodes to all others; the roster finds those that the relays do not know.
constexpr Duration RosterInterval = 90s;
constexpr Duration RelayRosterInterval = 20s;
// Without the store, other nodes can only be learned from their connections, so the node listens for peers after this time even if the store is silent.
constexpr Duration StoreTimeout = 1s;
constexpr Duration TickInterval = 100ms;
// Callers poll readiness and learn within two seconds that a node is stopping.
constexpr Duration CallerNoticeTime = 2500ms;
constexpr Duration ShutdownTick = 50ms;
// Callers that have not learned of the stop keep sending for a little longer; after that only requests that end before the process are accepted.
constexpr Duration LateArrivalLimit = 2900ms;
// Most requests on a target end within this time, during which peers send it no new ones.
constexpr Duration TargetDrainTime = 900ms;
// Remaining part of the grace period when requests in progress are abandoned.
constexpr Duration ShutdownReserve = 400ms;
// What is abandoned gets its answer written within this time.
constexpr Duration FlushTime = 150ms;
// A target on the same host accepts or refuses a connection at once.
constexpr Duration TargetConnectTime = 300ms;
constexpr std::size_t MaxRemainingLines = 20;
constexpr std::uint32_t RequestLinesPerSecond = 20;
constexpr int FirstErrorStatus = 400;
constexpr std::size_t ReservedDescriptors = 400;
// Most descriptors are for callers; one in this many is for connections to the target.
constexpr std::size_t TargetConnectionsDivisor = 3;
constexpr double HeldMemoryShare = 0.25;
// Probes, heartbeats and requests for metrics are short.
constexpr std::size_t SmallReadBufferBytes = std::size_t{4} * 1024;
// The start time of a target is a time of day, which may be set back or forward by some seconds.
constexpr std::chrono::seconds ClockStepAllowance{10};
// Idle connections are kept a little longer than the announced idle time, so that clients close them first.
constexpr Duration IdleTimeMargin = 1s;

RandomSource makeRandomSource()
{
    std::random_device device;
    return seededRandom((static_cast<std::uint64_t>(device()) << 32U) | device());
}

/// Larger than that of any earlier process of this node, by more than the requests that it may have sent.
std::uint64_t processNumber()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

std::string formatMilliseconds(Duration duration)
{
    return fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(duration).count());
}
} // namespace

TimePoint bootTime()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
}

MeshNode::Impl::Impl(asio::io_context &context, const MeshSettings &settings, PlatformAdapter adapter, MeshStore store)
    : m_context(context)
    , m_settings(settings)
    , m_adapter(std::move(adapter))
    , m_store(instrumentStore(std::move(store)))
    , m_peers(settings.node, settings.place)
    , m_life(wallNow() + ClockStepAllowance)
    , m_rateLimiter({.window = settings.quotaWindow, .overshoot = settings.quotaOvershoot, .slack = settings.quotaSlack})
    , m_router({.ownNode = settings.node, .place = settings.place, .hintEntries = 1024, .placement = Placement::ShortestTime}, makeRandomSource(), bootTime())
    , m_meter(settings.service)
    , m_admission({.retryRatio = settings.retryRatio})
    , m_load(m_meter.report(
          0, [](const ServiceName &) { return 0.0; }, bootTime()))
    , m_crashes(settings.node, crashHooks())
    , m_target(context,
               {.target = settings.target, .service = settings.service, .connections = settings.descriptors / TargetConnectionsDivisor},
               m_adapter.headers,
               {.now = bootTime,
                .ended =
                    [this](const std::string &requestId, const CallAnswer &answer, Duration waited, Duration ran) {
                        recordAttemptEnd(requestId, answer, waited, ran);
                    },
                .readNotice = m_adapter.readTargetNotice,
                .noticed = [this](const TargetBoot &boot, const TargetNotice &notice) { handleTargetNotice(boot, notice); },
                .runBegan = [this](RequestKind kind) { m_meter.runBegan(kind, bootTime()); },
                .runEnded = [this](RequestKind kind, Duration time, bool hasResponse) { m_meter.runEnded(kind, time, hasResponse, bootTime()); }},
               m_crashes)
    , m_entry({.service = settings.service,
               .self = settings.peers,
               .retryRatio = settings.retryRatio,
               .retrySlack = settings.retrySlack,
               .retryWindow = settings.retryWindow,
               .firstAttempt = processNumber()},
              m_adapter.headers,
              entryHooks(),
              {m_router, m_rateLimiter, m_meter, m_admission})
    , m_hub(settings.place.region, {})
    , m_relays({})
    , m_feed({.row = m_adapter.configurationRow}, feedHooks())
    , m_fetcher({})
    , m_callers(context,
                {.listen = settings.callers,
                 .maxConnections = settings.descriptors - std::min(settings.descriptors, ReservedDescriptors + settings.descriptors / TargetConnectionsDivisor),
                 .maxBufferedBytes = static_cast<std::size_t>(static_cast<double>(settings.memoryBytes) * HeldMemoryShare)},
                [this](HttpRequest request, const HttpResponder &respond) { m_entry.handleRequest(std::move(request), respond); })
    , m_readiness(context,
                  {.listen = settings.readiness, .readBufferBytes = SmallReadBufferBytes},
                  [this](const HttpRequest &request, const HttpResponder &respond) { handleReadinessProbe(request, respond); })
    , m_reports(context,
                {.listen = settings.reports, .readBufferBytes = SmallReadBufferBytes},
                [this](const HttpRequest &request, const HttpResponder &respond) { handleTargetNotification(request, respond); })
    , m_metricsServer(context,
                      {.listen = settings.metrics, .readBufferBytes = SmallReadBufferBytes},
                      [this](const HttpRequest &request, const HttpResponder &respond) { handleMetricsRequest(request, respond); })
    , m_tickTimer(context)
    , m_entryTimer(context)
    , m_requestLog(RequestLinesPerSecond)
{
}

MeshEntryHooks MeshNode::Impl::entryHooks()
{
    return {
        .now = bootTime,
        .configuration = [this] { return m_feed.current(); },
        .send = [this](const Endpoint &to, Envelope message) { return sendMessage(to, std::move(message)); },
        .runLocally =
            [this](CallRequest request) {
                m_target.handleRequest(m_settings.peers,
                                       std::move(request),
                                       {
                                           .answer = [this](CallAnswer answer) { m_entry.handleAnswer(std::move(answer)); },
                                           .bodyPart = [this](CallBodyPart part) { m_entry.handleBodyPart(std::move(part)); },
                                       });
            },
        .cancelLocally = [this](AttemptId attempt) { m_target.handleCancel(m_settings.peers, attempt); },
        .creditLocally = [this](const CallBodyCredit &credit) { m_target.handleBodyCredit(m_settings.peers, credit); },
        .scheduleExpiry = [this](TimePoint time) { wakeEntryAt(time); },
        .nodeCount = [this] { return m_peers.size() + 1; },
        .mayHavePredecessor = [this] { return m_mayHavePredecessor && bootTime() - m_startedAt < m_settings.retryWindow; },
        .ended = [this](const EntryOutcome &outcome) { recordRequestEnd(outcome); },
        .retryShare = [this] { return m_target.retryShare(); },
        .findParentRequest = [this](std::string_view callId) { return m_target.findByCallId(callId); },
        .isQuarantined = [this](const RequestFingerprint &fingerprint) { return m_crashes.isQuarantined(fingerprint); },
        .crashesOf = [this](const RequestFingerprint &fingerprint) { return m_crashes.crashesOf(fingerprint); },
    };
}

CrashMonitorHooks MeshNode::Impl::crashHooks()
{
    return {
        .now = bootTime,
        .runAfter = [this](Duration delay, std::function<void()> task) { runAfter(delay, std::move(task)); },
        .checkPort = [this](std::function<void(PortState)> result) { checkPort(m_context, m_settings.target, TargetConnectTime, std::move(result)); },
        .reported = [this](const std::vector<CrashReport> &reports) { reportCrashes(reports); },
    };
}

ConfigurationFeedHooks MeshNode::Impl::feedHooks()
{
    return {
        .now = bootTime,
        .ask = m_store.send,
        .follow = m_store.follow,
        .runAfter = [this](Duration delay, std::function<void()> task) { runAfter(delay, std::move(task)); },
        .decode = [this](const std::string &document) { return decodeConfiguration(document); },
        .changed = [this](const MeshConfigurationPointer &configuration, std::string_view source) { applyConfiguration(configuration, source); },
        .reportProblem =
            [](const std::string &event, const std::string &detail) {
                logEvent(LogLevel::Warning, event, {{"detail", detail}});
            },
        .storeRegained = [] { logEvent(LogLevel::Info, "store-regained"); },
    };
}

void MeshNode::Impl::start()
{
    m_readiness.start();
    m_reports.start();
    m_callers.start();
    m_metricsServer.start();
    logEvent(
        LogLevel::Info,
        "listening",
        {{"node", m_settings.node.text()}, {"service", m_settings.service.text()}, {"callers", m_settings.callers.text()}, {"peers", m_settings.peers.text()}});
    m_startedAt = bootTime();
    readRoster();
    runAfter(StoreTimeout, [this] { joinFleet(Incarnation{}); });
    tick();
}

void MeshNode::Impl::runAfter(Duration delay, std::function<void()> task)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([this, timer, task = std::move(task)](const std::error_code &ec) {
        if (!ec && !m_isStopped) {
            task();
        }
    });
}

MeshConfigurationPointer MeshNode::Impl::decodeConfiguration(const std::string &document)
{
    const TimePoint began = bootTime();
    MeshConfigurationPointer configuration = m_adapter.decodeConfiguration(document);
    m_configurationDecodeTime = bootTime() - began;
    return configuration;
}

void MeshNode::Impl::applyConfiguration(const MeshConfigurationPointer &configuration, std::string_view source)
{
    const MeshObjects &objects = configuration->objects();
    logEvent(LogLevel::Info,
             "configuration",
             {{"version", std::to_string(static_cast<std::uint64_t>(configuration->version()))},
              {"routes", std::to_string(objects.routes.size())},
              {"organisations", std::to_string(objects.organisations.size())},
              {"source", std::string(source)},
              {"bytes", std::to_string(m_feed.document().text.size())},
              {"decode-ms", formatMilliseconds(m_configurationDecodeTime)}});
    m_rateLimiter.configure(objects.organisations, bootTime());
    m_admission.configure(objects);
    // Connections opened under a longer idle time keep it, as announced to their clients.
    m_idleTime = std::max(m_idleTime, objects.limits.idleTimeout);
    EdgeLimits limits;
    limits.message = {.headerBytes = objects.limits.headerBytes, .bodyBytes = objects.limits.bodyBytes};
    limits.headerTimeout = objects.limits.headerTimeout;
    limits.idleTimeout = m_idleTime + IdleTimeMargin;
    m_callers.setLimits(limits);
    probeStoredTarget();
    confirmTarget();
    // Peers of the region have been notified by the peer of the region that provided this configuration.
    const KnownPeer *peer = source == ConfigurationFeed::StoreSource ? nullptr : m_peers.find(NodeId::verbatim(std::string(source)));
    if ((peer == nullptr || m_peers.distanceTo(peer->peer.place) == PeerDistance::OtherRegion) && spreadsConfiguration(bootTime())) {
        notifyRegion();
    }
}

void MeshNode::Impl::wakeEntryAt(TimePoint time)
{
    if (m_entryWake && *m_entryWake <= time) {
        return;
    }
    m_entryWake = time;
    m_entryTimer.expires_after(std::max(Duration::zero(), time - bootTime()));
    m_entryTimer.async_wait([this](const std::error_code &ec) {
        if (!ec) {
            m_entryWake.reset();
            m_entry.expireRequests();
        }
    });
}

void MeshNode::Impl::tick()
{
    m_tickTimer.expires_after(TickInterval);
    m_tickTimer.async_wait([this](const std::error_code &ec) {
        if (ec) {
            return;
        }
        const TimePoint now = bootTime();
        m_target.expireQueued();
        m_meter.recordLoad(m_target.attemptCount(), now);
        updateFeed(now);
        updateRelays(now);
        reportIfDue(now);
        fetchConfiguration();
        const bool isOwnRelay = m_relays.current() == m_settings.node;
        if (now - m_rosterReadAt >= (isOwnRelay ? RelayRosterInterval : RosterInterval)) {
            readRoster();
        }
        tick();
    });
}

void MeshNode::Impl::recordRequestEnd(const EntryOutcome &outcome)
{
    const EntryRequest *request = outcome.request;
    m_metrics.recordRequest(outcome.verdict,
                            request == nullptr ? "-" : request->route->name.text(),
                            request == nullptr ? "-" : request->call.context.organisation.text(),
                            outcome.age);
    if (outcome.status < FirstErrorStatus || !m_requestLog.tryAcquire(bootTime())) {
        return;
    }
    logEvent(LogLevel::Info,
             "request",
             {{"id", std::string(outcome.requestId)},
              {"status", std::to_string(outcome.status)},
              {"verdict", std::string(nameOf(outcome.verdict.runState()))},
              {"reason", std::string(nameOf(outcome.verdict.reason()))},
              {"route", request == nullptr ? "-" : request->route->name.text()},
              {"service", request == nullptr ? "-" : request->call.service.text()},
              {"organisation", request == nullptr ? "-" : request->call.context.organisation.text()},
              {"target", request == nullptr || !request->choice ? "-" : request->choice->peer.node.text()},
              {"arrivals", request == nullptr ? "0" : std::to_string(request->arrivals)},
              {"refusals", request == nullptr ? "0" : std::to_string(request->nodeRefusals)},
              {"age-ms", formatMilliseconds(outcome.age)}});
}

void MeshNode::Impl::recordAttemptEnd(const std::string &requestId, const CallAnswer &answer, Duration waited, Duration ran)
{
    m_metrics.recordAttempt(answer.verdict, waited, ran);
    const int status = answer.response ? answer.response->status : 0;
    const bool isServed = answer.verdict.isSuccess() && status < FirstErrorStatus;
    if (isServed || !m_requestLog.tryAcquire(bootTime())) {
        return;
    }
    const TargetReport *target = m_life.current();
    logEvent(LogLevel::Info,
             "attempt",
             {{"id", requestId},
              {"target", target == nullptr ? "-" : target->boot.name},
              {"status", std::to_string(status)},
              {"verdict", std::string(nameOf(answer.verdict.runState()))},
              {"reason", std::string(nameOf(answer.verdict.reason()))},
              {"waited-ms", formatMilliseconds(waited)},
              {"ran-ms", formatMilliseconds(ran)},
              {"load", std::to_string(answer.hint.load)},
              {"limit", std::to_string(answer.hint.limit)}});
}

MeshStore MeshNode::Impl::instrumentStore(MeshStore store)
{
    return {
        .send =
            [this, send = std::move(store.send)](const StoreRequest &request, std::function<void(StoreReply)> reply) {
                const std::string_view call = std::holds_alternative<WriteRows>(request) ? "write" : "list";
                send(request, [this, call, began = bootTime(), reply = std::move(reply)](StoreReply it) {
                    m_metrics.recordStoreCall(call, !std::holds_alternative<StoreFailure>(it), bootTime() - began);
                    reply(std::move(it));
                });
            },
        .follow =
            [this, follow = std::move(store.follow)](const FollowRows &request, std::function<void(FollowReply)> reply) {
                follow(request, [this, began = bootTime(), reply = std::move(reply)](FollowReply it) {
                    m_metrics.recordStoreCall("follow", !std::holds_alternative<StoreFailure>(it), bootTime() - began);
                    reply(std::move(it));
                });
            },
    };
}

void MeshNode::Impl::handleMetricsRequest(const HttpRequest &request, const HttpResponder &respond)
{
    constexpr int Ok = 200;
    constexpr int NotFound = 404;
    if (request.method != "GET" || request.target != "/metrics") {
        respond({.status = NotFound, .headers = {}, .body = {}});
        return;
    }
    const auto reachable = std::ranges::count_if(m_peers.all(), [](const auto &it) { return it.second.isReachable; });
    std::vector<Gauge> gauges{
        {"banyankeel_configuration_version", static_cast<double>(m_feed.version())},
        {"banyankeel_store_reachable", m_feed.isStoreReachable() ? 1.0 : 0.0},
        {"banyankeel_known_peers", static_cast<double>(m_peers.size())},
        {"banyankeel_reachable_peers", static_cast<double>(reachable)},
        {"banyankeel_peer_connections", static_cast<double>(m_network ? m_network->connectionCount() : 0)},
        {"banyankeel_requests_under_way", static_cast<double>(m_entry.requestCount())},
        {"banyankeel_caller_buffered_bytes", static_cast<double>(m_callers.bufferedBytes())},
        {"banyankeel_admission_load", static_cast<double>(m_target.attemptCount())},
        {"banyankeel_admission_limit", static_cast<double>(m_target.slots())},
        {"banyankeel_target_crashes_total", static_cast<double>(m_crashes.crashes())},
        {"banyankeel_quarantined_requests", static_cast<double>(m_crashes.quarantined().size())},
        {"banyankeel_malformed_messages_total", static_cast<double>(m_malformedMessages)},
        {"banyankeel_log_lines_left_out_total", static_cast<double>(m_droppedLogLines)},
    };
    for (const auto &[name, fractions] :
         {std::pair("banyankeel_admitted_part", &m_admission.admitted()), std::pair("banyankeel_finished_part", &m_admission.retried())}) {
        for (const auto &[rootClass, fraction] : *fractions) {
            gauges.push_back(
                {fmt::format("{}{{kind=\"{:08x}\",priority=\"{}\"}}", name, static_cast<std::uint32_t>(rootClass.kind), static_cast<int>(rootClass.priority)),
                 fraction});
        }
    }
    respond({.status = Ok, .headers = {{"Content-Type", "text/plain; version=0.0.4"}}, .body = m_metrics.exposition(gauges) + m_traffic.exposition()});
}

void MeshNode::Impl::drain(std::function<void()> stopped)
{
    if (m_isStopping) {
        return;
    }
    m_isStopping = true;
    m_stopAt = bootTime();
    m_stopped = std::move(stopped);
    m_entry.beginShutdown(m_stopAt + LateArrivalLimit, m_stopAt + m_settings.gracePeriod - ShutdownReserve);
    logEvent(LogLevel::Info, "stopping", {{"requests", std::to_string(m_entry.requestCount())}, {"attempts", std::to_string(m_target.attemptCount())}});
    checkShutdown();
}

void MeshNode::Impl::checkShutdown()
{
    const Duration age = bootTime() - m_stopAt;
    const bool isIdle = !m_entry.isBusy() && !m_target.isBusy() && m_callers.busyConnections() == 0;
    // The target is healthy and peers need its slots, so it is served until shortly before the shutdown ends.
    if (age >= CallerNoticeTime - TargetDrainTime && !m_hasDrainedTarget) {
        m_hasDrainedTarget = true;
        if (m_record && m_record->state != TargetState::Draining) {
            publishTargetRecord(TargetState::Draining);
        }
    }
    if (age >= CallerNoticeTime) {
        m_callers.startDraining();
    }
    if (age >= CallerNoticeTime && isIdle) {
        finishShutdown();
        return;
    }
    if (age >= m_settings.gracePeriod - ShutdownReserve && !m_hasEndedRemaining) {
        endRemaining();
    }
    if (age >= m_settings.gracePeriod - ShutdownReserve + FlushTime) {
        finishShutdown();
        return;
    }
    runAfter(ShutdownTick, [this] { checkShutdown(); });
}

void MeshNode::Impl::endRemaining()
{
    m_hasEndedRemaining = true;
    logRemaining();
    m_callers.stopListening();
    // What waits at the own target is known not to have run.
    m_entry.stopRetries();
    m_target.endAll();
    m_entry.endAll();
}

void MeshNode::Impl::finishShutdown()
{
    logEvent(m_hasEndedRemaining ? LogLevel::Warning : LogLevel::Info, "stopped", {{"drained", m_hasEndedRemaining ? "no" : "yes"}});
    m_feed.stop();
    m_callers.stopListening();
    m_stopped();
}

void MeshNode::Impl::logRemaining() const
{
    const std::vector<PendingRequest> requests = m_entry.pending();
    const std::vector<PendingRequest> attempts = m_target.pending();
    const EdgeBusyCounts connections = m_callers.busyCounts();
    logEvent(LogLevel::Warning,
             "grace-period-over",
             {{"requests", std::to_string(requests.size())},
              {"attempts", std::to_string(attempts.size())},
              {"connections-reading", std::to_string(connections.reading)},
              {"connections-handling", std::to_string(connections.handling)},
              {"connections-writing", std::to_string(connections.writing)}});
    for (const auto &[kind, pending] : {std::pair("request", &requests), std::pair("attempt", &attempts)}) {
        for (std::size_t n = 0; n < std::min(pending->size(), MaxRemainingLines); ++n) {
            const PendingRequest &it = (*pending)[n];
            logEvent(LogLevel::Warning,
                     "still-under-way",
                     {{"kind", kind},
                      {"id", it.requestId},
                      {"route", it.route},
                      {"waits-for", std::string(it.waitsFor)},
                      {"node", it.node},
                      {"age-ms", formatMilliseconds(it.age)}});
        }
    }
}

void MeshNode::Impl::reload(const MeshSettings &settings)
{
    for (const std::string &it : changedSettings(m_settings, settings)) {
        const bool appliesNow = it == "grace-period";
        logEvent(LogLevel::Info, "setting-changed", {{"setting", it}, {"in-force", appliesNow ? "now" : "after-restart"}});
    }
    m_settings.gracePeriod = settings.gracePeriod;
}

void MeshNode::Impl::stopNow()
{
    m_isStopping = true;
    m_isStopped = true;
    m_feed.stop();
    m_callers.stop();
    m_readiness.stop();
    m_reports.stop();
    m_metricsServer.stop();
    m_tickTimer.cancel();
    m_entryTimer.cancel();
    if (m_network) {
        m_network->stop();
    }
    m_target.closeConnections();
}

MeshNode::MeshNode(asio::io_context &context, const MeshSettings &settings, PlatformAdapter adapter, MeshStore store)
    : m_impl(std::make_unique<Impl>(context, settings, std::move(adapter), std::move(store)))
{
}

MeshNode::~MeshNode() = default;

void MeshNode::start()
{
    m_impl->start();
}

void MeshNode::drain(std::function<void()> stopped)
{
    m_impl->drain(std::move(stopped));
}

void MeshNode::reload(const MeshSettings &settings)
{
    m_impl->reload(settings);
}

void MeshNode::stopNow()
{
    m_impl->stopNow();
}

} // namespace banyankeel

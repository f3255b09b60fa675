#include "mesh/meshtarget.h"

#include "mesh/crashmonitor.h"
#include "state/errors.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace banyankeel
{

namespace
{
// How long requests are refused after a connection to the target failed.
constexpr Duration UnreachableBackoff = std::chrono::milliseconds(250);
// A request with less time left would be cancelled before making progress.
constexpr Duration MinRunTime = std::chrono::milliseconds(1);
// A target sends a report within two seconds, so a slower probe would be useless.
constexpr Duration ProbeTimeout = std::chrono::seconds(1);
constexpr Duration RefusalRetryAfter = std::chrono::milliseconds(300);
constexpr int FirstServerError = 500;
// The share of a target's slots that may be in use at once.
constexpr double UsableSlotShare = 0.94;

// A queued request is refused this long before its deadline, so that its entry node learns in time that it has not run.
constexpr Duration QueueAnswerTime = std::chrono::milliseconds(30);

TimePoint queueExpiryOf(TimePoint deadline)
{
    return deadline - QueueAnswerTime;
}

/// Leaves some of the announced slots unused, because some targets slow down when nearly all are taken.
std::uint32_t usableSlots(std::uint32_t slots)
{
    return std::max<std::uint32_t>(static_cast<std::uint32_t>(slots * UsableSlotShare), 1);
}

/// Whether the response with this verdict is certainly from the target. One without a signature may come from elsewhere, and a target with another name says
/// nothing about this one.
bool isOwnResponse(const Verdict &verdict)
{
    return verdict.runState() == RunState::Ran || (verdict.runState() == RunState::NotRun && verdict.reason() == Reason::TargetFailed);
}

CompletionKind classifyCompletion(const CallOutcome &outcome)
{
    if (outcome.response) {
        return outcome.response->status >= FirstServerError ? CompletionKind::Failed : CompletionKind::Succeeded;
    }
    switch (outcome.verdict.reason()) {
    case Reason::DeadlineExpired:
        return CompletionKind::TimedOut;
    case Reason::ConnectionLost:
        return CompletionKind::Crashed;
    case Reason::TargetFailed:
        return outcome.verdict.runState() == RunState::NotRun ? CompletionKind::TargetOverloaded : CompletionKind::Failed;
    default:
        return CompletionKind::Failed;
    }
}
} // namespace

MeshTarget::MeshTarget(asio::io_context &context, MeshTargetSettings settings, HeaderDialect headers, MeshTargetHooks hooks, CrashMonitor &crashes)
    : m_settings(std::move(settings))
    , m_headers(std::move(headers))
    , m_hooks(std::move(hooks))
    , m_crashes(crashes)
    , m_pool(context, {.server = m_settings.target, .maxConnections = m_settings.connections, .response = {}})
    , m_startTimer(context)
    , m_expiryTimer(context)
{
}

MeshTarget::~MeshTarget() = default;

void MeshTarget::serve(const TargetReport &report, std::optional<double> ratePerSecond)
{
    if (m_boot != report.boot) {
        const bool hasLeft = !m_isServing;
        stopServing();
        // Requests running on the previous boot may have run there; its connections are unusable.
        m_pool.reset();
        m_crashes.recordNewBoot(hasLeft);
        m_boot = report.boot;
        AdmissionSettings admission;
        admission.announcedSlots = usableSlots(report.slots);
        admission.limitRule = LimitRule::Fixed;
        admission.connections = static_cast<std::uint32_t>(std::max<std::size_t>(m_settings.connections, admission.announcedSlots));
        admission.usesDownstreamWindow = false;
        m_admission = std::make_unique<AdmissionController>(admission, m_hooks.now());
        m_unreachableUntil = {};
    }
    m_isServing = true;
    setRateLimit(ratePerSecond);
}

void MeshTarget::setRateLimit(std::optional<double> ratePerSecond)
{
    if (m_admission) {
        AdmissionActions actions;
        m_admission->setRateLimit(ratePerSecond, m_hooks.now(), actions);
        apply(actions);
    }
}

void MeshTarget::scheduleNextStart()
{
    const TimePoint now = m_hooks.now();
    const std::optional<TimePoint> next = m_admission ? m_admission->nextStartAt(now) : std::nullopt;
    if (!next || (m_nextStartAt && *m_nextStartAt <= *next)) {
        return;
    }
    m_nextStartAt = next;
    m_startTimer.expires_after(*next - now);
    m_startTimer.async_wait([this](const std::error_code &ec) {
        if (!ec) {
            m_nextStartAt.reset();
            expireQueued();
        }
    });
}

void MeshTarget::stopServing()
{
    m_isServing = false;
    if (m_admission) {
        AdmissionActions actions;
        m_admission->startDraining(m_hooks.now(), actions);
        apply(actions);
    }
}

std::optional<Verdict> MeshTarget::refusalBeforeAdmission(const CallRequest &request, TimePoint now) const
{
    if (request.service != m_settings.service) {
        // The sender takes this node for one that had its address before.
        return Verdict::refused(Reason::NoTarget, RefusalRetryAfter);
    }
    if (!m_isServing || !m_admission) {
        return Verdict::refused(m_boot ? Reason::Draining : Reason::NoTarget, RefusalRetryAfter);
    }
    if (now < m_unreachableUntil) {
        return Verdict::refused(Reason::ConnectionLost, RefusalRetryAfter);
    }
    return std::nullopt;
}

void MeshTarget::handleRequest(const Endpoint &sender, CallRequest request, Reply reply)
{
    const TimePoint now = m_hooks.now();
    const auto ticket = static_cast<AttemptTicket>(++m_lastTicket);
    const Offer offer{
        .ticket = ticket,
        .root = request.context.root,
        .organisation = request.context.organisation,
        .priority = request.context.priority,
        .weight = 1,
        .deadline = now + request.context.remaining,
        .kind = requestKindOf(request.route),
    };
    const Key key{sender, request.attempt};
    const double retryShare = request.repeatPercent / 100.0;
    RequestFingerprint fingerprint =
        RequestFingerprint::of(request.context.organisation, request.route, request.http.method, request.http.target, request.http.body);
    std::string requestId(findHeader(request.http.headers, m_headers.requestId).value_or(""));
    Attempt &attempt = m_attempts
                           .emplace(ticket,
                                    Attempt{.key = key,
                                            .request = std::move(request),
                                            .requestId = std::move(requestId),
                                            .reply = std::move(reply),
                                            .received = now,
                                            .deadline = offer.deadline,
                                            .kind = offer.kind,
                                            .fingerprint = std::move(fingerprint),
                                            .retryShare = retryShare})
                           .first->second;
    m_byKey[key] = ticket;
    if (const std::optional<Verdict> refusal = refusalBeforeAdmission(attempt.request, now)) {
        refuse(attempt, *refusal);
        return;
    }
    AdmissionActions actions;
    m_admission->offer(offer, now, actions);
    apply(actions);
    const auto queued = m_attempts.find(ticket);
    if (queued != m_attempts.end() && !queued->second.isRunning) {
        m_queueExpiries.emplace(queueExpiryOf(queued->second.deadline), ticket);
        scheduleExpiry();
    }
}

void MeshTarget::scheduleExpiry()
{
    if (m_queueExpiries.empty() || (m_expiryTimerAt && *m_expiryTimerAt <= m_queueExpiries.begin()->first)) {
        return;
    }
    m_expiryTimerAt = m_queueExpiries.begin()->first;
    m_expiryTimer.expires_after(std::max(Duration::zero(), *m_expiryTimerAt - m_hooks.now()));
    m_expiryTimer.async_wait([this](const std::error_code &ec) {
        if (!ec) {
            m_expiryTimerAt.reset();
            expireOverdue();
        }
    });
}

void MeshTarget::expireOverdue()
{
    const TimePoint now = m_hooks.now();
    while (!m_queueExpiries.empty() && m_queueExpiries.begin()->first <= now) {
        const AttemptTicket ticket = m_queueExpiries.begin()->second;
        m_queueExpiries.erase(m_queueExpiries.begin());
        AdmissionActions actions;
        if (m_admission->cancel(ticket, now, actions)) {
            refuse(m_attempts.at(ticket), Verdict::refused(Reason::DeadlineExpired, RefusalRetryAfter));
        }
        apply(actions);
    }
    scheduleExpiry();
}

void MeshTarget::endAll()
{
    stopServing();
    while (!m_attempts.empty()) {
        const auto it = m_attempts.begin();
        m_pool.cancel(it->second.call);
        handleResult(it->first, {std::nullopt, RunState::MayHaveRun, Reason::Draining, "the node stops"});
    }
}

std::map<Endpoint, TimePoint> MeshTarget::oldestBySender() const
{
    std::map<Endpoint, TimePoint> oldest;
    for (const auto &[ticket, attempt] : m_attempts) {
        const auto [it, isNew] = oldest.try_emplace(attempt.key.first, attempt.received);
        it->second = std::min(it->second, attempt.received);
    }
    return oldest;
}

std::vector<PendingRequest> MeshTarget::pending() const
{
    const TimePoint now = m_hooks.now();
    std::vector<PendingRequest> found;
    for (const auto &[ticket, it] : m_attempts) {
        found.push_back({it.requestId, it.request.route.text(), it.isRunning ? "target" : "slot", {}, now - it.received});
    }
    std::ranges::sort(found, std::greater(), &PendingRequest::age);
    return found;
}

void MeshTarget::apply(AdmissionActions &actions)
{
    // Neither refuse() nor run() re-enters here from the pool, which calls back asynchronously.
    for (const RefusedOffer &it : actions.refused) {
        const auto found = m_attempts.find(it.ticket);
        if (found != m_attempts.end()) {
            refuse(found->second, it.verdict);
        }
    }
    for (const AttemptTicket it : actions.run) {
        run(it);
    }
    scheduleNextStart();
}

void MeshTarget::run(AttemptTicket ticket)
{
    const auto found = m_attempts.find(ticket);
    if (found == m_attempts.end()) {
        return;
    }
    Attempt &attempt = found->second;
    const TimePoint now = m_hooks.now();
    const Duration remaining = attempt.deadline - now;
    if (remaining < MinRunTime) {
        abandon(ticket, Verdict::refused(Reason::DeadlineExpired));
        return;
    }
    if (const std::optional<Verdict> refusal = m_crashes.begin(attempt.fingerprint, attempt.request.suspectedCrashes, now)) {
        abandon(ticket, *refusal);
        return;
    }
    m_queueExpiries.erase({queueExpiryOf(attempt.deadline), ticket});
    beginRun(attempt, now);
    HttpRequest http = std::move(attempt.request.http);
    http.headers.push_back({m_headers.remainingTime, std::to_string(std::chrono::floor<std::chrono::milliseconds>(remaining).count())});
    http.headers.push_back({m_headers.expectedTarget, m_boot->name});
    PoolCall call{
        .request = std::move(http),
        .timeLimit = remaining,
        .isRepeatable = !attempt.request.claim.has_value(),
        .isAnswer = [headers = &m_headers, requestId = attempt.requestId](const HttpResponse &response) { return isResponseTo(*headers, requestId, response); },
        .isAmbiguous = [headers = &m_headers](const HttpResponse &response) { return !findHeader(response.headers, headers->requestId); },
        .repeatId = attempt.requestId,
        .stream =
            ResponseStream{
                .began = [this, ticket](HttpResponse head, std::optional<std::uint64_t> length) { beginStream(ticket, std::move(head), length); },
                .part = [this, ticket](std::string bytes) { sendBodyPart(ticket, std::move(bytes)); },
                .initialCredit = InitialBodyCredit,
            },
    };
    attempt.call = m_pool.send(std::move(call), [this, ticket](HttpResult result) { handleResult(ticket, std::move(result)); });
}

void MeshTarget::abandon(AttemptTicket ticket, const Verdict &verdict)
{
    refuse(m_attempts.at(ticket), verdict);
    AdmissionActions actions;
    m_admission->complete(ticket, {Duration::zero(), CompletionKind::Cancelled}, m_hooks.now(), actions);
    apply(actions);
}

void MeshTarget::recordRunEnd(const Attempt &attempt, const CallOutcome &outcome)
{
    const bool isLost = outcome.verdict.runState() == RunState::MayHaveRun && outcome.verdict.reason() == Reason::ConnectionLost;
    if (isOwnResponse(outcome.verdict)) {
        m_crashes.recordAnswer(attempt.fingerprint, attempt.started, outcome.verdict.runState() == RunState::Ran);
    } else if (isLost && !outcome.response) {
        m_crashes.recordLost(attempt.fingerprint, attempt.started);
    } else {
        m_crashes.recordEnd(attempt.fingerprint, attempt.started);
    }
}

void MeshTarget::handleResult(AttemptTicket ticket, HttpResult result)
{
    const auto found = m_attempts.find(ticket);
    if (found == m_attempts.end()) {
        return;
    }
    const TimePoint now = m_hooks.now();
    const bool isUnreachable = !result.response && result.runState == RunState::NotRun && result.reason == Reason::ConnectionLost;
    if (isUnreachable) {
        m_unreachableUntil = now + UnreachableBackoff;
    }
    CallOutcome outcome = takeOutcome(std::move(result));
    Attempt &attempt = found->second;
    const Completion completion{now - attempt.started, classifyCompletion(outcome)};
    endRun(attempt, now, outcome.response.has_value());
    recordRunEnd(attempt, outcome);
    AdmissionActions actions;
    m_admission->complete(ticket, completion, now, actions);
    if (attempt.isStreaming) {
        const CallAnswer ended{attempt.request.attempt, outcome.verdict, std::nullopt, hintFor(attempt.request, now), 0};
        m_hooks.ended(attempt.requestId, ended, attempt.started - attempt.received, now - attempt.started);
        const Reply reply = std::move(attempt.reply);
        const AttemptId id = attempt.request.attempt;
        removeAttempt(attempt);
        const BodyProgress progress = outcome.response ? BodyProgress::Complete : BodyProgress::Broken;
        reply.bodyPart({id, outcome.response ? std::move(outcome.response->body) : std::string(), progress});
    } else {
        sendAnswer(attempt, outcome.verdict, std::move(outcome.response));
    }
    apply(actions);
}

CallOutcome MeshTarget::takeOutcome(HttpResult result)
{
    const std::optional<TargetNotice> notice = result.response ? std::optional(m_hooks.readNotice(*result.response)) : std::nullopt;
    CallOutcome outcome = classifyResult(m_headers, std::move(result));
    if (notice && isOwnResponse(outcome.verdict)) {
        // Before other requests are started in place of this one.
        m_hooks.noticed(*m_boot, *notice);
    }
    return outcome;
}

void MeshTarget::beginStream(AttemptTicket ticket, HttpResponse head, std::optional<std::uint64_t> length)
{
    const auto found = m_attempts.find(ticket);
    if (found == m_attempts.end()) {
        return;
    }
    CallOutcome outcome = classifyResult(m_headers, {head, RunState::Ran, Reason::None, {}});
    if (!outcome.response) {
        // The body is not wanted, whatever its length.
        m_pool.cancel(found->second.call);
        handleResult(ticket, {std::move(head), RunState::Ran, Reason::None, {}});
        return;
    }
    Attempt &attempt = found->second;
    attempt.isStreaming = true;
    m_hooks.noticed(*m_boot, m_hooks.readNotice(head));
    // Copied, because the sender may cancel the attempt from within the call.
    const auto answer = attempt.reply.answer;
    answer({
        .attempt = attempt.request.attempt,
        .verdict = outcome.verdict,
        .response = std::move(outcome.response),
        .hint = hintFor(attempt.request, m_hooks.now()),
        .retriesSpent = 0,
        .following = FollowingBody{length},
    });
}

void MeshTarget::sendBodyPart(AttemptTicket ticket, std::string bytes)
{
    const auto found = m_attempts.find(ticket);
    if (found != m_attempts.end()) {
        // Copied, because the sender may cancel the attempt from within the call.
        const auto bodyPart = found->second.reply.bodyPart;
        bodyPart({found->second.request.attempt, std::move(bytes), BodyProgress::More});
    }
}

void MeshTarget::handleBodyCredit(const Endpoint &sender, const CallBodyCredit &credit)
{
    const auto found = m_byKey.find({sender, credit.attempt});
    if (found == m_byKey.end()) {
        return;
    }
    const Attempt &attempt = m_attempts.at(found->second);
    if (attempt.isStreaming) {
        m_pool.grant(attempt.call, credit.bytes);
    }
}

void MeshTarget::beginRun(Attempt &attempt, TimePoint now)
{
    attempt.started = now;
    attempt.isRunning = true;
    ++m_running;
    m_runningRetryShares += attempt.retryShare;
    m_byRequestId[attempt.requestId] = m_byKey.at(attempt.key);
    m_hooks.runBegan(attempt.kind);
}

void MeshTarget::endRun(const Attempt &attempt, TimePoint now, bool hasResponse)
{
    --m_running;
    m_runningRetryShares = m_running == 0 ? 0 : m_runningRetryShares - attempt.retryShare;
    m_byRequestId.erase(attempt.requestId);
    m_hooks.runEnded(attempt.kind, now - attempt.started, hasResponse);
}

const CallRequest *MeshTarget::findByCallId(std::string_view callId) const
{
    // Targets that propagate request ids form a call's id from the request's id, a dot and a suffix. Other calls have no known parent.
    const std::size_t dot = callId.rfind('.');
    const auto found = dot == std::string_view::npos ? m_byRequestId.end() : m_byRequestId.find(std::string(callId.substr(0, dot)));
    return found == m_byRequestId.end() ? nullptr : &m_attempts.at(found->second).request;
}

std::uint32_t MeshTarget::slots() const
{
    return m_isServing && m_admission ? m_admission->limit(m_hooks.now()) : 0;
}

void MeshTarget::refuse(Attempt &attempt, const Verdict &verdict)
{
    sendAnswer(attempt, verdict, std::nullopt);
}

void MeshTarget::sendAnswer(Attempt &attempt, const Verdict &verdict, std::optional<HttpResponse> response)
{
    const TimePoint now = m_hooks.now();
    CallAnswer answer{
        .attempt = attempt.request.attempt,
        .verdict = verdict,
        .response = std::move(response),
        .hint = hintFor(attempt.request, now),
        .retriesSpent = 0,
    };
    const TimePoint started = attempt.isRunning ? attempt.started : now;
    m_hooks.ended(attempt.requestId, answer, started - attempt.received, now - started);
    const Reply reply = std::move(attempt.reply);
    removeAttempt(attempt);
    reply.answer(std::move(answer));
}

void MeshTarget::removeAttempt(const Attempt &attempt)
{
    const auto byKey = m_byKey.find(attempt.key);
    const AttemptTicket ticket = byKey->second;
    m_queueExpiries.erase({queueExpiryOf(attempt.deadline), ticket});
    m_byKey.erase(byKey);
    m_attempts.erase(ticket);
}

AdmissionHint MeshTarget::hintFor(const CallRequest &request, TimePoint now) const
{
    if (m_admission) {
        return m_admission->hintFor(request.context.organisation, request.context.priority, now);
    }
    return {request.context.priority, 0, 0, 0};
}

void MeshTarget::cancel(AttemptTicket ticket)
{
    const auto found = m_attempts.find(ticket);
    const TimePoint now = m_hooks.now();
    AdmissionActions actions;
    if (found->second.isRunning) {
        endRun(found->second, now, false);
        m_crashes.recordEnd(found->second.fingerprint, found->second.started);
        m_pool.cancel(found->second.call);
        m_admission->complete(ticket, {now - found->second.started, CompletionKind::Cancelled}, now, actions);
    } else {
        m_admission->cancel(ticket, now, actions);
    }
    removeAttempt(found->second);
    apply(actions);
}

void MeshTarget::handleCancel(const Endpoint &sender, AttemptId attempt)
{
    const auto found = m_byKey.find({sender, attempt});
    if (found != m_byKey.end()) {
        cancel(found->second);
    }
}

void MeshTarget::handleSenderLost(const Endpoint &sender)
{
    std::vector<AttemptTicket> lost;
    for (auto it = m_byKey.lower_bound({sender, AttemptId{}}); it != m_byKey.end() && it->first.first == sender; ++it) {
        lost.push_back(it->second);
    }
    for (const AttemptTicket it : lost) {
        // Cancelling one attempt may start another one of this list, which may then be refused and removed.
        if (m_attempts.contains(it)) {
            cancel(it);
        }
    }
}

void MeshTarget::probe(const std::string &path, std::function<void(const std::optional<HttpResponse> &response)> answered)
{
    PoolCall call{
        .request = {.method = "GET", .target = path, .headers = {{"Host", m_settings.target.text()}}, .body = {}},
        .timeLimit = ProbeTimeout,
    };
    m_pool.send(std::move(call), [answered = std::move(answered)](const HttpResult &result) { answered(result.response); });
}

void MeshTarget::expireQueued()
{
    if (!m_admission) {
        return;
    }
    AdmissionActions actions;
    m_admission->tick(m_hooks.now(), actions);
    apply(actions);
}

} // namespace banyankeel

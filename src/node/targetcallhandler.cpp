#include "node/targetcallhandler.h"

#include "coordination/routing/rootcandidates.h"
#include "node/responses.h"
#include "protocol/headernames.h"

#include <fmt/format.h>

#include <algorithm>

namespace banyankeel
{

namespace
{
using namespace std::chrono_literals;

constexpr std::size_t AnswerCacheBytes = std::size_t{4} * 1024 * 1024;
constexpr int StatusServiceUnavailable = 503;
constexpr int FirstServerError = 500;

AdmissionSettings admissionSettingsOf(const TargetSettings &target)
{
    AdmissionSettings settings;
    settings.announcedSlots = target.slots;
    settings.connections = target.connections;
    return settings;
}

RequestFingerprint fingerprintOf(const CallRequest &request)
{
    return RequestFingerprint::of(request.context.organisation, request.route, request.http.method, request.http.target, request.http.body);
}

HttpRequest requestForTarget(const CallRequest &request, const std::string &token, Duration remaining)
{
    HttpRequest http = request.http;
    http.headers = forwardedHeaders(http.headers);
    const auto ms = std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count());
    http.headers.push_back({std::string(headers::Deadline), std::to_string(ms)});
    http.headers.push_back({std::string(headers::Context), token});
    http.headers.push_back({std::string(headers::Request), request.context.root.text()});
    return http;
}

/// Interprets a 503 response: the request was not run only if the target says so in the verdict header.
Verdict overloadVerdictOf(const HttpResponse &response)
{
    const std::optional<std::string_view> verdict = findHeader(response.headers, headers::Verdict);
    const bool isNotRun = verdict && parseRunState(*verdict) == RunState::NotRun;
    return isNotRun ? Verdict::refused(Reason::Overloaded) : Verdict::unknown(Reason::TargetFailed);
}

Verdict verdictOf(const HttpResult &result)
{
    if (!result.response) {
        const Reason reason = result.reason == Reason::None ? Reason::ConnectionLost : result.reason;
        return result.runState == RunState::NotRun ? Verdict::refused(reason) : Verdict::unknown(reason);
    }
    if (result.response->status == StatusServiceUnavailable) {
        return overloadVerdictOf(*result.response);
    }
    return Verdict::ran();
}

CompletionKind completionKindOf(const HttpResult &result, const DownstreamUsage &usage)
{
    if (!result.response) {
        switch (result.reason) {
        case Reason::DeadlineExpired:
            return CompletionKind::TimedOut;
        case Reason::Cancelled:
            return CompletionKind::Cancelled;
        case Reason::ConnectionLost:
            return CompletionKind::Crashed;
        default:
            return CompletionKind::Failed;
        }
    }
    if (result.response->status < FirstServerError) {
        return CompletionKind::Succeeded;
    }
    if (usage.wasOverloaded) {
        return CompletionKind::DownstreamOverloaded;
    }
    return result.response->status == StatusServiceUnavailable ? CompletionKind::TargetOverloaded : CompletionKind::Failed;
}

/// Formats what is needed of a request to replay admission from the timeline.
std::string arrivalDetails(const Peer &from, const CallRequest &request)
{
    const CallContext &context = request.context;
    return fmt::format("message=call-request from={} organisation={} priority={} depth={} remaining_us={}",
                       from.node.text(),
                       context.organisation.text(),
                       static_cast<unsigned>(context.priority),
                       static_cast<unsigned>(context.depth),
                       std::chrono::duration_cast<std::chrono::microseconds>(context.remaining).count());
}

std::uint64_t timelineLink(const Peer &sender, const CallRequest &request)
{
    return attemptLink(request.context.root, request.attempt, sender.incarnation);
}
} // namespace

TargetCallHandler::TargetCallHandler(
    TargetCallHooks hooks, const TargetSettings &target, Incarnation incarnation, HttpClient &http, ContextTable &contexts, QuarantineCoordinator &quarantine)
    : m_hooks(std::move(hooks))
    , m_target(target)
    , m_incarnation(incarnation)
    , m_http(http)
    , m_contexts(contexts)
    , m_quarantine(quarantine)
    , m_answerCache(AnswerCacheBytes)
    , m_admission(admissionSettingsOf(target), m_hooks.now())
    , m_executions(LedgerSettings{}, m_hooks.now())
{
}

void TargetCallHandler::handleRequest(const Peer &from, CallRequest request)
{
    const TimePoint now = m_hooks.now();
    const RequestFingerprint fingerprint = fingerprintOf(request);
    auto attempt = std::make_shared<Attempt>(Attempt{
        .from = from,
        .request = std::move(request),
        .received = now,
        .deadline = TimePoint{},
        .token = {},
        .http = std::nullopt,
        .started = {},
        .fingerprint = fingerprint,
    });
    attempt->deadline = now + attempt->request.context.remaining;
    recordEvent(TimelineKind::MessageReceived, *attempt, arrivalDetails(attempt->from, attempt->request), timelineLink(attempt->from, attempt->request));
    const PublishedViewPointer view = m_hooks.published();
    if (const std::optional<Verdict> refusal = validate(attempt->request, view.get())) {
        sendAnswer(*attempt, *refusal, std::nullopt);
        return;
    }
    if (attempt->request.claim) {
        if (std::optional<HttpResponse> first = m_answerCache.find(*attempt->request.claim)) {
            sendAnswer(*attempt, Verdict::ran(), std::move(first));
            return;
        }
    }
    if (m_quarantine.isQuarantined(fingerprint)) {
        sendAnswer(*attempt, Verdict::refused(Reason::Quarantined), std::nullopt);
        return;
    }
    const Organisation *organisation = view->set.find<Organisation>(ObjectKind::Organisation, attempt->request.context.organisation.text());
    AdmissionActions actions;
    {
        const std::lock_guard lock(m_mutex);
        const AttemptTicket ticket{++m_lastTicket};
        m_attempts.emplace(ticket, attempt);
        m_tickets.insert_or_assign({from.node, attempt->request.attempt}, ticket);
        const Offer offer{
            .ticket = ticket,
            .root = attempt->request.context.root,
            .organisation = attempt->request.context.organisation,
            .priority = attempt->request.context.priority,
            .weight = organisation == nullptr ? std::uint16_t{1} : organisation->weight,
            .deadline = attempt->deadline,
            .depth = attempt->request.context.depth,
        };
        m_admission.offer(offer, now, actions);
    }
    execute(actions);
}

std::optional<Verdict> TargetCallHandler::validate(const CallRequest &request, const PublishedView *view)
{
    if (request.targetIncarnation != m_incarnation || request.service != m_target.service || view == nullptr) {
        return Verdict::refused(Reason::NoTarget);
    }
    if (const std::optional<Reason> reason = view->keys.refusalReason({request.context.key, request.context.organisation})) {
        return Verdict::refused(*reason);
    }
    if (request.context.remaining <= Duration(0)) {
        return Verdict::refused(Reason::DeadlineExpired);
    }
    const std::lock_guard lock(m_mutex);
    return m_isDraining ? std::optional(Verdict::refused(Reason::Draining)) : std::nullopt;
}

void TargetCallHandler::execute(const AdmissionActions &actions)
{
    for (const RefusedOffer &it : actions.refused) {
        if (const AttemptPointer attempt = remove(it.ticket)) {
            sendAnswer(*attempt, it.verdict, std::nullopt);
        }
    }
    for (const AttemptTicket ticket : actions.run) {
        run(ticket);
    }
}

void TargetCallHandler::run(AttemptTicket ticket)
{
    const AttemptPointer attempt = find(ticket);
    if (!attempt) {
        return;
    }
    recordEvent(TimelineKind::Admitted, *attempt, fmt::format("service={}", m_target.service.text()));
    if (attempt->request.repeatId && !beginExecution(*attempt)) {
        abandon(ticket, Verdict::refused(Reason::RetryBudgetSpent));
        return;
    }
    if (attempt->request.claim) {
        m_hooks.claim(static_cast<ClaimTicket>(ticket), *attempt->request.claim);
        return;
    }
    callTarget(ticket, attempt);
}

bool TargetCallHandler::beginExecution(const Attempt &attempt)
{
    const std::lock_guard lock(m_mutex);
    return m_executions.begin(*attempt.request.repeatId, ExecutionsPerTarget, m_hooks.now()) == LedgerResult::Granted;
}

void TargetCallHandler::handleClaimResult(ClaimTicket claim, ClaimResult result)
{
    const auto ticket = static_cast<AttemptTicket>(claim);
    const AttemptPointer attempt = find(ticket);
    if (!attempt) {
        return;
    }
    switch (result) {
    case ClaimResult::Granted:
        callTarget(ticket, attempt);
        return;
    case ClaimResult::Duplicate:
        abandon(ticket, Verdict::unknown(Reason::DuplicateRequest));
        return;
    case ClaimResult::Unavailable:
        abandon(ticket, Verdict::refused(Reason::ClaimUnavailable, 1s));
        return;
    }
}

void TargetCallHandler::abandon(AttemptTicket ticket, const Verdict &verdict)
{
    const AttemptPointer attempt = remove(ticket);
    if (!attempt) {
        return;
    }
    sendAnswer(*attempt, verdict, std::nullopt);
    if (verdict.runState() == RunState::NotRun && attempt->request.repeatId && verdict.reason() != Reason::RetryBudgetSpent) {
        const std::lock_guard lock(m_mutex);
        m_executions.undoBegin(*attempt->request.repeatId);
    }
    complete(ticket, {.serviceTime = Duration(0), .kind = CompletionKind::Cancelled});
}

void TargetCallHandler::callTarget(AttemptTicket ticket, const AttemptPointer &attempt)
{
    const TimePoint now = m_hooks.now();
    if (attempt->deadline <= now) {
        // Keep a granted claim: a repeat is told that the request may have run, which is safe.
        abandon(ticket, Verdict::refused(Reason::DeadlineExpired));
        return;
    }
    if (const std::optional<Verdict> refusal = m_quarantine.begin(attempt->fingerprint, attempt->request.suspectedCrashes)) {
        abandon(ticket, *refusal);
        return;
    }
    attempt->token = m_contexts.open(attempt->request.context, attempt->deadline);
    attempt->started = now;
    recordEvent(TimelineKind::TargetCalled, *attempt, fmt::format("target={}", m_target.address.text()));
    const Duration remaining = attempt->deadline - now;
    HttpCall call{.server = m_target.address, .request = requestForTarget(attempt->request, attempt->token, remaining), .timeLimit = remaining};
    const HttpCallId id = m_http.send(std::move(call), [this, ticket](const HttpResult &result) { handleTargetResponse(ticket, result); });
    const std::lock_guard lock(m_mutex);
    attempt->http = id;
    if (attempt->isCancelled) {
        m_http.cancel(id);
    }
}

void TargetCallHandler::handleTargetResponse(AttemptTicket ticket, const HttpResult &result)
{
    const AttemptPointer attempt = remove(ticket);
    if (!attempt) {
        return;
    }
    const TimePoint now = m_hooks.now();
    const DownstreamUsage usage = m_contexts.usage(attempt->token);
    m_contexts.close(attempt->token);
    const Verdict verdict = verdictOf(result);
    const CompletionKind kind = completionKindOf(result, usage);
    recordEvent(
        TimelineKind::TargetAnswered, *attempt, fmt::format("status={} verdict={}", result.response ? result.response->status : 0, nameOf(verdict.runState())));
    if (attempt->request.claim && verdict.isSuccess()) {
        m_answerCache.put(*attempt->request.claim, *result.response);
    }
    sendAnswer(*attempt, verdict, verdict.isSuccess() ? result.response : std::nullopt, usage);
    reportOutcome(*attempt, kind, verdict);
    const Duration total = now - attempt->started;
    complete(ticket, {.serviceTime = total, .kind = kind, .downstreamTime = std::min(total, usage.waitTime), .downstream = usage.hint});
}

void TargetCallHandler::reportOutcome(const Attempt &attempt, CompletionKind kind, const Verdict &verdict)
{
    if (kind != CompletionKind::Crashed) {
        if (verdict.isSuccess()) {
            m_quarantine.recordSuccess(attempt.fingerprint);
        } else {
            m_quarantine.recordEnd(attempt.fingerprint);
        }
        return;
    }
    if (verdict.runState() == RunState::NotRun) {
        m_quarantine.recordEnd(attempt.fingerprint);
    } else {
        m_quarantine.recordConnectionLost(attempt.fingerprint);
    }
    m_hooks.targetLost();
}

void TargetCallHandler::complete(AttemptTicket ticket, const Completion &completion)
{
    AdmissionActions actions;
    {
        const std::lock_guard lock(m_mutex);
        m_admission.complete(ticket, completion, m_hooks.now(), actions);
    }
    execute(actions);
}

void TargetCallHandler::handleCancel(const Peer &from, const CallCancel &cancel)
{
    AdmissionActions actions;
    std::optional<HttpCallId> running;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_tickets.find({from.node, cancel.attempt});
        if (it == m_tickets.end()) {
            return;
        }
        const AttemptTicket ticket = it->second;
        const auto found = m_attempts.find(ticket);
        if (found == m_attempts.end()) {
            return;
        }
        if (m_admission.cancel(ticket, m_hooks.now(), actions)) {
            m_attempts.erase(found);
            m_tickets.erase(it);
        } else {
            found->second->isCancelled = true;
            running = found->second->http;
        }
    }
    if (running) {
        m_http.cancel(*running);
    }
    execute(actions);
}

void TargetCallHandler::expireQueued()
{
    AdmissionActions actions;
    {
        const std::lock_guard lock(m_mutex);
        m_admission.tick(m_hooks.now(), actions);
    }
    execute(actions);
}

void TargetCallHandler::startDraining()
{
    AdmissionActions actions;
    {
        const std::lock_guard lock(m_mutex);
        m_isDraining = true;
        m_admission.startDraining(m_hooks.now(), actions);
    }
    execute(actions);
}

bool TargetCallHandler::isBusy() const
{
    const std::lock_guard lock(m_mutex);
    return !m_attempts.empty();
}

AdmissionHint TargetCallHandler::hint() const
{
    const std::lock_guard lock(m_mutex);
    return m_admission.hint(m_hooks.now());
}

std::vector<RequestFingerprint> TargetCallHandler::runningRequests() const
{
    std::vector<RequestFingerprint> fingerprints;
    const std::lock_guard lock(m_mutex);
    for (const auto &[ticket, attempt] : m_attempts) {
        if (!attempt->token.empty()) {
            fingerprints.push_back(attempt->fingerprint);
        }
    }
    return fingerprints;
}

void TargetCallHandler::handleTargetReturn()
{
    const std::lock_guard lock(m_mutex);
    if (!m_isDraining) {
        m_admission.restart(m_hooks.now());
    }
}

TargetCallHandler::AttemptPointer TargetCallHandler::find(AttemptTicket ticket)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_attempts.find(ticket);
    return it == m_attempts.end() ? nullptr : it->second;
}

TargetCallHandler::AttemptPointer TargetCallHandler::remove(AttemptTicket ticket)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_attempts.find(ticket);
    if (it == m_attempts.end()) {
        return nullptr;
    }
    AttemptPointer attempt = std::move(it->second);
    m_attempts.erase(it);
    m_tickets.erase({attempt->from.node, attempt->request.attempt});
    return attempt;
}

void TargetCallHandler::sendAnswer(const Attempt &attempt, const Verdict &verdict, std::optional<HttpResponse> response, const DownstreamUsage &usage)
{
    CallAnswer message{
        .attempt = attempt.request.attempt,
        .verdict = verdict,
        .response = std::move(response),
        .hint = {},
        .retriesSpent = usage.retriesSpent,
    };
    {
        const std::lock_guard lock(m_mutex);
        message.hint = m_admission.hintFor(attempt.request.context.organisation, attempt.request.context.priority, m_hooks.now());
    }
    if (usage.hint) {
        message.hint = combinedHint(message.hint, *usage.hint);
    }
    if (message.response) {
        message.response->headers = forwardedHeaders(message.response->headers);
    }
    const bool isRefusal = verdict.runState() == RunState::NotRun;
    recordEvent(isRefusal ? TimelineKind::Refused : TimelineKind::MessageSent,
                attempt,
                fmt::format("message=call-answer verdict={} reason={}", nameOf(verdict.runState()), nameOf(verdict.reason())),
                ~timelineLink(attempt.from, attempt.request));
    m_hooks.send(attempt.from.endpoint, message.encode());
}

void TargetCallHandler::recordEvent(TimelineKind kind, const Attempt &attempt, std::string detail, std::uint64_t link)
{
    m_hooks.record({.kind = kind, .root = attempt.request.context.root, .link = link, .detail = std::move(detail)});
}

} // namespace banyankeel

#include "node/entrycallhandler.h"

#include "node/entrycall.h"
#include "node/requestparsing.h"
#include "node/responses.h"
#include "protocol/headernames.h"

#include <fmt/format.h>

#include <algorithm>

namespace banyankeel
{

namespace
{
using namespace std::chrono_literals;

// A call without a quota token waits briefly for the quota holder's next slice before it is refused.
constexpr Duration QuotaRetryInterval = 4ms;
constexpr unsigned MaxQuotaRetries = 5;

constexpr std::uint16_t MaxLostTargets = 2;

// The first call to a service waits until the directory has reported its targets.
constexpr Duration TargetLookupInterval = 20ms;
constexpr Duration MaxTargetLookupTime = 1s;

// Approximate size of headers and framing, added to body sizes in the budget for cross-region traffic.
constexpr std::size_t RequestOverheadBytes = 300;
constexpr int FirstServerError = 500;

std::vector<HttpHeader> forwardedHeaders(const HttpRequest &request)
{
    return forwardedHeaders(request.headers);
}

/// Identifies the attempt in the timelines of both nodes, so that a late or unrelated answer is not mistaken for the awaited one.
std::uint64_t timelineLink(const EntryCall &call, Incarnation sender)
{
    return attemptLink(call.request.context.root, call.request.attempt, sender);
}
} // namespace

EntryCallHandler::EntryCallHandler(EntryCallHooks hooks, ContextTable &contexts, Metrics &metrics, TargetRouter router, const RetryPolicy &retryPolicy)
    : m_hooks(std::move(hooks))
    , m_contexts(contexts)
    , m_metrics(metrics)
    , m_router(std::move(router))
    , m_retryPolicy(retryPolicy)
{
}

void EntryCallHandler::handleCallerRequest(HttpRequest request, const HttpResponder &respond)
{
    const PublishedViewPointer view = m_hooks.published();
    if (!view || m_hooks.isStale()) {
        refuse(respond, Verdict::refused(Reason::ConfigurationStale, 1s), std::nullopt);
        return;
    }
    // Looked up per request rather than per connection, so that withdrawing a key also affects open connections.
    const std::optional<std::string_view> bearer = bearerToken(request);
    const KeyLookup lookup = bearer ? view->keys.lookUp(*bearer) : KeyLookup(Reason::UnknownKey);
    if (const Reason *reason = std::get_if<Reason>(&lookup)) {
        refuse(respond, Verdict::refused(*reason), std::nullopt);
        return;
    }
    const KeyOwner &owner = std::get<KeyOwner>(lookup);
    const RequestId root = makeRootId(request, owner.organisation);
    const CallContext context{
        .root = root,
        .hasStableRoot = idempotencyKeyOf(request).has_value(),
        .organisation = owner.organisation,
        .key = owner.key,
        .priority = PriorityLevel{0},
        .remaining = Duration(0),
        .retryBudget = 0,
        .depth = 0,
    };
    processRequest(std::move(request), respond, view, context, {});
}

void EntryCallHandler::handleDownstreamRequest(HttpRequest request, const HttpResponder &respond)
{
    const PublishedViewPointer view = m_hooks.published();
    const std::optional<std::string_view> token = findHeader(request.headers, headers::Context);
    const std::optional<CallContext> context = token ? m_contexts.child(*token, m_hooks.now()) : std::nullopt;
    if (!view || !context) {
        refuse(respond, Verdict::refused(Reason::UnknownContext), std::nullopt);
        return;
    }
    if (const std::optional<Reason> reason = view->keys.refusalReason({context->key, context->organisation})) {
        refuse(respond, Verdict::refused(*reason), context->root);
        return;
    }
    const std::string parentToken(*token);
    processRequest(std::move(request), respond, view, *context, parentToken);
}

void EntryCallHandler::processRequest(
    HttpRequest request, const HttpResponder &respond, const PublishedViewPointer &view, CallContext context, const std::string &parentToken)
{
    const bool isRoot = parentToken.empty();
    const RouteEntry *route = view->routes.find(request.target);
    if (route == nullptr) {
        refuse(respond, Verdict::refused(Reason::UnknownRoute), context.root);
        return;
    }
    if (isRoot && !route->isOpenTo(context.organisation)) {
        refuse(respond, Verdict::refused(Reason::ForbiddenRoute), context.root);
        return;
    }
    const std::optional<std::string_view> repeatKey = idempotencyKeyOf(request);
    if (isRoot && !route->route.isIdempotent && !repeatKey) {
        refuse(respond, Verdict::refused(Reason::MissingIdempotencyKey), context.root);
        return;
    }
    const Duration maxDeadline = isRoot ? route->route.deadline : std::min(route->route.deadline, context.remaining);
    const std::optional<Duration> deadline = parseDeadline(request, maxDeadline);
    if (!deadline) {
        refuse(respond, Verdict::refused(Reason::BadRequest), context.root);
        return;
    }
    if (isRoot) {
        context.priority = route->priority;
        context.retryBudget = RetryPolicy::budgetOfRoot(view->executionLimits.at(route->service.name));
    }
    context.remaining = *deadline;

    std::optional<RequestId> repeatId;
    if (context.hasStableRoot || !route->route.isIdempotent) {
        const std::string key = isRoot ? std::string(*repeatKey) : downstreamRepeatKey(request, context.root);
        repeatId = makeRepeatId(context.organisation, route->route.name.text(), key);
    }
    const TimePoint now = m_hooks.now();
    HttpRequest forwarded{
        .method = std::move(request.method),
        .target = std::move(request.target),
        .headers = forwardedHeaders(request),
        .body = std::move(request.body),
    };
    CallRequest message{
        .attempt = AttemptId{0},
        .context = std::move(context),
        .service = route->service.name,
        .route = route->route.name,
        .claim = route->route.isIdempotent ? std::nullopt : repeatId,
        .repeatId = repeatId,
        .targetIncarnation = Incarnation{0},
        .http = std::move(forwarded),
    };
    auto call = std::make_shared<EntryCall>(EntryCall{
        .respond = respond,
        .view = view,
        .route = route,
        .request = std::move(message),
        .received = now,
        .deadline = now + *deadline,
        .isCharged = isRoot,
        .parentToken = parentToken,
        .choice = std::nullopt,
        .triedNodes = {},
    });
    recordEvent(TimelineKind::Received, *call, fmt::format("service={} route={}", call->request.service.text(), call->request.route.text()));
    start(call);
}

void EntryCallHandler::start(const CallPointer &call)
{
    const CallRequest &request = call->request;
    const RequestFingerprint fingerprint =
        RequestFingerprint::of(request.context.organisation, request.route, request.http.method, request.http.target, request.http.body);
    if (m_hooks.isQuarantined(fingerprint)) {
        call->isCharged = false;
        finish(call, Verdict::refused(Reason::Quarantined), nullptr);
        return;
    }
    call->respond.whenClientLeaves([this, attempt = call->currentAttempt] { handleClientDisconnect(AttemptId{attempt->load()}); });
    call->mayDiscoverTargets = m_hooks.subscribe(request.service);
    call->retryBudget = request.context.retryBudget;
    if (!call->isCharged) {
        // Reserve only half of the parent's remaining budget, since concurrent downstream calls share it.
        call->reservedRetries = m_contexts.reserve(call->parentToken, static_cast<std::uint16_t>((call->retryBudget + 1) / 2));
        call->retryBudget = call->reservedRetries;
    }
    call->grantedRetries = RetryPolicy::grantOf(call->retryBudget, !call->route->service.calls.empty());
    call->retryBudget = static_cast<std::uint16_t>(call->retryBudget - call->grantedRetries);
    {
        const std::lock_guard lock(m_routerMutex);
        m_retryPolicy.recordCall();
    }
    if (call->isCharged) {
        takeQuota(call, 0);
    } else {
        startAttempt(call);
    }
}

void EntryCallHandler::takeQuota(const CallPointer &call, unsigned retries)
{
    const QuotaDecision decision = m_hooks.takeQuota(call->request.context.organisation);
    if (decision.isGranted()) {
        startAttempt(call);
        return;
    }
    const TimePoint now = m_hooks.now();
    if (!decision.mayBecomeAvailable() || retries >= MaxQuotaRetries || now + QuotaRetryInterval >= call->deadline) {
        call->isCharged = false;
        finish(call, Verdict::refused(Reason::RateExceeded, decision.retryAfter()), nullptr);
        return;
    }
    m_hooks.runAt(now + QuotaRetryInterval, [this, call, retries] { takeQuota(call, retries + 1); });
}

RoutingDecision EntryCallHandler::chooseTarget(const EntryCall &call)
{
    const RoutingRequest request{
        .service = call.request.service,
        .priority = call.request.context.priority,
        .root = call.request.repeatId.value_or(call.request.context.root),
        .organisation = call.request.context.organisation,
        .bytes = call.request.http.body.size() + RequestOverheadBytes,
        .restrictToRootCandidates = call.request.repeatId.has_value(),
        .maxExecutions = call.route->service.maxExecutions,
        .exclude = call.triedNodes,
    };
    const TimePoint now = m_hooks.now();
    const std::lock_guard lock(m_routerMutex);
    RoutingDecision decision = m_router.choose(request, now);
    if (decision.choice) {
        m_router.recordAttemptStart(*decision.choice, now);
    }
    return decision;
}

void EntryCallHandler::startAttempt(const CallPointer &call)
{
    const RoutingDecision decision = chooseTarget(*call);
    if (!decision.choice) {
        call->hint = decision.hint ? decision.hint : call->hint;
        if (scheduleTargetLookup(call, decision.verdict)) {
            return;
        }
        // When no further target is available, the last attempt's verdict is more informative than "no target".
        const Verdict verdict = call->lastVerdict.value_or(decision.verdict);
        finish(call, call->mayHaveRun ? Verdict::unknown(verdict.reason()) : verdict, nullptr);
        return;
    }
    sendAttempt(call, *decision.choice);
}

bool EntryCallHandler::scheduleTargetLookup(const CallPointer &call, const Verdict &verdict)
{
    const TimePoint now = m_hooks.now();
    const bool mayAppear = call->mayDiscoverTargets && verdict.reason() == Reason::NoTarget && call->triedNodes.empty();
    if (!mayAppear || now - call->received > MaxTargetLookupTime || now + TargetLookupInterval >= call->deadline) {
        return false;
    }
    m_hooks.runAt(now + TargetLookupInterval, [this, call] { startAttempt(call); });
    return true;
}

void EntryCallHandler::sendAttempt(const CallPointer &call, const TargetChoice &choice)
{
    const TimePoint now = m_hooks.now();
    const AttemptId attempt{++m_lastAttempt};
    call->choice = choice;
    call->triedNodes.push_back(choice.peer.node);
    call->attemptStarted = now;
    call->request.attempt = attempt;
    call->request.targetIncarnation = choice.peer.incarnation;
    call->request.context.remaining = call->deadline - now;
    call->request.context.retryBudget = call->grantedRetries;
    call->request.suspectedCrashes = call->lostTargets;
    recordEvent(TimelineKind::Forwarded, *call, fmt::format("to={}", choice.peer.node.text()), timelineLink(*call, m_hooks.self));
    Envelope envelope = call->request.encode();
    // Insert before sending, since the answer may arrive immediately.
    call->currentAttempt->store(static_cast<std::uint64_t>(attempt));
    m_calls.insert(attempt, call, choice.peer.endpoint, call->deadline);
    if (m_hooks.send(choice.peer.endpoint, std::move(envelope)) == SendResult::Refused && m_calls.take(attempt)) {
        handleAttemptEnd(call, Verdict::refused(Reason::ConnectionLost), nullptr);
    }
}

void EntryCallHandler::handleAnswer(const Peer &from, CallAnswer answer)
{
    const CallPointer call = m_calls.take(answer.attempt);
    if (!call) {
        // The attempt has already ended, for example at its deadline.
        m_metrics.counter("banyankeel_late_answers_total").add();
        return;
    }
    recordEvent(TimelineKind::MessageReceived, *call, fmt::format("message=call-answer from={}", from.node.text()), ~timelineLink(*call, m_hooks.self));
    const Verdict verdict = answer.verdict;
    handleAttemptEnd(call, verdict, &answer);
}

void EntryCallHandler::handlePeerLoss(const Endpoint &peer)
{
    for (const CallPointer &call : m_calls.takeSentTo(peer)) {
        handleAttemptEnd(call, Verdict::unknown(Reason::ConnectionLost), nullptr);
    }
}

void EntryCallHandler::expireAttempts()
{
    for (const CallPointer &call : m_calls.takeExpired(m_hooks.now())) {
        cancelAttempt(*call);
        handleAttemptEnd(call, Verdict::unknown(Reason::DeadlineExpired), nullptr);
    }
}

void EntryCallHandler::handleClientDisconnect(AttemptId attempt)
{
    const CallPointer call = m_calls.take(attempt);
    if (!call) {
        return;
    }
    call->isClientDisconnected = true;
    cancelAttempt(*call);
    handleAttemptEnd(call, Verdict::unknown(Reason::Cancelled), nullptr);
}

void EntryCallHandler::cancelAttempt(const EntryCall &call)
{
    recordEvent(TimelineKind::Cancelled, call, fmt::format("at={}", call.choice->peer.node.text()));
    m_hooks.send(call.choice->peer.endpoint, CallCancel{call.request.attempt}.encode());
}

void EntryCallHandler::handleAttemptEnd(const CallPointer &call, const Verdict &verdict, CallAnswer *answer)
{
    const TimePoint now = m_hooks.now();
    const bool hasResponse = answer != nullptr && answer->response.has_value();
    const AttemptOutcome outcome{
        .verdict = verdict,
        .latency = now - call->attemptStarted,
        .bytes = hasResponse ? answer->response->body.size() + RequestOverheadBytes : RequestOverheadBytes,
        .isTargetError = hasResponse && answer->response->status >= FirstServerError,
    };
    const std::optional<AdmissionHint> hint = answer == nullptr ? std::nullopt : std::optional(answer->hint);
    {
        const std::lock_guard lock(m_routerMutex);
        m_router.recordAttemptEnd(*call->choice, outcome, hint, now);
    }
    call->hint = hint ? hint : call->hint;
    call->lastVerdict = verdict;
    const bool isTargetLost = answer != nullptr && verdict.runState() == RunState::MayHaveRun && verdict.reason() == Reason::ConnectionLost;
    call->lostTargets = static_cast<std::uint16_t>(call->lostTargets + (isTargetLost ? 1 : 0));
    call->mayHaveRun = call->mayHaveRun || verdict.runState() != RunState::NotRun;
    const std::uint16_t spentBelow = answer == nullptr ? std::uint16_t{0} : answer->retriesSpent;
    const RetryDecision decision = decideRetry(*call, verdict, spentBelow);
    call->retriesSpent = static_cast<std::uint16_t>(call->retriesSpent + spentBelow);
    // After MaxLostTargets possible crashes, stop: the quarantine learns of a crash only from the target's next probe, later than a retry would run.
    if (!decision.isRetry || call->lostTargets >= MaxLostTargets || call->isClientDisconnected) {
        const bool mayHaveRunBefore = call->mayHaveRun && verdict.runState() == RunState::NotRun;
        finish(call, mayHaveRunBefore ? Verdict::unknown(verdict.reason()) : verdict, answer);
        return;
    }
    if (verdict.runState() == RunState::MayHaveRun) {
        call->retriesSpent = static_cast<std::uint16_t>(call->retriesSpent + 1 + call->grantedRetries - std::min(call->grantedRetries, spentBelow));
    }
    call->retryBudget = decision.budget;
    call->grantedRetries = decision.grant;
    m_metrics.counter("banyankeel_retries_total", {{"reason", std::string(nameOf(verdict.reason()))}}).add();
    recordEvent(TimelineKind::Retried, *call, fmt::format("reason={}", nameOf(verdict.reason())));
    startAttempt(call);
}

RetryDecision EntryCallHandler::decideRetry(EntryCall &call, const Verdict &verdict, std::uint16_t spentBelow)
{
    const TimePoint now = m_hooks.now();
    if (verdict.runState() == RunState::NotRun) {
        if (verdict.reason() == Reason::Overloaded) {
            ++call.overloadRefusals;
        } else {
            ++call.moveRefusals;
        }
    }
    const CallProgress progress{
        .isIdempotent = !call.request.claim.has_value(),
        .budget = call.retryBudget,
        .granted = call.grantedRetries,
        .spentBelow = spentBelow,
        .overloadRefusals = call.overloadRefusals,
        .moveRefusals = call.moveRefusals,
        .hasOtherTarget = true,
        .callsOthers = !call.route->service.calls.empty(),
        .remaining = call.deadline - now,
    };
    const std::lock_guard lock(m_routerMutex);
    return m_retryPolicy.decide(progress, verdict, now);
}

void EntryCallHandler::finish(const CallPointer &call, const Verdict &verdict, CallAnswer *answer)
{
    if (call->isCharged && verdict.runState() == RunState::NotRun) {
        m_hooks.returnQuota(call->request.context.organisation);
    }
    if (!call->parentToken.empty()) {
        const DownstreamUsage usage{
            .retriesSpent = std::min(call->retriesSpent, call->reservedRetries),
            .waitTime = m_hooks.now() - call->received,
            .wasOverloaded = verdict.reason() == Reason::Overloaded,
            .hint = call->hint,
        };
        m_contexts.recordEnd(call->parentToken, call->reservedRetries, usage);
    }
    countRequest(verdict);
    recordEvent(
        verdict.isSuccess() ? TimelineKind::Answered : TimelineKind::Refused,
        *call,
        fmt::format("verdict={} reason={} organisation={}", nameOf(verdict.runState()), nameOf(verdict.reason()), call->request.context.organisation.text()));
    const RequestId &root = call->request.context.root;
    if (verdict.isSuccess() && answer != nullptr && answer->response) {
        call->respond(answerResponse(std::move(*answer->response), root));
    } else {
        call->respond(refusalResponse(verdict, root));
    }
}

void EntryCallHandler::refuse(const HttpResponder &respond, const Verdict &verdict, const std::optional<RequestId> &root)
{
    countRequest(verdict);
    m_hooks.record({
        .kind = TimelineKind::Refused,
        .root = root,
        .detail = fmt::format("verdict={} reason={}", nameOf(verdict.runState()), nameOf(verdict.reason())),
    });
    respond(refusalResponse(verdict, root));
}

void EntryCallHandler::countRequest(const Verdict &verdict)
{
    m_metrics.counter("banyankeel_requests_total", {{"verdict", std::string(nameOf(verdict.runState()))}, {"reason", std::string(nameOf(verdict.reason()))}})
        .add();
}

void EntryCallHandler::recordEvent(TimelineKind kind, const EntryCall &call, std::string detail, std::uint64_t link)
{
    m_hooks.record({.kind = kind, .root = call.request.context.root, .link = link, .detail = std::move(detail)});
}

void EntryCallHandler::targetChanged(const TargetRecord &record)
{
    const std::lock_guard lock(m_routerMutex);
    m_router.update(record, m_hooks.now());
    if (record.state == TargetState::Gone) {
        m_records.erase(record.node.node);
    } else {
        m_records.insert_or_assign(record.node.node, record);
    }
}

std::vector<TargetStatus> EntryCallHandler::targets()
{
    const TimePoint now = m_hooks.now();
    const std::lock_guard lock(m_routerMutex);
    std::vector<TargetStatus> found;
    for (const auto &[node, record] : m_records) {
        found.push_back({record, m_router.inFlight(node), m_router.isEjected(node, now)});
    }
    return found;
}

} // namespace banyankeel

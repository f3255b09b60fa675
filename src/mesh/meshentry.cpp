#include "mesh/meshentry.h"

#include "coordination/common/roothash.h"
#include "mesh/refusal.h"
#include "mesh/retrydecision.h"
#include "protocol/httpheaders.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <utility>
#include <vector>

namespace banyankeel
{

namespace
{
// Calls made by targets belong to no organisation; they use one common fair share and take priority over root requests, which are shed instead.
const OrganisationId InternalCalls("inner-calls");
constexpr PriorityLevel InternalCallPriority{0};
constexpr std::uint8_t MaxRootPriority = 254;
const KeyId NoKey("none");

// The target's node reports expired requests itself; its answer may arrive this long after the deadline.
constexpr Duration AnswerGrace = std::chrono::milliseconds(40);
// A body in parts may go on for this long after the deadline: longer than the target's node reads one.
constexpr Duration MaxBodyExtension = std::chrono::seconds(11);
// Retry-After for a request that was not run and whose verdict gives no time, such as one without a configuration or a target.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(500);
// Retry-After for a root that was shed because a service lacks capacity, plus jitter of up to ShortageRetryJitter. Shortages last for seconds.
constexpr Duration ShortageRetryAfter = std::chrono::seconds(1);
constexpr Duration ShortageRetryJitter = std::chrono::milliseconds(1500);
// A quarantine lasts for minutes.
constexpr Duration QuarantineRetryAfter = std::chrono::seconds(60);

RequestFingerprint fingerprintOf(const CallRequest &request)
{
    return RequestFingerprint::of(request.context.organisation, request.route, request.http.method, request.http.target, request.http.body);
}

RequestId rootOf(const MeshOrganisation *organisation, const std::string &requestId)
{
    return RequestId::derive(organisation == nullptr ? InternalCalls.text() : organisation->name.text(), requestId);
}

PriorityLevel rootPriority(PriorityLevel level)
{
    return static_cast<PriorityLevel>(1 + std::min(static_cast<std::uint8_t>(level), MaxRootPriority));
}
} // namespace

MeshEntry::MeshEntry(MeshEntrySettings settings, HeaderDialect headers, MeshEntryHooks hooks, MeshEntryDependencies dependencies)
    : m_settings(std::move(settings))
    , m_headers(std::move(headers))
    , m_hooks(std::move(hooks))
    , m_router(dependencies.router)
    , m_rateLimiter(dependencies.rateLimiter)
    , m_meter(dependencies.meter)
    , m_admission(dependencies.admission)
    , m_lastAttempt(m_settings.firstAttempt)
{
}

void MeshEntry::handleRequest(HttpRequest request, const HttpResponder &respond)
{
    const TimePoint now = m_hooks.now();
    const std::string requestId(findHeader(request.headers, m_headers.requestId).value_or(""));
    const MeshConfigurationPointer configuration = m_hooks.configuration();
    if (!configuration) {
        refuse(respond, requestId, Verdict::refused(Reason::ConfigurationStale, DefaultRetryAfter), now);
        return;
    }
    const MeshRoute *route = configuration->findRoute(findHeader(request.headers, "Host").value_or(""), request.target);
    if (route == nullptr) {
        refuse(respond, requestId, Verdict::refused(Reason::UnknownRoute), now);
        return;
    }
    const Caller caller = identifyCaller(request, *route, *configuration);
    if (caller.refusal) {
        refuse(respond, requestId, Verdict::refused(*caller.refusal), now);
        return;
    }
    const std::optional<Duration> remaining = remainingTime(request, *route);
    if (!remaining || requestId.empty()) {
        refuse(respond, requestId, Verdict::refused(Reason::BadRequest), now);
        return;
    }
    if (m_shutdown && now > m_shutdown->lastArrival && now + *remaining > m_shutdown->end) {
        refuse(respond, requestId, Verdict::refused(Reason::Draining, DefaultRetryAfter), now);
        return;
    }
    if (const std::optional<Verdict> refusal = checkAdmission(caller, *route, *configuration, rootOf(caller.organisation, requestId), now)) {
        refuse(respond, requestId, *refusal, now);
        return;
    }
    const auto entry = std::make_shared<EntryRequest>(EntryRequest{
        .respond = respond,
        .configuration = configuration,
        .route = route,
        .requestId = requestId,
        .call = buildCall(std::move(request), *route, caller, configuration->rankOf(caller.organisation, *route), requestId, *remaining),
        .isRoot = caller.isRoot,
        .received = now,
        .deadline = now + *remaining,
    });
    const RequestFingerprint fingerprint = fingerprintOf(entry->call);
    entry->call.suspectedCrashes = m_hooks.crashesOf(fingerprint);
    if (m_hooks.isQuarantined(fingerprint)) {
        finish(entry, Verdict::refused(Reason::Quarantined, QuarantineRetryAfter), nullptr);
        return;
    }
    if (!caller.isRoot) {
        recordInternalCall(*entry, now);
    }
    RetryBudgets &budgets = budgetsFor(entry->call.service);
    budgets.all.recordRequest(now, entry->inheritedRetryShare);
    budgets.reexecution.recordRequest(now);
    const std::weak_ptr<EntryRequest> weak = entry;
    respond.whenClientLeaves([this, weak] {
        if (const RequestPointer left = weak.lock()) {
            handleCallerDisconnect(left);
        }
    });
    if (const std::optional<Verdict> refusal = startAttempt(entry)) {
        finish(entry, *refusal, nullptr);
    }
}

MeshEntry::Caller MeshEntry::identifyCaller(const HttpRequest &request, const MeshRoute &route, const MeshConfiguration &configuration) const
{
    const std::optional<std::string_view> value = findHeader(request.headers, m_headers.authorization);
    const MeshOrganisation *organisation = nullptr;
    if (value && value->starts_with(m_headers.authorizationScheme)) {
        organisation = configuration.findOrganisation(value->substr(m_headers.authorizationScheme.size()));
    }
    if (organisation == nullptr && configuration.needsKeys() && !route.isAnonymous) {
        return {nullptr, true, Reason::UnknownKey};
    }
    return {organisation, organisation != nullptr || !route.isAnonymous, std::nullopt};
}

void MeshEntry::recordInternalCall(EntryRequest &request, TimePoint now)
{
    const CallRequest *caller = m_hooks.findParentRequest(request.requestId);
    const std::optional<RequestKind> parent = caller == nullptr ? std::nullopt : std::optional(requestKindOf(caller->route));
    m_meter.called(requestKindOf(request.route->name), parent, request.call.service, now);
    if (caller == nullptr) {
        request.inheritedRetryShare = m_hooks.retryShare();
        return;
    }
    constexpr double Percent = 0.01;
    request.inheritedRetryShare = caller->repeatPercent * Percent;
    request.call.context.root = caller->context.root;
    request.call.rootKind = caller->rootKind;
    request.call.rootPriority = caller->rootPriority;
}

std::optional<Verdict>
MeshEntry::checkAdmission(const Caller &caller, const MeshRoute &route, const MeshConfiguration &configuration, const RequestId &root, TimePoint now)
{
    if (caller.organisation != nullptr && !m_rateLimiter.take(caller.organisation->name, now)) {
        return Verdict::refused(Reason::RateExceeded, m_rateLimiter.timeUntilNextToken(caller.organisation->name));
    }
    if (!caller.isRoot) {
        return std::nullopt;
    }
    const RootClass rootClass{configuration.rankOf(caller.organisation, route), requestKindOf(route.name)};
    m_meter.rootOffered(rootClass, now);
    if (m_admission.admits(rootClass, root, now)) {
        return std::nullopt;
    }
    if (caller.organisation != nullptr) {
        m_rateLimiter.refund(caller.organisation->name);
    }
    // Spreads the retries of refused callers over time.
    const auto jitter = std::chrono::duration_cast<Duration>(ShortageRetryJitter * rootShare(root));
    return Verdict::refused(Reason::Overloaded, ShortageRetryAfter + jitter);
}

std::optional<Duration> MeshEntry::remainingTime(const HttpRequest &request, const MeshRoute &route) const
{
    const std::optional<std::string_view> value = findHeader(request.headers, m_headers.remainingTime);
    if (!value) {
        return route.timeLimit;
    }
    constexpr std::int64_t MaxRemainingMs = 86'400'000;
    std::int64_t ms = 0;
    const auto [end, ec] = std::from_chars(value->data(), value->data() + value->size(), ms);
    if (ec != std::errc() || end != value->data() + value->size() || ms < 0 || ms > MaxRemainingMs) {
        return std::nullopt;
    }
    return std::min<Duration>(route.timeLimit, std::chrono::milliseconds(ms));
}

CallRequest
MeshEntry::buildCall(HttpRequest request, const MeshRoute &route, const Caller &caller, PriorityLevel rank, const std::string &requestId, Duration remaining)
{
    request.headers = endToEndHeaders(std::move(request.headers));
    std::erase_if(request.headers, [this](const HttpHeader &it) {
        return isSameHeaderName(it.name, m_headers.authorization) || isSameHeaderName(it.name, m_headers.remainingTime)
            || isSameHeaderName(it.name, m_headers.organisation) || isSameHeaderName(it.name, m_headers.callerService)
            || isSameHeaderName(it.name, m_headers.expectedTarget) || isSameHeaderName(it.name, "Expect");
    });
    request.headers.push_back({m_headers.callerService, headerValueOf(m_settings.service.text())});
    if (caller.organisation != nullptr) {
        request.headers.push_back({m_headers.organisation, headerValueOf(caller.organisation->name.text())});
    }
    const OrganisationId &organisation = caller.organisation == nullptr ? InternalCalls : caller.organisation->name;
    const RequestId root = rootOf(caller.organisation, requestId);
    return {
        .attempt = {},
        .context =
            {
                .root = root,
                .hasStableRoot = false,
                .organisation = organisation,
                .key = NoKey,
                .priority = caller.isRoot ? rootPriority(rank) : InternalCallPriority,
                .remaining = remaining,
                .retryBudget = 0,
                .depth = 0,
            },
        .service = m_splitter.next(route),
        .route = route.name,
        .claim = route.repeatability == Repeatability::AtMostOnce ? std::optional(root) : std::nullopt,
        .repeatId = std::nullopt,
        .targetIncarnation = {},
        .http = std::move(request),
        .rootKind = requestKindOf(route.name),
        .rootPriority = rank,
    };
}

std::optional<Verdict> MeshEntry::startAttempt(const RequestPointer &request)
{
    const TimePoint now = m_hooks.now();
    const CallRequest &call = request->call;
    const RoutingRequest routingRequest{
        .service = call.service,
        .priority = call.context.priority,
        .root = call.context.root,
        .organisation = call.context.organisation,
        .bytes = call.http.body.size() + m_responseSizes.expected(requestKindOf(call.route)),
        .exclude = request->triedNodes,
        .ignoreHints = !request->isRoot,
    };
    const RoutingDecision decision = m_router.choose(routingRequest, now);
    if (!decision.choice) {
        return decision.verdict;
    }
    sendAttempt(request, *decision.choice);
    return std::nullopt;
}

void MeshEntry::sendAttempt(const RequestPointer &request, const TargetChoice &choice)
{
    const TimePoint now = m_hooks.now();
    const auto id = static_cast<AttemptId>(++m_lastAttempt);
    request->call.attempt = id;
    request->call.context.remaining = request->deadline - now;
    request->call.targetIncarnation = choice.peer.incarnation;
    request->choice = choice;
    request->call.repeatPercent = static_cast<std::uint8_t>(std::lround(100 * (request->arrivals > 0 ? 1 : request->inheritedRetryShare)));
    if (std::ranges::find(request->triedNodes, choice.peer.node) == request->triedNodes.end()) {
        request->triedNodes.push_back(choice.peer.node);
    }
    request->attemptStarted = now;
    m_router.recordAttemptStart(choice, now);
    m_requests.emplace(id, request);
    m_deadlines.emplace(request->deadline + AnswerGrace, id);
    m_hooks.scheduleExpiry(m_deadlines.begin()->first);
    if (choice.peer.endpoint == m_settings.self) {
        m_hooks.runLocally(request->call);
        return;
    }
    if (!m_hooks.send(choice.peer.endpoint, request->call.encode())) {
        removeAttempt(id);
        attemptEnded(request, Verdict::refused(Reason::ConnectionLost), nullptr);
    }
}

MeshEntry::RequestPointer MeshEntry::removeAttempt(AttemptId attempt)
{
    const auto found = m_requests.find(attempt);
    if (found == m_requests.end()) {
        return nullptr;
    }
    RequestPointer request = std::move(found->second);
    m_requests.erase(found);
    removeDeadline(request->deadline + AnswerGrace, attempt);
    return request;
}

void MeshEntry::removeDeadline(TimePoint time, AttemptId attempt)
{
    const auto [first, last] = m_deadlines.equal_range(time);
    const auto deadline = std::find_if(first, last, [attempt](const auto &it) { return it.second == attempt; });
    if (deadline != last) {
        m_deadlines.erase(deadline);
    }
}

void MeshEntry::handleAnswer(CallAnswer answer)
{
    // A late answer to an attempt that was already ended is dropped.
    if (const RequestPointer request = removeAttempt(answer.attempt)) {
        const Verdict verdict = answer.verdict;
        attemptEnded(request, verdict, &answer);
    }
}

void MeshEntry::handlePeerLost(const Endpoint &peer, bool mayHaveArrived)
{
    std::vector<AttemptId> lost;
    for (const auto &[attempt, request] : m_requests) {
        if (request->choice->peer.endpoint == peer) {
            lost.push_back(attempt);
        }
    }
    std::ranges::sort(lost);
    for (const AttemptId it : lost) {
        if (const RequestPointer request = removeAttempt(it)) {
            attemptEnded(request, mayHaveArrived ? Verdict::unknown(Reason::ConnectionLost) : Verdict::refused(Reason::ConnectionLost), nullptr);
        }
    }
    std::vector<AttemptId> broken;
    for (const auto &[attempt, request] : m_bodies) {
        if (request->choice->peer.endpoint == peer) {
            broken.push_back(attempt);
        }
    }
    for (const AttemptId it : broken) {
        endBody(it, Verdict::unknown(Reason::ConnectionLost));
    }
}

void MeshEntry::expireRequests()
{
    const TimePoint now = m_hooks.now();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const AttemptId attempt = m_deadlines.begin()->second;
        if (m_bodies.contains(attempt)) {
            cancelBody(attempt, Reason::DeadlineExpired);
            continue;
        }
        const RequestPointer request = removeAttempt(attempt);
        cancelAttempt(request->choice->peer.endpoint, request->call.attempt);
        attemptEnded(request, Verdict::unknown(Reason::DeadlineExpired), nullptr);
    }
    if (!m_deadlines.empty()) {
        m_hooks.scheduleExpiry(m_deadlines.begin()->first);
    }
}

void MeshEntry::handleUnsent(AttemptId attempt)
{
    if (const RequestPointer request = removeAttempt(attempt)) {
        attemptEnded(request, Verdict::refused(Reason::ConnectionLost), nullptr);
    }
}

void MeshEntry::handleMalformedAnswer(AttemptId attempt)
{
    cancelBody(attempt, Reason::BodyIncomplete);
    if (const RequestPointer request = removeAttempt(attempt)) {
        cancelAttempt(request->choice->peer.endpoint, attempt);
        attemptEnded(request, Verdict::unknown(Reason::ConnectionLost), nullptr);
    }
}

void MeshEntry::endAll()
{
    while (!m_bodies.empty()) {
        cancelBody(m_bodies.begin()->first, Reason::Draining);
    }
    while (!m_requests.empty()) {
        const RequestPointer request = removeAttempt(m_requests.begin()->first);
        cancelAttempt(request->choice->peer.endpoint, request->call.attempt);
        attemptEnded(request, Verdict::unknown(Reason::Draining), nullptr);
    }
}

std::map<NodeId, TimePoint> MeshEntry::oldestAttempts() const
{
    std::map<NodeId, TimePoint> oldest;
    for (const auto &[attempt, request] : m_requests) {
        const auto [it, isNew] = oldest.try_emplace(request->choice->peer.node, request->attemptStarted);
        it->second = std::min(it->second, request->attemptStarted);
    }
    return oldest;
}

std::vector<PendingRequest> MeshEntry::pending() const
{
    const TimePoint now = m_hooks.now();
    std::vector<PendingRequest> found;
    for (const auto &[waitsFor, requests] : {std::pair("answer", &m_requests), std::pair("body", &m_bodies)}) {
        for (const auto &[attempt, request] : *requests) {
            found.push_back({request->requestId, request->route->name.text(), waitsFor, request->choice->peer.node.text(), now - request->received});
        }
    }
    std::ranges::sort(found, std::greater(), &PendingRequest::age);
    return found;
}

void MeshEntry::beginShutdown(TimePoint lastArrival, TimePoint end)
{
    m_shutdown = Shutdown{lastArrival, end};
}

void MeshEntry::handleCallerDisconnect(const RequestPointer &request)
{
    if (request->isFinished) {
        return;
    }
    request->isFinished = true;
    if (removeAttempt(request->call.attempt)) {
        cancelAttempt(request->choice->peer.endpoint, request->call.attempt);
        attemptEnded(request, Verdict::unknown(Reason::Cancelled), nullptr);
    }
}

void MeshEntry::cancelAttempt(const Endpoint &target, AttemptId attempt)
{
    if (target == m_settings.self) {
        m_hooks.cancelLocally(attempt);
    } else {
        // If the message can't be sent, the connection is lost and the other node cancels the attempt itself.
        m_hooks.send(target, CallCancel{attempt}.encode());
    }
}

void MeshEntry::beginBody(const RequestPointer &request, CallAnswer answer)
{
    const AttemptId attempt = answer.attempt;
    HttpResponse head = std::move(*answer.response);
    request->isFinished = true;
    request->status = head.status;
    m_bodies.emplace(attempt, request);
    m_deadlines.emplace(request->deadline + MaxBodyExtension, attempt);
    m_hooks.scheduleExpiry(m_deadlines.begin()->first);
    request->body = request->respond.begin(std::move(head),
                                           answer.following->length,
                                           {.drained = [this, attempt](std::size_t bytes) { sendBodyCredit(attempt, bytes); },
                                            .clientLeft = [this, attempt] { cancelBody(attempt, Reason::Cancelled); }});
}

void MeshEntry::cancelBody(AttemptId attempt, Reason reason)
{
    const auto found = m_bodies.find(attempt);
    if (found != m_bodies.end()) {
        cancelAttempt(found->second->choice->peer.endpoint, attempt);
        endBody(attempt, Verdict::unknown(reason));
    }
}

void MeshEntry::handleBodyPart(CallBodyPart part)
{
    const auto found = m_bodies.find(part.attempt);
    if (found == m_bodies.end()) {
        return;
    }
    const RequestPointer request = found->second;
    request->bodyBytes += part.bytes.size();
    if (!part.bytes.empty()) {
        // The caller may be found to have left, which ends the request.
        request->body->write(std::move(part.bytes));
    }
    if (part.progress != BodyProgress::More) {
        endBody(part.attempt, part.progress == BodyProgress::Complete ? Verdict::ran() : Verdict::unknown(Reason::BodyIncomplete));
    }
}

void MeshEntry::sendBodyCredit(AttemptId attempt, std::size_t bytes)
{
    const auto found = m_bodies.find(attempt);
    if (found == m_bodies.end()) {
        return;
    }
    const CallBodyCredit credit{attempt, static_cast<std::uint32_t>(bytes)};
    const Endpoint &target = found->second->choice->peer.endpoint;
    if (target == m_settings.self) {
        m_hooks.creditLocally(credit);
    } else {
        m_hooks.send(target, credit.encode());
    }
}

void MeshEntry::endBody(AttemptId attempt, const Verdict &verdict)
{
    const auto found = m_bodies.find(attempt);
    if (found == m_bodies.end()) {
        return;
    }
    const RequestPointer request = found->second;
    m_bodies.erase(found);
    removeDeadline(request->deadline + MaxBodyExtension, attempt);
    if (verdict.isSuccess()) {
        m_responseSizes.record(requestKindOf(request->call.route), request->bodyBytes);
        request->body->finish();
    } else {
        request->body->abort();
    }
    m_hooks.ended({request->requestId, request.get(), verdict, request->status, m_hooks.now() - request->received});
}

void MeshEntry::finish(const RequestPointer &request, Verdict verdict, CallAnswer *answer)
{
    const TimePoint now = m_hooks.now();
    if (request->isRoot && verdict.runState() == RunState::NotRun) {
        m_rateLimiter.refund(request->call.context.organisation);
    }
    if (verdict.runState() == RunState::NotRun && !verdict.retryAfter()) {
        verdict = Verdict::refused(verdict.reason(), DefaultRetryAfter);
    }
    const bool hasResponse = answer != nullptr && answer->response.has_value();
    if (hasResponse && answer->following) {
        beginBody(request, std::move(*answer));
        return;
    }
    request->isFinished = true;
    if (hasResponse) {
        m_responseSizes.record(requestKindOf(request->call.route), answer->response->body.size());
    }
    HttpResponse response = hasResponse ? std::move(*answer->response) : refusalResponse(m_headers, verdict, request->requestId);
    m_hooks.ended({request->requestId, request.get(), verdict, response.status, now - request->received});
    request->respond(std::move(response));
}

void MeshEntry::refuse(const HttpResponder &respond, const std::string &requestId, const Verdict &verdict, TimePoint received)
{
    HttpResponse response = refusalResponse(m_headers, verdict, requestId);
    m_hooks.ended({requestId, nullptr, verdict, response.status, m_hooks.now() - received});
    respond(std::move(response));
}

} // namespace banyankeel

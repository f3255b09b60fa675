#include "mesh/meshentry.h"

#include "coordination/common/roothash.h"
#include "mesh/refusal.h"
#include "mesh/repeatpolicy.h"
#include "protocol/httpheaders.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>
#include <vector>

namespace banyankeel
{

namespace
{
// Calls of targets have no organisation of their own; they share one fair share, and go before roots, which are refused in their place.
const OrganisationId InnerCalls("inner-calls");
constexpr PriorityLevel InnerPriority{0};
constexpr std::uint8_t HighestRootPriority = 254;
const KeyId NoKey("none");

// The target's node refuses what has run out of time and says so; its word may take this long to come.
constexpr Duration AnswerGrace = std::chrono::milliseconds(40);
// A caller that finds no configuration or no target may come back after this time.
constexpr Duration RetrySoon = std::chrono::milliseconds(500);
// The parts of the fleet's ratio and slack that a node spends on all repeats, and at the most on those of requests that may have run: such a rerun
// repeats the calls below it too, which the nodes below must count as repeats whether they like it or not.
constexpr double UsedPart = 0.85;
constexpr double RerunPart = 0.15;
constexpr double SlackPart = 0.8;
// A caller that was refused because a service is short comes back after this time and up to so much more. Shortages last for seconds.
constexpr Duration ShortageRetry = std::chrono::seconds(1);
constexpr Duration ShortageSpread = std::chrono::milliseconds(1500);

RequestId rootOf(const MeshOrganisation *organisation, const std::string &requestId)
{
    return RequestId::derive(organisation == nullptr ? InnerCalls.text() : organisation->name.text(), requestId);
}

PriorityLevel levelOf(const MeshOrganisation *organisation, const MeshRoute &route)
{
    return organisation != nullptr && organisation->priority ? *organisation->priority : route.priority;
}

PriorityLevel rootPriority(PriorityLevel level)
{
    return static_cast<PriorityLevel>(1 + std::min(static_cast<std::uint8_t>(level), HighestRootPriority));
}
} // namespace

MeshEntry::MeshEntry(MeshEntrySettings settings, HeaderDialect headers, MeshEntryHooks hooks, MeshEntryDecisions decisions)
    : m_settings(std::move(settings))
    , m_headers(std::move(headers))
    , m_hooks(std::move(hooks))
    , m_router(decisions.router)
    , m_allowances(decisions.allowances)
    , m_meter(decisions.meter)
    , m_admission(decisions.admission)
{
}

void MeshEntry::received(HttpRequest request, const HttpResponder &respond)
{
    const TimePoint now = m_hooks.now();
    const std::string requestId(findHeader(request.headers, m_headers.requestId).value_or(""));
    const MeshConfigurationPointer configuration = m_hooks.configuration();
    if (!configuration) {
        refuse(respond, requestId, Verdict::refused(Reason::ConfigurationStale, RetrySoon), now);
        return;
    }
    const MeshRoute *route = configuration->findRoute(findHeader(request.headers, "Host").value_or(""), request.target);
    if (route == nullptr) {
        refuse(respond, requestId, Verdict::refused(Reason::UnknownRoute), now);
        return;
    }
    const Caller caller = callerOf(request, *route, *configuration);
    if (caller.refusal) {
        refuse(respond, requestId, Verdict::refused(*caller.refusal), now);
        return;
    }
    const std::optional<Duration> remaining = remainingOf(request, *route);
    if (!remaining || requestId.empty()) {
        refuse(respond, requestId, Verdict::refused(Reason::BadRequest), now);
        return;
    }
    if (m_stop && now > m_stop->lastArrival && now + *remaining > m_stop->end) {
        refuse(respond, requestId, Verdict::refused(Reason::Draining, RetrySoon), now);
        return;
    }
    if (const std::optional<Verdict> refusal = refusalOfCaller(caller, *route, rootOf(caller.organisation, requestId), now)) {
        refuse(respond, requestId, *refusal, now);
        return;
    }
    const auto entry = std::make_shared<EntryRequest>(EntryRequest{
        .respond = respond,
        .configuration = configuration,
        .route = route,
        .requestId = requestId,
        .call = callOf(std::move(request), *route, caller, requestId, *remaining),
        .isRoot = caller.isRoot,
        .received = now,
        .deadline = now + *remaining,
    });
    if (!caller.isRoot) {
        noteCall(*entry, now);
    }
    Budgets &budgets = budgetsOf(entry->call.service);
    budgets.all.noteRequest(now, entry->inheritedRepeat);
    budgets.rerun.noteRequest(now);
    const std::weak_ptr<EntryRequest> weak = entry;
    respond.whenClientLeaves([this, weak] {
        if (const RequestPointer left = weak.lock()) {
            callerLeft(left);
        }
    });
    if (const std::optional<Verdict> refusal = attempt(entry)) {
        finish(entry, *refusal, nullptr);
    }
}

MeshEntry::Caller MeshEntry::callerOf(const HttpRequest &request, const MeshRoute &route, const MeshConfiguration &configuration) const
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

void MeshEntry::noteCall(EntryRequest &request, TimePoint now)
{
    const CallRequest *caller = m_hooks.callerOf(request.requestId);
    const std::optional<RequestKind> parent = caller == nullptr ? std::nullopt : std::optional(requestKindOf(caller->route));
    m_meter.called(requestKindOf(request.route->name), parent, request.call.service, now);
    if (caller == nullptr) {
        request.inheritedRepeat = m_hooks.repeatPart();
        return;
    }
    constexpr double Percent = 0.01;
    request.inheritedRepeat = caller->repeatPercent * Percent;
    request.call.context.root = caller->context.root;
    request.call.rootKind = caller->rootKind;
    request.call.rootPriority = caller->rootPriority;
}

std::optional<Verdict> MeshEntry::refusalOfCaller(const Caller &caller, const MeshRoute &route, const RequestId &root, TimePoint now)
{
    if (caller.organisation != nullptr && !m_allowances.take(caller.organisation->name, now)) {
        return Verdict::refused(Reason::RateExceeded, m_allowances.untilNext(caller.organisation->name));
    }
    if (!caller.isRoot) {
        return std::nullopt;
    }
    const RootClass rootClass{levelOf(caller.organisation, route), requestKindOf(route.name)};
    m_meter.rootOffered(rootClass, now);
    if (m_admission.admits(rootClass, root, now)) {
        return std::nullopt;
    }
    if (caller.organisation != nullptr) {
        m_allowances.giveBack(caller.organisation->name);
    }
    // Those that come back do so one after the other.
    const auto spread = std::chrono::duration_cast<Duration>(ShortageSpread * rootShare(root));
    return Verdict::refused(Reason::Overloaded, ShortageRetry + spread);
}

std::optional<Duration> MeshEntry::remainingOf(const HttpRequest &request, const MeshRoute &route) const
{
    const std::optional<std::string_view> value = findHeader(request.headers, m_headers.remainingTime);
    if (!value) {
        return route.timeLimit;
    }
    constexpr std::int64_t LongestMs = 86'400'000;
    std::int64_t ms = 0;
    const auto [end, ec] = std::from_chars(value->data(), value->data() + value->size(), ms);
    if (ec != std::errc() || end != value->data() + value->size() || ms < 0 || ms > LongestMs) {
        return std::nullopt;
    }
    return std::min<Duration>(route.timeLimit, std::chrono::milliseconds(ms));
}

CallRequest MeshEntry::callOf(HttpRequest request, const MeshRoute &route, const Caller &caller, const std::string &requestId, Duration remaining)
{
    request.headers = endToEndHeaders(std::move(request.headers));
    std::erase_if(request.headers, [this](const HttpHeader &it) {
        return isSameHeaderName(it.name, m_headers.authorization) || isSameHeaderName(it.name, m_headers.remainingTime)
            || isSameHeaderName(it.name, m_headers.organisation) || isSameHeaderName(it.name, m_headers.callerService)
            || isSameHeaderName(it.name, m_headers.expectedTarget) || isSameHeaderName(it.name, "Expect");
    });
    request.headers.push_back({m_headers.callerService, m_settings.service.text()});
    if (caller.organisation != nullptr) {
        request.headers.push_back({m_headers.organisation, caller.organisation->name.text()});
    }
    const OrganisationId &organisation = caller.organisation == nullptr ? InnerCalls : caller.organisation->name;
    const RequestId root = rootOf(caller.organisation, requestId);
    return {
        .attempt = {},
        .context =
            {
                .root = root,
                .hasStableRoot = false,
                .organisation = organisation,
                .key = NoKey,
                .priority = caller.isRoot ? rootPriority(levelOf(caller.organisation, route)) : InnerPriority,
                .remaining = remaining,
                .retryBudget = 0,
                .depth = 0,
            },
        .service = m_splits.next(route),
        .route = route.name,
        .claim = route.repeatability == Repeatability::AtMostOnce ? std::optional(root) : std::nullopt,
        .repeatId = std::nullopt,
        .targetIncarnation = {},
        .http = std::move(request),
        .rootKind = requestKindOf(route.name),
        .rootPriority = levelOf(caller.organisation, route),
    };
}

MeshEntry::Budgets &MeshEntry::budgetsOf(const ServiceName &service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end()) {
        return found->second;
    }
    const double slack = m_settings.retrySlack * SlackPart / static_cast<double>(std::max<std::size_t>(m_hooks.nodes(), 1));
    const ServiceRetryBudgetSettings all{m_settings.retryRatio * UsedPart, slack, m_settings.retryWindow};
    const ServiceRetryBudgetSettings rerun{m_settings.retryRatio * RerunPart, slack, m_settings.retryWindow};
    return m_budgets.emplace(service, Budgets{ServiceRetryBudget(all), ServiceRetryBudget(rerun)}).first->second;
}

double MeshEntry::repeatsLeft(const ServiceName &service)
{
    return budgetsOf(service).all.left(m_hooks.now());
}

bool MeshEntry::takeRepeat(const EntryRequest &request, RepeatKind kind, TimePoint now)
{
    // Where repeats are short, they go to the calls of requests that can be finished; and such a request needs no second run.
    const bool isSpentOnCalls = kind == RepeatKind::Rerun || (kind == RepeatKind::Rejected && !request.isRoot);
    if (isSpentOnCalls && !m_admission.finishes({request.call.rootPriority, request.call.rootKind}, request.call.context.root, now)) {
        return false;
    }
    Budgets &budgets = budgetsOf(request.call.service);
    if (kind == RepeatKind::Rerun && (budgets.all.left(now) < 1 || !budgets.rerun.take(now))) {
        return false;
    }
    return kind == RepeatKind::Moved || budgets.all.take(now);
}

std::optional<Verdict> MeshEntry::attempt(const RequestPointer &request)
{
    const TimePoint now = m_hooks.now();
    const CallRequest &call = request->call;
    const RoutingQuestion question{
        .service = call.service,
        .priority = call.context.priority,
        .root = call.context.root,
        .organisation = call.context.organisation,
        .bytes = call.http.body.size(),
        .exclude = request->tried,
        .ignoreHints = !request->isRoot,
    };
    const RoutingAnswer answer = m_router.choose(question, now);
    if (!answer.choice) {
        return answer.verdict;
    }
    send(request, *answer.choice);
    return std::nullopt;
}

void MeshEntry::send(const RequestPointer &request, const TargetChoice &choice)
{
    const TimePoint now = m_hooks.now();
    const auto id = static_cast<AttemptId>(++m_lastAttempt);
    request->call.attempt = id;
    request->call.context.remaining = request->deadline - now;
    request->call.targetIncarnation = choice.peer.incarnation;
    request->choice = choice;
    request->call.repeatPercent = static_cast<std::uint8_t>(std::lround(100 * (request->arrivals > 0 ? 1 : request->inheritedRepeat)));
    if (std::ranges::find(request->tried, choice.peer.node) == request->tried.end()) {
        request->tried.push_back(choice.peer.node);
    }
    request->attemptStarted = now;
    m_router.begun(choice, now);
    m_requests.emplace(id, request);
    m_deadlines.emplace(request->deadline + AnswerGrace, id);
    m_hooks.wakeAt(m_deadlines.begin()->first);
    if (choice.peer.endpoint == m_settings.self) {
        m_hooks.runHere(request->call, [this](CallAnswer answer) { answered(std::move(answer)); });
        return;
    }
    if (!m_hooks.send(choice.peer.endpoint, request->call.encode())) {
        take(id);
        attemptEnded(request, Verdict::refused(Reason::ConnectionLost), nullptr);
    }
}

MeshEntry::RequestPointer MeshEntry::take(AttemptId attempt)
{
    const auto found = m_requests.find(attempt);
    if (found == m_requests.end()) {
        return nullptr;
    }
    RequestPointer request = std::move(found->second);
    m_requests.erase(found);
    const auto [first, last] = m_deadlines.equal_range(request->deadline + AnswerGrace);
    const auto deadline = std::find_if(first, last, [attempt](const auto &it) { return it.second == attempt; });
    if (deadline != last) {
        m_deadlines.erase(deadline);
    }
    return request;
}

void MeshEntry::answered(CallAnswer answer)
{
    // A late answer of an attempt that was given up finds nobody.
    if (const RequestPointer request = take(answer.attempt)) {
        const Verdict verdict = answer.verdict;
        attemptEnded(request, verdict, &answer);
    }
}

void MeshEntry::peerLost(const Endpoint &peer, bool mayHaveArrived)
{
    std::vector<AttemptId> lost;
    for (const auto &[attempt, request] : m_requests) {
        if (request->choice->peer.endpoint == peer) {
            lost.push_back(attempt);
        }
    }
    std::ranges::sort(lost);
    for (const AttemptId it : lost) {
        if (const RequestPointer request = take(it)) {
            attemptEnded(request, mayHaveArrived ? Verdict::unknown(Reason::ConnectionLost) : Verdict::refused(Reason::ConnectionLost), nullptr);
        }
    }
}

void MeshEntry::sweep()
{
    const TimePoint now = m_hooks.now();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const RequestPointer request = take(m_deadlines.begin()->second);
        cancelAttempt(*request);
        attemptEnded(request, Verdict::unknown(Reason::DeadlineExpired), nullptr);
    }
    if (!m_deadlines.empty()) {
        m_hooks.wakeAt(m_deadlines.begin()->first);
    }
}

void MeshEntry::stopAt(TimePoint lastArrival, TimePoint end)
{
    m_stop = Stop{lastArrival, end};
}

void MeshEntry::callerLeft(const RequestPointer &request)
{
    if (request->isOver) {
        return;
    }
    request->isOver = true;
    if (take(request->call.attempt)) {
        cancelAttempt(*request);
        attemptEnded(request, Verdict::unknown(Reason::Cancelled), nullptr);
    }
}

void MeshEntry::cancelAttempt(const EntryRequest &request)
{
    if (request.choice->peer.endpoint == m_settings.self) {
        m_hooks.cancelHere(request.call.attempt);
    } else {
        // If the message can't be sent, the connection is lost, and the other side ends the attempt by itself.
        m_hooks.send(request.choice->peer.endpoint, CallCancel{request.call.attempt}.encode());
    }
}

void MeshEntry::attemptEnded(const RequestPointer &request, const Verdict &verdict, CallAnswer *answer)
{
    const TimePoint now = m_hooks.now();
    const bool hasResponse = answer != nullptr && answer->response.has_value();
    const AttemptOutcome outcome{
        .verdict = verdict,
        .latency = now - request->attemptStarted,
        .bytes = hasResponse ? answer->response->body.size() : 0,
        // A response of the target shows that it is well, also where it failed for a call of its own.
        .isTargetError = false,
    };
    m_router.completed(*request->choice, outcome, answer == nullptr ? std::nullopt : std::optional(answer->hint), now);
    request->mayHaveRun = request->mayHaveRun || verdict.runState() != RunState::NotRun;
    if (repeat(request, repeatKindOf(*request, verdict, answer, now))) {
        return;
    }
    const bool hidesRun = request->mayHaveRun && verdict.runState() == RunState::NotRun;
    finish(request, hidesRun ? Verdict::unknown(verdict.reason()) : verdict, answer);
}

bool MeshEntry::repeat(const RequestPointer &request, RepeatKind kind)
{
    if (kind == RepeatKind::None) {
        return false;
    }
    const bool isWithinTargets = kind != RepeatKind::Rejected || request->tried.size() < request->route->maxAttempts;
    // Where no other target is left, what there is goes to the caller, unless the target that refused it may be asked again.
    if (isWithinTargets && !attempt(request)) {
        return true;
    }
    if (kind != RepeatKind::Rejected) {
        return false;
    }
    send(request, TargetChoice(*request->choice));
    return true;
}

RepeatKind MeshEntry::repeatKindOf(EntryRequest &request, const Verdict &verdict, const CallAnswer *answer, TimePoint now)
{
    const bool isRejection = verdict.runState() == RunState::NotRun && verdict.reason() == Reason::TargetFailed;
    const bool isArrival = verdict.runState() != RunState::NotRun || isRejection;
    if (isArrival) {
        ++request.arrivals;
        request.rejections = static_cast<std::uint16_t>(request.rejections + (isRejection ? 1 : 0));
        if (!request.isRoot) {
            m_meter.callArrived(request.call.service, isRejection, now);
        }
    } else {
        ++request.refusals;
        request.overloads = static_cast<std::uint16_t>(request.overloads + (verdict.reason() == Reason::Overloaded ? 1 : 0));
    }
    if (request.isOver) {
        return RepeatKind::None;
    }
    const bool hasResponse = answer != nullptr && answer->response.has_value();
    const RepeatKind kind = repeatAfter({
        .verdict = verdict,
        .status = hasResponse ? std::optional(answer->response->status) : std::nullopt,
        .isRepeatable = request.route->repeatability == Repeatability::Idempotent,
        .arrivals = request.arrivals,
        .maxArrivals = request.route->maxAttempts,
        .refusals = request.refusals,
        .overloads = request.overloads,
        .rejections = request.rejections,
        .remaining = request.deadline - now,
    });
    return kind != RepeatKind::None && takeRepeat(request, kind, now) ? kind : RepeatKind::None;
}

void MeshEntry::finish(const RequestPointer &request, Verdict verdict, CallAnswer *answer)
{
    const TimePoint now = m_hooks.now();
    if (request->isRoot && verdict.runState() == RunState::NotRun) {
        m_allowances.giveBack(request->call.context.organisation);
    }
    if (verdict.runState() == RunState::NotRun && !verdict.retryAfter()) {
        verdict = Verdict::refused(verdict.reason(), RetrySoon);
    }
    request->isOver = true;
    const bool hasResponse = answer != nullptr && answer->response.has_value();
    HttpResponse response = hasResponse ? std::move(*answer->response) : refusalOf(m_headers, verdict, request->requestId);
    m_hooks.ended({request->requestId, request.get(), verdict, response.status, now - request->received});
    request->respond(std::move(response));
}

void MeshEntry::refuse(const HttpResponder &respond, const std::string &requestId, const Verdict &verdict, TimePoint received)
{
    HttpResponse response = refusalOf(m_headers, verdict, requestId);
    m_hooks.ended({requestId, nullptr, verdict, response.status, m_hooks.now() - received});
    respond(std::move(response));
}

} // namespace banyankeel

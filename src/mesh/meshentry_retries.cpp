#include "mesh/meshentry.h"

#include "mesh/retrydecision.h"

#include <algorithm>

namespace banyankeel
{

namespace
{
// Shares of the configured retry ratio and slack that a node uses. Retries of requests that may have run get a smaller share of the ratio, because a
// reexecution also repeats its downstream calls, which downstream nodes must count as retries even beyond their own budget.
constexpr double RetryRatioShare = 0.85;
constexpr double ReexecutionRatioShare = 0.15;
constexpr double RetrySlackShare = 0.8;
} // namespace

ServiceRetryBudgetSettings MeshEntry::retryLimits(double share) const
{
    if (m_hooks.mayHavePredecessor()) {
        // The earlier process may have spent its slack and its share of the ratio. What neither uses is left, however often the process starts again.
        return {m_settings.retryRatio * std::min(share, 1 - RetryRatioShare), 0, m_settings.retryWindow};
    }
    // The number of known nodes grows in the first seconds.
    const double slack = m_settings.retrySlack * RetrySlackShare / static_cast<double>(std::max<std::size_t>(m_hooks.nodeCount(), 1));
    return {m_settings.retryRatio * share, slack, m_settings.retryWindow};
}

MeshEntry::RetryBudgets &MeshEntry::budgetsFor(const ServiceName &service)
{
    const ServiceRetryBudgetSettings all = retryLimits(RetryRatioShare);
    const ServiceRetryBudgetSettings reexecution = retryLimits(ReexecutionRatioShare);
    RetryBudgets &found = m_budgets.try_emplace(service, RetryBudgets{ServiceRetryBudget(all), ServiceRetryBudget(reexecution)}).first->second;
    found.all.setLimits(all.ratio, all.slack);
    found.reexecution.setLimits(reexecution.ratio, reexecution.slack);
    return found;
}

double MeshEntry::retriesLeft(const ServiceName &service)
{
    return budgetsFor(service).all.remaining(m_hooks.now());
}

bool MeshEntry::takeFromRetryBudget(const EntryRequest &request, RetryKind kind, TimePoint now)
{
    // When retries are scarce, calls may use them only if their root can complete; a request that can't complete is not worth a second run either.
    const bool isCheckedAgainstRoot = kind == RetryKind::Reexecute || (kind == RetryKind::Resend && !request.isRoot);
    if (isCheckedAgainstRoot && !m_admission.allowsRetries({request.call.rootPriority, request.call.rootKind}, request.call.context.root, now)) {
        return false;
    }
    RetryBudgets &budgets = budgetsFor(request.call.service);
    if (kind == RetryKind::Reexecute && (budgets.all.remaining(now) < 1 || !budgets.reexecution.take(now))) {
        return false;
    }
    return kind == RetryKind::Reroute || budgets.all.take(now);
}

void MeshEntry::attemptEnded(const RequestPointer &request, const Verdict &verdict, CallAnswer *answer)
{
    const TimePoint now = m_hooks.now();
    const bool hasResponse = answer != nullptr && answer->response.has_value();
    const AttemptOutcome outcome{
        .verdict = verdict,
        .latency = now - request->attemptStarted,
        .bytes = hasResponse ? answer->response->body.size() : 0,
        // Any response shows that the target is alive; an error status may come from one of its own calls.
        .isTargetError = false,
    };
    m_router.recordAttemptEnd(*request->choice, outcome, answer == nullptr ? std::nullopt : std::optional(answer->hint), now);
    request->mayHaveRun = request->mayHaveRun || verdict.runState() != RunState::NotRun;
    // Without an answer it is the node that was lost, not its target.
    const bool isTargetLost = answer != nullptr && verdict.runState() == RunState::MayHaveRun && verdict.reason() == Reason::ConnectionLost;
    request->call.suspectedCrashes = static_cast<std::uint16_t>(request->call.suspectedCrashes + (isTargetLost ? 1 : 0));
    const Endpoint target = request->choice->peer.endpoint;
    if (retry(request, chooseRetry(*request, verdict, answer, now))) {
        if (answer != nullptr && answer->following) {
            cancelAttempt(target, answer->attempt);
        }
        return;
    }
    const bool mayHaveRunEarlier = request->mayHaveRun && verdict.runState() == RunState::NotRun;
    finish(request, mayHaveRunEarlier ? Verdict::unknown(verdict.reason()) : verdict, answer);
}

bool MeshEntry::retry(const RequestPointer &request, RetryKind kind)
{
    if (kind == RetryKind::None) {
        return false;
    }
    const bool mayTryOtherTarget = kind != RetryKind::Resend || request->triedNodes.size() < request->route->maxAttempts;
    // If no other target is available, the last outcome goes to the caller, unless the request may be sent again to the target that rejected it.
    if (mayTryOtherTarget && !startAttempt(request)) {
        return true;
    }
    if (kind != RetryKind::Resend) {
        return false;
    }
    sendAttempt(request, TargetChoice(*request->choice));
    return true;
}

RetryKind MeshEntry::chooseRetry(EntryRequest &request, const Verdict &verdict, const CallAnswer *answer, TimePoint now)
{
    const bool isRejection = verdict.runState() == RunState::NotRun && verdict.reason() == Reason::TargetFailed;
    const bool isArrival = verdict.runState() != RunState::NotRun || isRejection;
    if (isArrival) {
        ++request.arrivals;
        request.targetRejections = static_cast<std::uint16_t>(request.targetRejections + (isRejection ? 1 : 0));
        if (!request.isRoot) {
            m_meter.callArrived(request.call.service, isRejection, now);
        }
    } else {
        ++request.nodeRefusals;
        request.overloadRefusals = static_cast<std::uint16_t>(request.overloadRefusals + (verdict.reason() == Reason::Overloaded ? 1 : 0));
    }
    if (request.isFinished || m_retriesStopped) {
        return RetryKind::None;
    }
    const bool hasResponse = answer != nullptr && answer->response.has_value();
    const RetryKind kind = decideRetry({
        .verdict = verdict,
        .status = hasResponse ? std::optional(answer->response->status) : std::nullopt,
        .isIdempotent = request.route->repeatability == Repeatability::Idempotent,
        .arrivals = request.arrivals,
        .maxArrivals = request.route->maxAttempts,
        .nodeRefusals = request.nodeRefusals,
        .overloadRefusals = request.overloadRefusals,
        .targetRejections = request.targetRejections,
        .remaining = request.deadline - now,
    });
    return kind != RetryKind::None && takeFromRetryBudget(request, kind, now) ? kind : RetryKind::None;
}

} // namespace banyankeel

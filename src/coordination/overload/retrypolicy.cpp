#include "coordination/overload/retrypolicy.h"

#include "state/errors.h"

#include <algorithm>

namespace banyankeel
{

namespace
{
constexpr std::uint16_t MaxOverloadRefusals = 1;
constexpr std::uint16_t MaxMoveRefusals = 2;

constexpr RetryDecision noRetry(std::uint16_t budget)
{
    return {false, 0, budget};
}

/// Budget that remains at this hop after an attempt has ended.
std::uint16_t budgetAfter(const CallProgress &progress, bool isLost)
{
    const std::uint16_t spent = isLost ? progress.granted : std::min(progress.granted, progress.spentBelow);
    return static_cast<std::uint16_t>(progress.budget + progress.granted - spent);
}
} // namespace

RetryPolicy::RetryPolicy(const RetrySettings &settings, TimePoint /*now*/)
    : m_settings(settings)
    , m_allowance(settings.burst)
{
    if (settings.maxRatio < 0 || settings.burst < 0) {
        throw ValueError("retry policy: fields maxRatio and burst must not be negative");
    }
}

std::uint16_t RetryPolicy::budgetOfRoot(std::uint16_t lowestMaxExecutions)
{
    return static_cast<std::uint16_t>(std::max<std::uint16_t>(lowestMaxExecutions, 1) - 1);
}

std::uint16_t RetryPolicy::grantOf(std::uint16_t budget, bool callsOthers)
{
    if (!callsOthers) {
        return 0;
    }
    // Of a budget of two or more, one unit stays here. The rest goes as far downstream as possible, where a retry is cheapest. A
    // single unit is passed on: keeping it would leave the downstream services without any.
    return static_cast<std::uint16_t>(budget >= 2 ? budget - 1 : budget);
}

void RetryPolicy::recordCall()
{
    m_allowance = std::min(m_settings.burst, m_allowance + m_settings.maxRatio);
}

bool RetryPolicy::takeAllowance()
{
    if (m_allowance < 1) {
        return false;
    }
    m_allowance -= 1;
    return true;
}

RetryDecision RetryPolicy::decide(const CallProgress &progress, const Verdict &verdict, TimePoint /*now*/)
{
    const bool isLost = verdict.runState() == RunState::MayHaveRun;
    const bool isFinal = verdict.runState() == RunState::Ran || !progress.hasOtherTarget || progress.remaining <= Duration::zero();
    if (isFinal) {
        return noRetry(budgetAfter(progress, isLost));
    }
    return isLost ? retryLost(progress) : retryRefused(progress, verdict);
}

RetryDecision RetryPolicy::retryLost(const CallProgress &progress)
{
    const std::uint16_t budget = budgetAfter(progress, true);
    if (!progress.isIdempotent || budget == 0 || !takeAllowance()) {
        return noRetry(budget);
    }
    const auto left = static_cast<std::uint16_t>(budget - 1);
    const std::uint16_t grant = grantOf(left, progress.callsOthers);
    return {true, grant, static_cast<std::uint16_t>(left - grant)};
}

bool RetryPolicy::mayRetryRefused(const CallProgress &progress, Reason reason)
{
    switch (reason) {
    case Reason::Overloaded:
        return progress.overloadRefusals <= MaxOverloadRefusals && takeAllowance();
    case Reason::Draining:
    case Reason::NoTarget:
    case Reason::ConnectionLost:
    case Reason::RetryBudgetSpent:
        // Moving to another target does not add load, so it is not charged to the node's ratio.
        return progress.moveRefusals <= MaxMoveRefusals;
    default:
        return false;
    }
}

RetryDecision RetryPolicy::retryRefused(const CallProgress &progress, const Verdict &verdict)
{
    // Nothing ran, so the next attempt adds no execution and costs no budget; the refusal counts bound it instead.
    const std::uint16_t budget = budgetAfter(progress, false);
    if (!mayRetryRefused(progress, verdict.reason())) {
        return noRetry(budget);
    }
    const std::uint16_t grant = grantOf(budget, progress.callsOthers);
    return {true, grant, static_cast<std::uint16_t>(budget - grant)};
}

} // namespace banyankeel

#pragma once

// Decides whether the hop above a failed attempt retries, and which part of the root's retry budget the retry receives.
//
//   RetryPolicy retries(settings, now);
//   std::uint16_t grant = RetryPolicy::grantOf(context.retryBudget, callsOthers);
//   ...
//   RetryDecision next = retries.decide(progress, verdict, now);

#include "state/time.h"
#include "state/verdict.h"

#include <compare>
#include <cstdint>

namespace banyankeel
{

/// State of one call at one hop, kept by the hop for the duration of the call.
struct CallProgress {
    bool isIdempotent;
    /// Remaining part of the retry budget that the call arrived with, without the grants of attempts in flight.
    std::uint16_t budget;
    /// Budget that was granted to the attempt that just ended.
    std::uint16_t granted;
    /// Retries that the downstream hops of the ended attempt reported; the whole grant if there was no answer.
    std::uint16_t spentBelow;
    /// Attempts of this call that were refused because of overload, including the last one.
    std::uint16_t overloadRefusals;
    /// Attempts that were refused because the target was leaving, was another incarnation or had already run the root, including the last one.
    std::uint16_t moveRefusals;
    /// Whether there is another target to try.
    bool hasOtherTarget;
    /// Whether the called service calls other services.
    bool callsOthers;
    Duration remaining;

    friend auto operator<=>(const CallProgress &, const CallProgress &) = default;
};

struct RetryDecision {
    /// Retry at a target that has not been tried yet.
    bool isRetry;
    /// Budget that the next attempt passes to the downstream hops.
    std::uint16_t grant;
    /// Budget that remains at this hop, without the grant.
    std::uint16_t budget;

    friend auto operator<=>(const RetryDecision &, const RetryDecision &) = default;
};

struct RetrySettings {
    /// Long-term ratio of retries to forwarded calls of this node.
    double maxRatio = 0.1;
    /// Maximum burst of retries (capacity of the token bucket).
    double burst = 50;

    friend auto operator<=>(const RetrySettings &, const RetrySettings &) = default;
};

/// The retry policy of one node. Not thread-safe. Constant time and size.
///
/// One budget covers all retries for a root. Each retry that may lead to a further execution costs one unit, at whichever hop it
/// happens, and the grant of a lost attempt is written off. The executions of a root at a service that each upstream execution calls
/// once are therefore at most 1 + budget over the whole call chain.
class RetryPolicy
{
public:
    /// @throws ValueError if a setting is negative.
    RetryPolicy(const RetrySettings &settings, TimePoint now);

    /// The budget of a new root. @param lowestMaxExecutions the lowest Service::maxExecutions among the services that the call can reach.
    static std::uint16_t budgetOfRoot(std::uint16_t lowestMaxExecutions);
    /// The part of @p budget that an attempt passes downstream; the rest stays at this hop in case the attempt is lost.
    /// @param callsOthers whether the called service calls other services, which could use the budget.
    static std::uint16_t grantOf(std::uint16_t budget, bool callsOthers);

    /// Records the first attempt of a call, which adds a fraction of a retry to the allowance.
    void recordCall();
    /// Decides whether to retry after an attempt ended with @p verdict. A granted retry is charged.
    RetryDecision decide(const CallProgress &progress, const Verdict &verdict, TimePoint now);
    /// Retries that the node's ratio currently allows.
    [[nodiscard]] double allowance() const
    {
        return m_allowance;
    }

private:
    RetryDecision retryRefused(const CallProgress &progress, const Verdict &verdict);
    RetryDecision retryLost(const CallProgress &progress);
    bool mayRetryRefused(const CallProgress &progress, Reason reason);
    bool takeAllowance();

    RetrySettings m_settings;
    double m_allowance;
};

} // namespace banyankeel

#include "mesh/repeatpolicy.h"

namespace banyankeel
{

namespace
{
// With less time left another target can't answer in time.
constexpr Duration ShortestRemaining = std::chrono::milliseconds(30);
// Targets that are gone, draining or out of reach are found within so many tries, or there is none.
constexpr std::uint16_t MaxRefusals = 4;
// What one node refuses for overload, another may have room for; more tries would only add to the load.
constexpr std::uint16_t MaxOverloads = 2;
// Targets that reject more than half of what they get let a request through within so many tries, nearly always.
constexpr std::uint16_t MaxRejections = 8;
constexpr int FirstServerError = 500;
constexpr int GatewayTimeout = 504;

RepeatKind afterRefusal(const EndedAttempt &attempt)
{
    switch (attempt.verdict.reason()) {
    case Reason::TargetFailed:
        // Nothing has run: how often it may be sent again is for the budget, at how many targets for the route.
        return attempt.rejections < MaxRejections ? RepeatKind::Rejected : RepeatKind::None;
    case Reason::DeadlineExpired:
    case Reason::Cancelled:
    case Reason::Quarantined:
        return RepeatKind::None;
    case Reason::Overloaded:
        return attempt.overloads < MaxOverloads && attempt.refusals < MaxRefusals ? RepeatKind::Moved : RepeatKind::None;
    default:
        return attempt.refusals < MaxRefusals ? RepeatKind::Moved : RepeatKind::None;
    }
}
} // namespace

RepeatKind repeatAfter(const EndedAttempt &attempt)
{
    if (attempt.remaining < ShortestRemaining) {
        return RepeatKind::None;
    }
    if (attempt.verdict.runState() == RunState::NotRun) {
        return afterRefusal(attempt);
    }
    if (!attempt.isRepeatable || attempt.arrivals >= attempt.maxArrivals) {
        return RepeatKind::None;
    }
    if (attempt.verdict.runState() == RunState::MayHaveRun) {
        const bool hasTimedOut = attempt.verdict.reason() == Reason::DeadlineExpired || attempt.verdict.reason() == Reason::Cancelled;
        return hasTimedOut ? RepeatKind::None : RepeatKind::Rerun;
    }
    // The target's own time limit has passed: another run has no more time than the first.
    const bool hasFailed = attempt.status && *attempt.status >= FirstServerError && *attempt.status != GatewayTimeout;
    return hasFailed ? RepeatKind::Rerun : RepeatKind::None;
}

} // namespace banyankeel

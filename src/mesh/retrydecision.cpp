#include "mesh/retrydecision.h"

namespace banyankeel
{

namespace
{
// With less time left, another target can't answer before the deadline.
constexpr Duration MinRemainingTime = std::chrono::milliseconds(30);
// Enough to skip targets that are gone, draining or unreachable.
constexpr std::uint16_t MaxNodeRefusals = 4;
// Another node may have capacity, but more attempts would only add load.
constexpr std::uint16_t MaxOverloadRefusals = 2;
// Enough for a request to be accepted almost always, even if targets reject more than half of their requests.
constexpr std::uint16_t MaxTargetRejections = 8;
constexpr int FirstServerError = 500;
constexpr int GatewayTimeout = 504;

RetryKind decideRetryOfRefusal(const AttemptResult &attempt)
{
    switch (attempt.verdict.reason()) {
    case Reason::TargetFailed:
        // The request has not run. The retry budget limits how often it is resent, and the route to how many targets.
        return attempt.targetRejections < MaxTargetRejections ? RetryKind::Resend : RetryKind::None;
    case Reason::DeadlineExpired:
    case Reason::Cancelled:
    case Reason::Quarantined:
        return RetryKind::None;
    case Reason::Overloaded:
        return attempt.overloadRefusals < MaxOverloadRefusals && attempt.nodeRefusals < MaxNodeRefusals ? RetryKind::Reroute : RetryKind::None;
    default:
        return attempt.nodeRefusals < MaxNodeRefusals ? RetryKind::Reroute : RetryKind::None;
    }
}
} // namespace

RetryKind decideRetry(const AttemptResult &attempt)
{
    if (attempt.remaining < MinRemainingTime) {
        return RetryKind::None;
    }
    if (attempt.verdict.runState() == RunState::NotRun) {
        return decideRetryOfRefusal(attempt);
    }
    if (!attempt.isIdempotent || attempt.arrivals >= attempt.maxArrivals) {
        return RetryKind::None;
    }
    if (attempt.verdict.runState() == RunState::MayHaveRun) {
        const bool hasTimedOut = attempt.verdict.reason() == Reason::DeadlineExpired || attempt.verdict.reason() == Reason::Cancelled;
        return hasTimedOut ? RetryKind::None : RetryKind::Reexecute;
    }
    // After a gateway timeout, a second run would have no more time than the first.
    const bool hasFailed = attempt.status && *attempt.status >= FirstServerError && *attempt.status != GatewayTimeout;
    return hasFailed ? RetryKind::Reexecute : RetryKind::None;
}

} // namespace banyankeel

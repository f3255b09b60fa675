#pragma once

// Decides whether an entry node retries a request after an attempt ended, and which kind of retry it is.
//
//   RetryKind kind = decideRetry(attempt);
//   if (kind == RetryKind::Reroute || budgetFor(kind).take(now)) ... // choose another target

#include "state/time.h"
#include "state/verdict.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace banyankeel
{

/// How an attempt ended, and counts of the request's attempts so far.
struct AttemptResult {
    Verdict verdict;
    /// Status of the target's response, if there is one.
    std::optional<int> status;
    /// Whether the request may run more than once.
    bool isIdempotent;
    /// Attempts that may have reached a target, including this one, and the limit on them.
    std::uint16_t arrivals;
    std::uint16_t maxArrivals;
    /// Attempts refused by a node before they reached its target, including this one, and how many of them because of overload.
    std::uint16_t nodeRefusals;
    std::uint16_t overloadRefusals;
    /// Attempts that a target rejected without running them, including this one.
    std::uint16_t targetRejections;
    Duration remaining;

    friend auto operator<=>(const AttemptResult &, const AttemptResult &) = default;
};

enum class RetryKind : std::uint8_t {
    /// No retry: the outcome of the attempt is the outcome of the request.
    None,
    /// No target received the request; sending it to another one adds no load on targets.
    Reroute,
    /// A target rejected the request without running it: send it to another target while maxArrivals allows, otherwise again to one that rejected it.
    Resend,
    /// The request may have run, so a retry may repeat its downstream calls too.
    Reexecute,
};

/// Pure function. A request that may have run is retried only if it is idempotent.
RetryKind decideRetry(const AttemptResult &attempt);

} // namespace banyankeel

#pragma once

// Whether an entry node sends a request once more after an attempt ended, and what that costs.
//
//   RepeatKind kind = repeatAfter(attempt);
//   if (kind == RepeatKind::Moved || budgetFor(kind).take(now)) ... // choose another target

#include "state/time.h"
#include "state/verdict.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace banyankeel
{

/// How an attempt ended, and what was done for its request before.
struct EndedAttempt {
    Verdict verdict;
    /// Of the target's response, if there is one.
    std::optional<int> status;
    /// The request may run more than once.
    bool isRepeatable;
    /// Attempts that may have reached a target, this one included, and how many are allowed.
    std::uint16_t arrivals;
    std::uint16_t maxArrivals;
    /// Attempts that nodes refused before they reached their target, this one included; and how many of these for overload.
    std::uint16_t refusals;
    std::uint16_t overloads;
    /// Attempts that targets refused without having run them, this one included.
    std::uint16_t rejections;
    Duration remaining;

    friend auto operator<=>(const EndedAttempt &, const EndedAttempt &) = default;
};

enum class RepeatKind : std::uint8_t {
    /// The attempt's outcome is the request's.
    None,
    /// No target saw the request: trying another one adds no load.
    Moved,
    /// A target saw the request and refused it: one more arrival, at a further target while maxArrivals allows one, else at one that refused it.
    Rejected,
    /// The request may have run, with all the calls that it makes: they come again as well.
    Rerun,
};

/// Pure. A request that may have run is never repeated unless it may run more than once.
RepeatKind repeatAfter(const EndedAttempt &attempt);

} // namespace banyankeel

#pragma once

// Outcome of a request that ran at a target, as observed by the target's node.

#include "protocol/callmessages.h"
#include "state/time.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace banyankeel
{

enum class CompletionKind : std::uint8_t {
    /// A complete answer was received.
    Succeeded,
    /// The target answered with an error of its own, or the answer was incomplete.
    Failed,
    /// No answer was received before the deadline.
    TimedOut,
    /// The target crashed or disconnected while the request was running.
    Crashed,
    /// The target itself refused because of overload.
    TargetOverloaded,
    /// The target failed because a service that it calls refused because of overload.
    DownstreamOverloaded,
    /// The caller disconnected; the service time says nothing about the target.
    Cancelled,
};

struct Completion {
    /// Time from the start of the request at the target to its end.
    Duration serviceTime;
    CompletionKind kind;
    /// The part of serviceTime that the target spent waiting for its own downstream calls.
    Duration downstreamTime = Duration::zero();
    /// Hint of the most loaded service that the target called, if any; see combinedHint().
    std::optional<AdmissionHint> downstream = std::nullopt;

    friend auto operator<=>(const Completion &, const Completion &) = default;
};

/// Combines the hints of two services in one call chain: the lower admitted fraction, and the load of the more loaded service.
AdmissionHint combinedHint(const AdmissionHint &left, const AdmissionHint &right);

} // namespace banyankeel

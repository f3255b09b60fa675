#pragma once

// The status that a target reports to its local node.

#include "state/endpoint.h"
#include "state/identifier.h"
#include "state/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace banyankeel
{

/// The most concurrent requests that a target may announce. State is allocated for each of them.
inline constexpr std::uint32_t MaxTargetSlots = 65'536;

/// Identifies one start of a target. A target may restart under the same name.
struct TargetBoot {
    std::string name;
    /// Start time; absent if the target does not report it.
    std::optional<WallTime> startedAt;

    friend auto operator<=>(const TargetBoot &, const TargetBoot &) = default;
};

/// What a target has said about the number of requests that it accepts from all nodes together.
struct TargetRateLimit {
    TargetBoot boot;
    /// Requests per second; absent if the boot has lifted its limit.
    std::optional<double> ratePerSecond;

    friend auto operator<=>(const TargetRateLimit &, const TargetRateLimit &) = default;
};

/// What a target says about itself in its answers to requests.
struct TargetNotice {
    /// The number of requests per second that it accepts from all nodes together; absent if it names none.
    std::optional<double> ratePerSecond;
    /// It shuts down and is to receive no further requests.
    bool isLeaving = false;

    friend auto operator<=>(const TargetNotice &, const TargetNotice &) = default;
};

/// A heartbeat of a target.
struct TargetReport {
    TargetBoot boot;
    ServiceName service;
    Endpoint address;
    /// Maximum number of concurrent requests.
    std::uint32_t slots;
    bool isLeaving;
    /// Sequence number of the report within one boot, used to detect reports that arrive late.
    std::uint64_t sequence;
    /// Remaining warm-up time, during which the target is slower than usual.
    Duration warmUpRemaining;

    friend auto operator<=>(const TargetReport &, const TargetReport &) = default;
};

} // namespace banyankeel

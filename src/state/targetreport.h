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

/// Identifies one start of a target. A target may restart under the same name.
struct TargetBoot {
    std::string name;
    /// Start time; absent if the target does not report it.
    std::optional<WallTime> startedAt;

    friend auto operator<=>(const TargetBoot &, const TargetBoot &) = default;
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

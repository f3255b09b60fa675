#pragma once

// Keeps the rate limit that a target names in its answers.
//
//   RateLimitTracker limits;
//   if (limits.recordAnswer(boot, named, now)) ... // apply, report and store limits.limitOf(boot)

#include "state/targetreport.h"
#include "state/time.h"

#include <optional>

namespace banyankeel
{

/// The limit of one target. Not thread-safe. Constant time and size.
class RateLimitTracker
{
public:
    /// Processes an answer of @p boot. @param ratePerSecond the limit it names, if any. Returns whether the limit has changed noticeably.
    bool recordAnswer(const TargetBoot &boot, std::optional<double> ratePerSecond, TimePoint now);
    /// Applies a limit that an earlier process of this node recorded, unless an answer of that boot has already told. Returns whether the limit has
    /// changed.
    bool restore(const TargetRateLimit &limit, TimePoint now);

    /// The limit of @p boot; absent if it has named none.
    [[nodiscard]] std::optional<double> limitOf(const TargetBoot &boot) const;
    /// The last known limit, or that the last boot that had one has lifted it. Absent if none was ever known.
    [[nodiscard]] const std::optional<TargetRateLimit> &last() const
    {
        return m_last;
    }

private:
    std::optional<TargetRateLimit> m_last;
    TimePoint m_namedAt{};
    /// The boot that has answered this process.
    std::optional<TargetBoot> m_answered;
};

} // namespace banyankeel

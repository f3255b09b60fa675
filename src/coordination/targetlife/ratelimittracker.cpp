#include "coordination/targetlife/ratelimittracker.h"

#include <cmath>
#include <utility>

namespace banyankeel
{

namespace
{
// Answers that were written before the target named its limit may arrive after it.
constexpr Duration ReleaseDelay = std::chrono::milliseconds(500);
// Relative change of a limit below which it is not announced again.
constexpr double NoticeableChange = 0.05;
} // namespace

bool RateLimitTracker::recordAnswer(const TargetBoot &boot, std::optional<double> ratePerSecond, TimePoint now)
{
    m_answered = boot;
    const std::optional<double> known = limitOf(boot);
    if (ratePerSecond) {
        m_namedAt = now;
        if (known && std::abs(*known - *ratePerSecond) <= NoticeableChange * *known) {
            return false;
        }
        m_last = TargetRateLimit{boot, ratePerSecond};
        return true;
    }
    if (!known || now - m_namedAt < ReleaseDelay) {
        return false;
    }
    m_last = TargetRateLimit{boot, std::nullopt};
    return true;
}

bool RateLimitTracker::restore(const TargetRateLimit &limit, TimePoint now)
{
    if (!limit.ratePerSecond || m_answered == limit.boot || limitOf(limit.boot)) {
        return false;
    }
    m_last = limit;
    m_namedAt = now;
    return true;
}

std::optional<double> RateLimitTracker::limitOf(const TargetBoot &boot) const
{
    return m_last && m_last->boot == boot ? m_last->ratePerSecond : std::nullopt;
}

} // namespace banyankeel

#include "coordination/overload/tokenbucket.h"

#include "state/errors.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace banyankeel
{

namespace
{
double checkedRate(double ratePerSecond)
{
    if (!std::isfinite(ratePerSecond) || ratePerSecond <= 0) {
        throw ValueError("token bucket: field rate: " + std::to_string(ratePerSecond) + " found, a number above zero expected");
    }
    return ratePerSecond;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
} // namespace

TokenBucket::TokenBucket(double ratePerSecond, TimePoint now)
    : m_ratePerSecond(checkedRate(ratePerSecond))
    , m_filledAt(now)
{
}

void TokenBucket::setRate(double ratePerSecond, TimePoint now)
{
    m_tokens = tokensAt(now);
    m_filledAt = std::max(m_filledAt, now);
    m_ratePerSecond = checkedRate(ratePerSecond);
    m_tokens = tokensAt(now);
}

double TokenBucket::tokensAt(TimePoint now) const
{
    const double capacity = std::max(1.0, m_ratePerSecond * seconds(BurstTime));
    return std::min(capacity, m_tokens + m_ratePerSecond * std::max(0.0, seconds(now - m_filledAt)));
}

bool TokenBucket::tryTake(TimePoint now)
{
    m_tokens = tokensAt(now);
    m_filledAt = std::max(m_filledAt, now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

TimePoint TokenBucket::nextTokenAt(TimePoint now) const
{
    // Rounded up, so that the token is there at that time.
    constexpr Duration Resolution = std::chrono::microseconds(1);
    const double missing = std::max(0.0, 1 - tokensAt(now));
    return missing == 0 ? now : now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / m_ratePerSecond)) + Resolution;
}

} // namespace banyankeel

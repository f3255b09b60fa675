#pragma once

// Limits the number of log lines per second and counts the lines that were dropped.
//
//   LogRateLimiter limiter(50);
//   if (limiter.tryAcquire(now)) logEvent(...);

#include "state/time.h"

#include <cstdint>

namespace banyankeel
{

/// Not thread-safe.
class LogRateLimiter
{
public:
    explicit LogRateLimiter(std::uint32_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// Returns whether a line may be written now, and counts it as written or dropped.
    [[nodiscard]] bool tryAcquire(TimePoint now)
    {
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
        if (second != m_second) {
            m_second = second;
            m_written = 0;
        }
        if (m_written >= m_linesPerSecond) {
            ++m_dropped;
            return false;
        }
        ++m_written;
        return true;
    }
    /// Returns the number of lines dropped since the last call.
    [[nodiscard]] std::uint64_t takeDroppedLines()
    {
        const std::uint64_t n = m_dropped;
        m_dropped = 0;
        return n;
    }

private:
    std::uint32_t m_linesPerSecond;
    std::int64_t m_second = 0;
    std::uint32_t m_written = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace banyankeel

#pragma once

// Counts events and forgets them with time, so that it tells how often they happen lately.
//
//   DecayedCount arrivals(1s);
//   arrivals.add(1, now);
//   double perSecond = arrivals.perSecond(now);

#include "state/time.h"

#include <algorithm>
#include <cmath>

namespace banyankeel
{

/// Not thread-safe; constant time and size.
class DecayedCount
{
public:
    /// @param memory the time after which an event counts for 1/e.
    explicit DecayedCount(Duration memory)
        : m_memory(std::chrono::duration<double>(memory).count())
    {
    }

    void add(double count, TimePoint now)
    {
        m_sum = sum(now) + count;
        m_at = std::max(m_at, now);
    }
    /// What was counted, later events more than earlier ones.
    [[nodiscard]] double sum(TimePoint now) const
    {
        const double age = std::max(0.0, std::chrono::duration<double>(now - m_at).count());
        return m_sum * std::exp(-age / m_memory);
    }
    [[nodiscard]] double perSecond(TimePoint now) const
    {
        return sum(now) / m_memory;
    }

private:
    double m_memory;
    double m_sum = 0;
    TimePoint m_at{};
};

} // namespace banyankeel

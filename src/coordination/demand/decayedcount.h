#pragma once

// Event counter with exponential decay, for recent rates.
//
//   DecayedCount arrivals(1s);
//   arrivals.add(1, now);
//   double perSecond = arrivals.perSecond(now);

#include "state/time.h"

#include <algorithm>
#include <cmath>

namespace banyankeel
{

/// An exponentially decaying sum. Not thread-safe. Constant time and size.
class DecayedCount
{
public:
    /// @param timeConstant time constant: the age at which an event counts for 1/e.
    explicit DecayedCount(Duration timeConstant)
        : m_timeConstant(std::chrono::duration<double>(timeConstant).count())
    {
    }

    void add(double count, TimePoint now)
    {
        m_sum = sum(now) + count;
        m_updatedAt = std::max(m_updatedAt, now);
    }
    /// The sum of all events, decayed by their age at @p now.
    [[nodiscard]] double sum(TimePoint now) const
    {
        const double age = std::max(0.0, std::chrono::duration<double>(now - m_updatedAt).count());
        return m_sum * std::exp(-age / m_timeConstant);
    }
    [[nodiscard]] double perSecond(TimePoint now) const
    {
        return sum(now) / m_timeConstant;
    }

private:
    double m_timeConstant;
    double m_sum = 0;
    TimePoint m_updatedAt{};
};

} // namespace banyankeel

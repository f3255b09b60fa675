#pragma once

// An exponentially weighted moving average of requests per second.
//
//   DemandMeter meter;
//   meter.add(1.0, now, std::chrono::seconds(1));

#include "state/time.h"

#include <cmath>

namespace banyankeel
{

/// Not thread-safe.
class DemandMeter
{
public:
    /// Adds @p weight requests at @p now. @p term is the time constant of the average.
    void add(double weight, TimePoint now, Duration term)
    {
        m_perSecond = perSecond(now, term) + weight / std::chrono::duration<double>(term).count();
        m_at = now;
    }
    /// The average at @p now.
    [[nodiscard]] double perSecond(TimePoint now, Duration term) const
    {
        const double age = std::chrono::duration<double>(now - m_at) / std::chrono::duration<double>(term);
        return age <= 0.0 ? m_perSecond : m_perSecond * std::exp(-age);
    }
    [[nodiscard]] TimePoint lastAdded() const
    {
        return m_at;
    }

private:
    double m_perSecond = 0.0;
    TimePoint m_at{};
};

} // namespace banyankeel

#include "coordination/overload/servicetimes.h"

#include <algorithm>
#include <cmath>

namespace banyankeel
{

namespace
{
/// Of one more time in the smoothed ones: the last twenty requests weigh most.
constexpr double Gain = 0.05;
/// Mean deviations above the mean that most requests stay below.
constexpr double LongDeviations = 1;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
} // namespace

void ServiceTimes::Smoothed::note(double time, TimePoint now)
{
    if (mean == 0) {
        mean = time;
    }
    deviation += Gain * (std::abs(time - mean) - deviation);
    mean += Gain * (time - mean);
    lastNews = now;
}

Duration ServiceTimes::Smoothed::decayed(double value, TimePoint now) const
{
    const double quiet = std::max(0.0, seconds(now - lastNews));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value * std::exp2(-quiet)));
}

ServiceTimes::Smoothed *ServiceTimes::smoothedOf(RequestKind kind)
{
    const auto found = m_kinds.find(kind);
    if (found != m_kinds.end()) {
        return &found->second;
    }
    return m_kinds.size() < HighestKinds ? &m_kinds[kind] : nullptr;
}

void ServiceTimes::note(RequestKind kind, Duration time, TimePoint now)
{
    m_all.note(seconds(time), now);
    if (Smoothed *smoothed = smoothedOf(kind)) {
        smoothed->note(seconds(time), now);
    }
}

void ServiceTimes::noteGivenUp(RequestKind kind, Duration time, TimePoint now)
{
    // A shorter time than the usual one tells nothing.
    if (seconds(time) > m_all.mean) {
        m_all.note(seconds(time), now);
    }
    Smoothed *smoothed = smoothedOf(kind);
    if (smoothed != nullptr && seconds(time) > smoothed->mean) {
        smoothed->note(seconds(time), now);
    }
}

Duration ServiceTimes::expected(TimePoint now) const
{
    return m_all.decayed(m_all.mean, now);
}

Duration ServiceTimes::expected(RequestKind kind, TimePoint now) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? Duration::zero() : found->second.decayed(found->second.mean, now);
}

Duration ServiceTimes::longTime(RequestKind kind, TimePoint now) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? Duration::zero() : found->second.decayed(found->second.mean + LongDeviations * found->second.deviation, now);
}

} // namespace banyankeel

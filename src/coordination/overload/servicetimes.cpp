#include "coordination/overload/servicetimes.h"

#include <algorithm>
#include <cmath>

namespace banyankeel
{

namespace
{
/// Smoothing factor; gives the last twenty or so requests the most weight.
constexpr double SmoothingFactor = 0.05;
/// Number of mean deviations above the mean that most requests do not exceed.
constexpr double HighEstimateDeviations = 1;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
} // namespace

void ServiceTimes::SmoothedTime::record(double time, TimePoint now)
{
    if (mean == 0) {
        mean = time;
    }
    deviation += SmoothingFactor * (std::abs(time - mean) - deviation);
    mean += SmoothingFactor * (time - mean);
    lastUpdate = now;
}

Duration ServiceTimes::SmoothedTime::decayed(double value, TimePoint now) const
{
    const double sinceUpdate = std::max(0.0, seconds(now - lastUpdate));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value * std::exp2(-sinceUpdate)));
}

ServiceTimes::SmoothedTime *ServiceTimes::findOrAddKind(RequestKind kind)
{
    const auto found = m_kinds.find(kind);
    if (found != m_kinds.end()) {
        return &found->second;
    }
    return m_kinds.size() < MaxKinds ? &m_kinds[kind] : nullptr;
}

void ServiceTimes::record(RequestKind kind, Duration time, TimePoint now)
{
    m_all.record(seconds(time), now);
    if (SmoothedTime *smoothed = findOrAddKind(kind)) {
        smoothed->record(seconds(time), now);
    }
}

void ServiceTimes::recordAbandoned(RequestKind kind, Duration time, TimePoint now)
{
    // A lower bound below the mean carries no information.
    if (seconds(time) > m_all.mean) {
        m_all.record(seconds(time), now);
    }
    SmoothedTime *smoothed = findOrAddKind(kind);
    if (smoothed != nullptr && seconds(time) > smoothed->mean) {
        smoothed->record(seconds(time), now);
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

Duration ServiceTimes::highEstimate(RequestKind kind, TimePoint now) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? Duration::zero() : found->second.decayed(found->second.mean + HighEstimateDeviations * found->second.deviation, now);
}

} // namespace banyankeel

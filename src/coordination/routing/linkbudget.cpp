#include "coordination/routing/linkbudget.h"

#include "state/errors.h"

#include <algorithm>

namespace banyankeel
{

namespace
{
/// Capacity of the bucket in seconds of the rate. Short, so that a full bucket adds little queueing on the link.
constexpr double BurstSeconds = 0.5;
constexpr double ReservedFraction = 0.25;
/// The link counts as congested when an answer takes this much longer than the shortest latency.
constexpr Duration CongestionDelay = std::chrono::milliseconds(300);
constexpr double BackOffFactor = 0.5;
constexpr double MinRateFraction = 0.01;
constexpr Duration BackOffInterval = std::chrono::milliseconds(300);
constexpr double GrowthPerSecond = 0.2;
/// The shortest latency increases by this factor with each answer, so that it adapts to a route change.
constexpr double MinLatencyDrift = 1.0005;
} // namespace

LinkBudget::LinkBudget(std::uint64_t bytesPerSecond, TimePoint now)
    : m_bytesPerSecond(static_cast<double>(bytesPerSecond))
    , m_bytes(m_bytesPerSecond * BurstSeconds)
    , m_filledAt(now)
{
    if (bytesPerSecond == 0) {
        throw ValueError("link budget: bytes per second: 0 found, above 0 allowed");
    }
}

void LinkBudget::refill(TimePoint now)
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - m_filledAt).count());
    m_bytes = std::min(rate() * BurstSeconds, m_bytes + elapsed * rate());
    m_filledAt = std::max(m_filledAt, now);
}

bool LinkBudget::tryTake(std::size_t bytes, PriorityLevel priority, TimePoint now)
{
    refill(now);
    const double reserved = priority == PriorityLevel{} ? 0.0 : rate() * BurstSeconds * ReservedFraction;
    // A request larger than the bucket may pass when the bucket is full; the balance then becomes negative.
    const double needed = std::min(static_cast<double>(bytes) + reserved, rate() * BurstSeconds);
    if (m_bytes < needed) {
        return false;
    }
    m_bytes -= static_cast<double>(bytes);
    m_used += bytes;
    return true;
}

void LinkBudget::charge(std::size_t bytes, TimePoint now)
{
    refill(now);
    m_bytes -= static_cast<double>(bytes);
    m_used += bytes;
}

double LinkBudget::rate() const
{
    return m_bytesPerSecond * m_rateFraction;
}

void LinkBudget::backOff(TimePoint now)
{
    if (now - m_backedOffAt < BackOffInterval) {
        return;
    }
    m_rateFraction = std::max(MinRateFraction, m_rateFraction * BackOffFactor);
    m_backedOffAt = now;
    m_grownAt = now;
}

void LinkBudget::recordTimeout(TimePoint now)
{
    backOff(now);
}

void LinkBudget::recordAnswer(Duration latency, TimePoint now)
{
    const auto drifted = m_minLatency == Duration::max() ? m_minLatency : std::chrono::duration_cast<Duration>(m_minLatency * MinLatencyDrift);
    m_minLatency = std::min(drifted, latency);
    if (latency > m_minLatency + CongestionDelay) {
        backOff(now);
        return;
    }
    const double elapsed = std::chrono::duration<double>(now - m_grownAt).count();
    m_rateFraction = std::min(1.0, m_rateFraction + GrowthPerSecond * std::clamp(elapsed, 0.0, 1.0) * m_rateFraction);
    m_grownAt = now;
}

} // namespace banyankeel

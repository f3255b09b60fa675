#include "coordination/routing/targethealth.h"

#include <algorithm>

namespace banyankeel
{

namespace
{
constexpr Duration WindowLength = std::chrono::seconds(5);
constexpr std::uint16_t ConsecutiveFailuresToEject = 5;
constexpr std::uint16_t MinSamplesToEject = 20;
constexpr Duration FirstEjection = std::chrono::seconds(1);
constexpr std::uint8_t MaxDoublings = 5;
constexpr Duration SlowStartDuration = std::chrono::seconds(5);
constexpr double MinWeight = 0.1;
/// A target that stays in service this long after an ejection starts again with the first ejection time.
constexpr Duration EjectionHistoryLifetime = std::chrono::minutes(1);
} // namespace

void TargetHealth::beginSlowStart(TimePoint now)
{
    m_isInSlowStart = true;
    m_slowStartBegin = now;
}

void TargetHealth::recordSuccess(TimePoint now)
{
    if (m_isOutOfService && now >= m_ejectedUntil) {
        m_isOutOfService = false;
        beginSlowStart(now);
    }
    if (now - m_windowBegin > WindowLength) {
        m_windowBegin = now;
        m_failures = 0;
        m_successes = 0;
    }
    ++m_successes;
    m_consecutiveFailures = 0;
}

bool TargetHealth::recordFailure(TimePoint now)
{
    if (now - m_windowBegin > WindowLength) {
        m_windowBegin = now;
        m_failures = 0;
        m_successes = 0;
    }
    ++m_failures;
    ++m_consecutiveFailures;
    const bool isMostlyFailing = m_failures + m_successes >= MinSamplesToEject && m_failures > m_successes;
    // One failed probe suffices, because the target had already been ejected.
    return !isEjected(now) && (m_isOutOfService || m_consecutiveFailures >= ConsecutiveFailuresToEject || isMostlyFailing);
}

void TargetHealth::eject(TimePoint now)
{
    if (!m_isOutOfService && now - m_ejectedUntil > EjectionHistoryLifetime) {
        m_ejections = 0;
    }
    m_ejectedUntil = now + FirstEjection * (1U << std::min(m_ejections, MaxDoublings));
    m_ejections = static_cast<std::uint8_t>(std::min<unsigned>(m_ejections + 1U, UINT8_MAX));
    m_isOutOfService = true;
    m_windowBegin = now;
    m_failures = 0;
    m_successes = 0;
    m_consecutiveFailures = 0;
}

bool TargetHealth::isEjected(TimePoint now) const
{
    return m_isOutOfService && now < m_ejectedUntil;
}

bool TargetHealth::isProbing(TimePoint now) const
{
    return m_isOutOfService && now >= m_ejectedUntil;
}

double TargetHealth::weight(TimePoint now) const
{
    if (!m_isInSlowStart) {
        return 1;
    }
    const double progress = std::chrono::duration<double>(now - m_slowStartBegin) / std::chrono::duration<double>(SlowStartDuration);
    return std::clamp(progress, MinWeight, 1.0);
}

} // namespace banyankeel

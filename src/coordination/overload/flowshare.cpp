#include "coordination/overload/flowshare.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace banyankeel
{

namespace
{
constexpr Duration MinWindowLength = std::chrono::milliseconds(100);
constexpr Duration MaxWindowLength = std::chrono::milliseconds(200);
constexpr Duration Retention = std::chrono::seconds(2);
constexpr std::uint32_t MinWindowRequests = 8;
constexpr float MinFraction = 0.005F;
/// Growth factors after one, two, ... consecutive windows without a refusal. Fast, because excess requests that reach the queue have not
/// caused any work yet.
constexpr std::array<float, 4> GrowthFactors = {1.5F, 2.0F, 4.0F, 4.0F};
} // namespace

void FlowShare::offered(double rootShare, TimePoint now)
{
    const Duration age = now - m_windowStart;
    if ((age >= MinWindowLength && m_offered >= MinWindowRequests) || age >= MaxWindowLength) {
        closeWindow(now);
    }
    m_rootShareSum += static_cast<float>(rootShare);
    ++m_offered;
}

void FlowShare::admitted()
{
    ++m_admitted;
}

void FlowShare::refused()
{
    ++m_refused;
}

double FlowShare::admittedFraction(TimePoint now) const
{
    return now - m_windowStart > Retention ? 1.0 : static_cast<double>(m_fraction);
}

void FlowShare::closeWindow(TimePoint now)
{
    if (now - m_windowStart > Retention) {
        m_fraction = 1;
        m_windowsWithoutRefusal = 0;
    } else if (m_refused == 0) {
        m_fraction *= GrowthFactors[std::min<std::size_t>(m_windowsWithoutRefusal, GrowthFactors.size() - 1)];
        ++m_windowsWithoutRefusal;
    } else {
        m_windowsWithoutRefusal = 0;
        const float n = static_cast<float>(std::max(m_offered, 1U));
        // For uniformly distributed hashes, the callers' cutoff is twice the mean.
        const float callerCutoff = std::min(1.0F, 2 * m_rootShareSum / n);
        const float found = callerCutoff * std::min(1.0F, static_cast<float>(m_admitted) / n);
        m_fraction = std::sqrt(std::max(found, MinFraction) * m_fraction);
    }
    m_fraction = std::clamp(m_fraction, MinFraction, 1.0F);
    m_windowStart = now;
    m_rootShareSum = 0;
    m_offered = 0;
    m_admitted = 0;
    m_refused = 0;
}

} // namespace banyankeel

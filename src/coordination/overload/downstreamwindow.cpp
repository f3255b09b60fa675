#include "coordination/overload/downstreamwindow.h"

#include <algorithm>

namespace banyankeel
{

namespace
{
/// Load ratio that keeps a downstream service busy with a short queue.
constexpr double DesiredLoadRatio = 1.25;
/// Load ratio for requests that come from other services. Higher, because work has already been done for them: the first hop should
/// shed the excess, and equal limits at consecutive hops would multiply their queues.
constexpr double DesiredInnerLoadRatio = 1.75;
constexpr double InnerFractionGain = 0.02;
/// Added to the window, so that a caller with few requests can grow against one with many.
constexpr double Headroom = 3;
constexpr double SmoothingSeconds = 0.15;
constexpr double MaxGain = 0.2;
constexpr std::uint32_t MinSamples = 10;
/// Estimates are discarded after this time without samples.
constexpr Duration Retention = std::chrono::seconds(5);
} // namespace

double DownstreamWindow::loadRatioOf(const AdmissionHint &hint)
{
    return hint.limit == 0 ? 0.0 : static_cast<double>(hint.load) / hint.limit;
}

void DownstreamWindow::completed(const AdmissionHint &hint, std::size_t running, TimePoint now)
{
    if (now - m_lastSample > Retention) {
        m_samples = 0;
    }
    const double elapsed = std::chrono::duration<double>(now - m_lastSample).count();
    const double gain = m_samples < MinSamples ? 1.0 / (m_samples + 1) : std::clamp(elapsed / SmoothingSeconds, 0.0, MaxGain);
    m_running += gain * (static_cast<double>(running) - m_running);
    m_loadRatio += gain * (loadRatioOf(hint) - m_loadRatio);
    m_samples = std::min(m_samples + 1, MinSamples);
    m_lastSample = now;
}

void DownstreamWindow::offered(std::uint8_t depth)
{
    m_innerFraction += InnerFractionGain * ((depth > 0 ? 1.0 : 0.0) - m_innerFraction);
}

std::uint32_t DownstreamWindow::value(std::uint32_t limit, TimePoint now) const
{
    if (m_samples < MinSamples || m_loadRatio <= 0 || now - m_lastSample > Retention) {
        return limit;
    }
    const double desiredRatio = DesiredLoadRatio + m_innerFraction * (DesiredInnerLoadRatio - DesiredLoadRatio);
    const double window = m_running * desiredRatio / m_loadRatio + Headroom;
    return static_cast<std::uint32_t>(std::min<double>(window, limit));
}

} // namespace banyankeel

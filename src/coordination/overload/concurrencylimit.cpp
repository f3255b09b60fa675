#include "coordination/overload/concurrencylimit.h"

#include "state/errors.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace banyankeel
{

namespace
{
/// Minimum duration of a latency window. The window closes once it also has enough samples.
constexpr Duration MinWindowLength = std::chrono::milliseconds(100);
constexpr std::uint32_t MaxRequiredSamples = 20;
constexpr std::uint32_t MinSamples = 3;
/// Ratio of current to unloaded latency below which the limit grows and above which it shrinks.
constexpr double GrowBelowRatio = 1.2;
constexpr double ShrinkAboveRatio = 1.6;
constexpr double GrowthFraction = 0.05;
/// Growth per window while the limit is below the announced slots.
constexpr double FastGrowthFraction = 0.25;
constexpr double MinGradientFactor = 0.7;
constexpr double AimdDecreaseFactor = 0.9;
constexpr double OverloadDecreaseFactor = 0.9;
constexpr double ColdStartFraction = 0.25;
/// The known good concurrency decays by this factor per window.
constexpr double KnownGoodDecay = 0.9995;
/// Factor above the known good concurrency that is still assumed to be good.
constexpr double KnownGoodHeadroom = 1.25;
constexpr double BaselineGain = 0.2;
constexpr double BaselineGainDown = 0.5;
/// Fraction of the limit up to which the measured latency counts as that of the unloaded target.
constexpr double UnloadedFraction = 0.5;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void requireAtLeast(double value, double minimum, const char *field)
{
    if (value < minimum) {
        throw SettingsError(std::string("admission: field ") + field + " is " + std::to_string(value) + ", at least " + std::to_string(minimum) + " required");
    }
}
} // namespace

void checkSettings(const AdmissionSettings &settings)
{
    requireAtLeast(settings.announcedSlots, 1, "announcedSlots");
    requireAtLeast(settings.connections, 1, "connections");
    requireAtLeast(settings.minLimit, 1, "minLimit");
    requireAtLeast(settings.queuePerSlot, 0, "queuePerSlot");
    requireAtLeast(settings.minQueueLength, 1, "minQueueLength");
    requireAtLeast(settings.maxQueueLength, settings.minQueueLength, "maxQueueLength");
    requireAtLeast(settings.maxFlows, 1, "maxFlows");
    requireAtLeast(seconds(settings.queueDelay), 0, "queueDelay");
}

ConcurrencyLimit::ConcurrencyLimit(const AdmissionSettings &settings, TimePoint now)
    : m_rule(settings.limitRule)
    , m_minLimit(settings.minLimit)
    , m_maxLimit(settings.connections)
    , m_announcedSlots(std::min(settings.announcedSlots, settings.connections))
    , m_limit(m_announcedSlots)
    , m_isCold(settings.isCold)
    , m_window{now}
{
    checkSettings(settings);
    if (m_isCold) {
        restart(now);
    }
}

std::uint32_t ConcurrencyLimit::value() const
{
    return static_cast<std::uint32_t>(m_limit);
}

void ConcurrencyLimit::restart(TimePoint now)
{
    m_isCold = m_rule != LimitRule::Fixed;
    m_limit = m_isCold ? std::ceil(m_announcedSlots * ColdStartFraction) : m_announcedSlots;
    m_window = {now};
    // The baseline of a cold target must not come from its warm latency.
    m_baseline = 0;
    clamp();
}

void ConcurrencyLimit::completed(const Completion &completion, std::size_t running, bool isWaiting, TimePoint now)
{
    m_window.maxRunning = std::max(m_window.maxRunning, static_cast<std::uint32_t>(running));
    m_window.wasSaturated = m_window.wasSaturated || isWaiting || running >= value();
    if (completion.kind == CompletionKind::TargetOverloaded) {
        ++m_window.overloaded;
    } else if (completion.kind == CompletionKind::Succeeded || completion.kind == CompletionKind::TimedOut) {
        // Time spent waiting for downstream services holds a slot but does not reflect this target's own load.
        m_window.sumOwnSeconds += std::max(0.0, seconds(completion.serviceTime - completion.downstreamTime));
        m_window.sumTotalSeconds += seconds(completion.serviceTime);
        ++m_window.count;
    }
    const bool isLongEnough = now - m_window.begin >= MinWindowLength;
    // With a low limit few requests run; requiring many samples would slow down its recovery.
    const double requiredSamples = std::clamp<double>(m_limit, MinSamples, MaxRequiredSamples);
    if (isLongEnough && m_window.count + m_window.overloaded >= requiredSamples) {
        closeWindow(now);
    }
}

void ConcurrencyLimit::closeWindow(TimePoint now)
{
    const Window window = m_window;
    m_window = {now};
    if (m_rule == LimitRule::Fixed) {
        return;
    }
    if (window.overloaded > 0) {
        m_isCold = false;
        m_limit *= OverloadDecreaseFactor;
        clamp();
        return;
    }
    const Sample sample{window.sumOwnSeconds / window.count, window.sumTotalSeconds / window.count};
    // At higher concurrency requests may queue inside the target even though the limit is not reached.
    const bool isUnloaded = window.maxRunning <= m_limit * UnloadedFraction;
    if (m_baseline == 0 || isUnloaded || sample.own < m_baseline) {
        updateBaseline(sample.own);
    }
    const double latencyRatio = latencyRatioOf(sample);
    m_knownGood *= KnownGoodDecay;
    if (latencyRatio < GrowBelowRatio) {
        m_knownGood = std::max<double>(m_knownGood, window.maxRunning);
    }
    if (m_isCold) {
        rampUp(latencyRatio);
    } else if (latencyRatio > ShrinkAboveRatio && !isUnloaded) {
        shrink(sample, window.maxRunning);
    } else if (latencyRatio < GrowBelowRatio && window.wasSaturated) {
        grow();
    }
    clamp();
}

double ConcurrencyLimit::latencyRatioOf(const Sample &sample) const
{
    // For a target that mostly waits for downstream calls, large changes of its own latency hardly affect the total.
    const double unloaded = sample.total - sample.own + m_baseline;
    return unloaded > 0 ? sample.total / unloaded : 1;
}

void ConcurrencyLimit::updateBaseline(double latency)
{
    const double gain = latency < m_baseline ? BaselineGainDown : BaselineGain;
    m_baseline = m_baseline == 0 ? latency : m_baseline + gain * (latency - m_baseline);
}

void ConcurrencyLimit::rampUp(double latencyRatio)
{
    // A cold target becomes faster as it warms up, so the limit doubles while latency does not rise.
    m_limit *= latencyRatio <= ShrinkAboveRatio ? 2.0 : 1.0;
    if (m_limit >= m_announcedSlots) {
        m_limit = m_announcedSlots;
        m_isCold = false;
    }
}

void ConcurrencyLimit::shrink(const Sample &sample, std::uint32_t maxRunning)
{
    if (m_rule == LimitRule::Aimd) {
        m_limit *= AimdDecreaseFactor;
        return;
    }
    if (m_rule == LimitRule::Gradient) {
        m_limit *= std::clamp(GrowBelowRatio / latencyRatioOf(sample), MinGradientFactor, 1.0);
        return;
    }
    const double knownGoodLimit = m_knownGood * KnownGoodHeadroom;
    if (maxRunning > knownGoodLimit) {
        // The concurrency exceeded the known good one, so requests may be queueing inside the target.
        m_limit = std::min(m_limit, knownGoodLimit);
    } else {
        // This concurrency was good before, so the target itself has become slower, and a lower limit would only cost throughput.
        m_baseline = sample.own;
    }
}

void ConcurrencyLimit::grow()
{
    m_limit += std::max(1.0, m_limit * (m_limit < m_announcedSlots ? FastGrowthFraction : GrowthFraction));
}

void ConcurrencyLimit::clamp()
{
    m_limit = std::clamp(m_limit, m_minLimit, std::max(m_minLimit, m_maxLimit));
}

} // namespace banyankeel

#include "coordination/overload/concurrencylimit.h"

#include "state/errors.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace banyankeel
{

namespace
{
/// A window of latencies is long enough to be judged after this time, if it has the samples.
constexpr Duration WindowLength = std::chrono::milliseconds(100);
constexpr std::uint32_t WindowSamples = 20;
constexpr std::uint32_t FewestSamples = 3;
/// Latency, as a multiple of the unloaded one, up to which the limit grows and from which it shrinks.
constexpr double GrowBelow = 1.2;
constexpr double ShrinkAbove = 1.6;
constexpr double GrowthShare = 0.05;
/// Below the announced slots.
constexpr double FastGrowthShare = 0.25;
constexpr double SmallestCut = 0.7;
constexpr double AimdCut = 0.9;
constexpr double OverloadedCut = 0.9;
constexpr double ColdShare = 0.25;
/// How many ran well is forgotten by this factor in each window.
constexpr double ProvenDecay = 0.9995;
/// Multiple of what ran well that is taken to run well, too.
constexpr double ProvenSlack = 1.25;
constexpr double BaselineGain = 0.2;
constexpr double BaselineGainDown = 0.5;
/// Of the limit; a target with fewer requests shows its unloaded latency.
constexpr double UnloadedShare = 0.5;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void requireAbove(double found, double lowest, const char *field)
{
    if (found < lowest) {
        throw SettingsError(std::string("admission: field ") + field + ": " + std::to_string(found) + " found, at least " + std::to_string(lowest)
                            + " allowed");
    }
}
} // namespace

void checkSettings(const AdmissionSettings &settings)
{
    requireAbove(settings.announcedSlots, 1, "announcedSlots");
    requireAbove(settings.connections, 1, "connections");
    requireAbove(settings.lowestLimit, 1, "lowestLimit");
    requireAbove(settings.queuePerSlot, 0, "queuePerSlot");
    requireAbove(settings.shortestQueue, 1, "shortestQueue");
    requireAbove(settings.longestQueue, settings.shortestQueue, "longestQueue");
    requireAbove(settings.highestFlows, 1, "highestFlows");
    requireAbove(seconds(settings.queueDelay), 0, "queueDelay");
}

ConcurrencyLimit::ConcurrencyLimit(const AdmissionSettings &settings, TimePoint now)
    : m_rule(settings.limitRule)
    , m_lowest(settings.lowestLimit)
    , m_highest(settings.connections)
    , m_announced(std::min(settings.announcedSlots, settings.connections))
    , m_limit(m_announced)
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
    m_limit = m_isCold ? std::ceil(m_announced * ColdShare) : m_announced;
    m_window = {now};
    // A cold target is measured against itself and not against its warm time.
    m_baseline = 0;
    clamp();
}

void ConcurrencyLimit::completed(const Completion &completion, std::size_t running, bool isWaiting, TimePoint now)
{
    m_window.mostRunning = std::max(m_window.mostRunning, static_cast<std::uint32_t>(running));
    m_window.wasSaturated = m_window.wasSaturated || isWaiting || running >= value();
    if (completion.kind == CompletionKind::TargetOverloaded) {
        ++m_window.overloaded;
    } else if (completion.kind == CompletionKind::Succeeded || completion.kind == CompletionKind::TimedOut) {
        // Waiting for other services takes a slot but tells nothing of this target's own load.
        m_window.sumOwn += std::max(0.0, seconds(completion.serviceTime - completion.downstreamTime));
        m_window.sumTotal += seconds(completion.serviceTime);
        ++m_window.count;
    }
    const bool isLong = now - m_window.begin >= WindowLength;
    // With a low limit few requests run, and waiting for many samples would keep it low.
    const double needed = std::clamp<double>(m_limit, FewestSamples, WindowSamples);
    if (isLong && m_window.count + m_window.overloaded >= needed) {
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
        m_limit *= OverloadedCut;
        clamp();
        return;
    }
    const Sample sample{window.sumOwn / window.count, window.sumTotal / window.count};
    // With many running, requests may wait inside the target without the limit being reached.
    const bool isUnloaded = window.mostRunning <= m_limit * UnloadedShare;
    if (m_baseline == 0 || isUnloaded || sample.own < m_baseline) {
        learnBaseline(sample.own);
    }
    const double slowness = slownessOf(sample);
    m_proven *= ProvenDecay;
    if (slowness < GrowBelow) {
        m_proven = std::max<double>(m_proven, window.mostRunning);
    }
    if (m_isCold) {
        stepCold(slowness);
    } else if (slowness > ShrinkAbove && !isUnloaded) {
        shrink(sample, window.mostRunning);
    } else if (slowness < GrowBelow && window.wasSaturated) {
        grow();
    }
    clamp();
}

double ConcurrencyLimit::slownessOf(const Sample &sample) const
{
    // Of a target that mostly waits for others, the own part may vary by much and still matter little.
    const double unloaded = sample.total - sample.own + m_baseline;
    return unloaded > 0 ? sample.total / unloaded : 1;
}

void ConcurrencyLimit::learnBaseline(double latency)
{
    const double gain = latency < m_baseline ? BaselineGainDown : BaselineGain;
    m_baseline = m_baseline == 0 ? latency : m_baseline + gain * (latency - m_baseline);
}

void ConcurrencyLimit::stepCold(double slowness)
{
    // A cold target gets faster as it warms, so the doubling goes on while latency does not rise.
    m_limit *= slowness <= ShrinkAbove ? 2.0 : 1.0;
    if (m_limit >= m_announced) {
        m_limit = m_announced;
        m_isCold = false;
    }
}

void ConcurrencyLimit::shrink(const Sample &sample, std::uint32_t mostRunning)
{
    if (m_rule == LimitRule::Aimd) {
        m_limit *= AimdCut;
        return;
    }
    if (m_rule == LimitRule::Gradient) {
        m_limit *= std::clamp(GrowBelow / slownessOf(sample), SmallestCut, 1.0);
        return;
    }
    const double known = m_proven * ProvenSlack;
    if (mostRunning > known) {
        // More ran than was ever seen to run well, so requests may wait inside the target.
        m_limit = std::min(m_limit, known);
    } else {
        // As many ran well before: the target is slow by itself, and a lower limit would only lose throughput.
        m_baseline = sample.own;
    }
}

void ConcurrencyLimit::grow()
{
    m_limit += std::max(1.0, m_limit * (m_limit < m_announced ? FastGrowthShare : GrowthShare));
}

void ConcurrencyLimit::clamp()
{
    m_limit = std::clamp(m_limit, m_lowest, std::max(m_lowest, m_highest));
}

} // namespace banyankeel

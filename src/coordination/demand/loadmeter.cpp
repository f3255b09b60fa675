#include "coordination/demand/loadmeter.h"

#include <cmath>
#include <utility>

namespace banyankeel
{

namespace
{
/// Time constant of rates; equal to the interval between reports.
constexpr Duration RateTimeConstant = std::chrono::seconds(1);
/// Short, because targets start and stop rejecting abruptly, but long enough for about a hundred calls of a busy node.
constexpr Duration RejectedTimeConstant = std::chrono::milliseconds(500);
/// Longer than that of rates, so that run times also include enough requests where there are few.
constexpr Duration RunTimeConstant = std::chrono::seconds(3);
constexpr Duration LoadTimeConstant = std::chrono::milliseconds(500);
/// Change of the rejected fraction since the last report that makes the next one urgent.
constexpr double UrgentRejectedDelta = 0.2;
/// Minimum number of arrivals for an estimate of the rejected fraction.
constexpr double MinArrivals = 10;
/// Kinds and services with a lower rate per second are left out of reports.
constexpr double MinReportedRate = 0.05;
} // namespace

LoadMeter::LoadMeter(ServiceName service)
    : m_service(std::move(service))
    , m_loadSum(LoadTimeConstant)
    , m_loadSamples(LoadTimeConstant)
{
}

void LoadMeter::rootOffered(const RootClass &rootClass, TimePoint now)
{
    m_roots.try_emplace(rootClass, RateTimeConstant).first->second.add(1, now);
}

void LoadMeter::runBegan(RequestKind kind, TimePoint now)
{
    m_callEstimator.runBegan(kind, now);
}

void LoadMeter::runEnded(RequestKind kind, Duration time, bool isComplete, TimePoint now)
{
    m_callEstimator.runEnded(kind, now);
    if (!isComplete) {
        return;
    }
    Runs &runs = m_runs.try_emplace(kind, Runs{DecayedCount(RunTimeConstant), DecayedCount(RunTimeConstant)}).first->second;
    runs.ended.add(1, now);
    runs.seconds.add(std::chrono::duration<double>(time).count(), now);
}

void LoadMeter::called(RequestKind kind, std::optional<RequestKind> parent, const ServiceName &service, TimePoint now)
{
    m_callEstimator.called(kind, parent, now);
    m_calls.try_emplace(service, Calls{DecayedCount(RateTimeConstant), DecayedCount(RejectedTimeConstant), DecayedCount(RejectedTimeConstant)})
        .first->second.made.add(1, now);
}

void LoadMeter::callArrived(const ServiceName &service, bool isRejected, TimePoint now)
{
    const auto found = m_calls.find(service);
    if (found != m_calls.end()) {
        found->second.arrived.add(1, now);
        found->second.rejected.add(isRejected ? 1 : 0, now);
    }
}

void LoadMeter::recordLoad(std::size_t load, TimePoint now)
{
    m_loadSum.add(static_cast<double>(load), now);
    m_loadSamples.add(1, now);
}

double LoadMeter::rejectedShare(const Calls &calls, TimePoint now)
{
    const double arrived = calls.arrived.sum(now);
    return arrived >= MinArrivals ? calls.rejected.sum(now) / arrived : 0;
}

LoadReport LoadMeter::report(std::uint32_t slots, const std::function<double(const ServiceName &)> &repeatsLeft, TimePoint now) const
{
    const double samples = m_loadSamples.sum(now);
    LoadReport report{m_service, slots, samples > 0 ? m_loadSum.sum(now) / samples : 0, {}, m_callEstimator.estimates(now), {}, {}};
    for (const auto &[rootClass, count] : m_roots) {
        if (const double perSecond = count.perSecond(now); perSecond >= MinReportedRate) {
            report.roots.push_back({rootClass.kind, rootClass.priority, perSecond});
        }
    }
    for (const auto &[kind, runs] : m_runs) {
        if (const double perSecond = runs.ended.perSecond(now); perSecond >= MinReportedRate) {
            report.runs.push_back({kind, perSecond, runs.seconds.sum(now) / runs.ended.sum(now)});
        }
    }
    for (const auto &[service, calls] : m_calls) {
        if (const double perSecond = calls.made.perSecond(now); perSecond >= MinReportedRate) {
            report.services.push_back({service, perSecond, rejectedShare(calls, now), repeatsLeft(service)});
        }
    }
    return report;
}

bool LoadMeter::isReportUrgent(const LoadReport &last, TimePoint now) const
{
    for (const auto &[service, calls] : m_calls) {
        double lastReported = 0;
        for (const CallsToService &it : last.services) {
            lastReported = it.service == service ? it.rejectedShare : lastReported;
        }
        if (std::abs(rejectedShare(calls, now) - lastReported) >= UrgentRejectedDelta) {
            return true;
        }
    }
    return false;
}

} // namespace banyankeel

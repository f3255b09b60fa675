#include "coordination/demand/loadmeter.h"

#include <cmath>
#include <utility>

namespace banyankeel
{

namespace
{
/// Rates are told as of about this time: as long as reports are apart.
constexpr Duration RateMemory = std::chrono::seconds(1);
/// Targets begin and cease to reject at once; this is long enough for a hundred calls of a busy node.
constexpr Duration RejectedMemory = std::chrono::milliseconds(500);
/// Times of runs are told as of the last requests, also where there are few.
constexpr Duration RunMemory = std::chrono::seconds(3);
constexpr Duration LoadMemory = std::chrono::milliseconds(500);
/// Of the last report; another rejected share than that should be known soon.
constexpr double UrgentRejectedChange = 0.2;
/// Fewer arrivals tell nothing of the share that is rejected.
constexpr double FewestArrivals = 10;
/// A kind that comes less often than this, per second, is left out of reports.
constexpr double LowestRate = 0.05;
} // namespace

LoadMeter::LoadMeter(ServiceName service)
    : m_service(std::move(service))
    , m_loadSum(LoadMemory)
    , m_loadSamples(LoadMemory)
{
}

void LoadMeter::rootOffered(const RootClass &rootClass, TimePoint now)
{
    m_roots.try_emplace(rootClass, RateMemory).first->second.add(1, now);
}

void LoadMeter::runBegan(RequestKind kind, TimePoint now)
{
    m_learner.runBegan(kind, now);
}

void LoadMeter::runEnded(RequestKind kind, Duration time, bool isWhole, TimePoint now)
{
    m_learner.runEnded(kind, now);
    if (!isWhole) {
        return;
    }
    Runs &runs = m_runs.try_emplace(kind, Runs{DecayedCount(RunMemory), DecayedCount(RunMemory)}).first->second;
    runs.ended.add(1, now);
    runs.seconds.add(std::chrono::duration<double>(time).count(), now);
}

void LoadMeter::called(RequestKind kind, std::optional<RequestKind> parent, const ServiceName &service, TimePoint now)
{
    m_learner.called(kind, parent, now);
    m_calls.try_emplace(service, Calls{DecayedCount(RateMemory), DecayedCount(RejectedMemory), DecayedCount(RejectedMemory)}).first->second.made.add(1, now);
}

void LoadMeter::callArrived(const ServiceName &service, bool isRejected, TimePoint now)
{
    const auto found = m_calls.find(service);
    if (found != m_calls.end()) {
        found->second.arrived.add(1, now);
        found->second.rejected.add(isRejected ? 1 : 0, now);
    }
}

void LoadMeter::noteLoad(std::size_t load, TimePoint now)
{
    m_loadSum.add(static_cast<double>(load), now);
    m_loadSamples.add(1, now);
}

double LoadMeter::rejectedShare(const Calls &calls, TimePoint now)
{
    const double arrived = calls.arrived.sum(now);
    return arrived >= FewestArrivals ? calls.rejected.sum(now) / arrived : 0;
}

LoadReport LoadMeter::report(std::uint32_t slots, const std::function<double(const ServiceName &)> &repeatsLeft, TimePoint now) const
{
    const double samples = m_loadSamples.sum(now);
    LoadReport report{m_service, slots, samples > 0 ? m_loadSum.sum(now) / samples : 0, {}, m_learner.learnt(now), {}, {}};
    for (const auto &[rootClass, count] : m_roots) {
        if (const double perSecond = count.perSecond(now); perSecond >= LowestRate) {
            report.roots.push_back({rootClass.kind, rootClass.priority, perSecond});
        }
    }
    for (const auto &[kind, runs] : m_runs) {
        if (const double perSecond = runs.ended.perSecond(now); perSecond >= LowestRate) {
            report.runs.push_back({kind, perSecond, runs.seconds.sum(now) / runs.ended.sum(now)});
        }
    }
    for (const auto &[service, calls] : m_calls) {
        if (const double perSecond = calls.made.perSecond(now); perSecond >= LowestRate) {
            report.services.push_back({service, perSecond, rejectedShare(calls, now), repeatsLeft(service)});
        }
    }
    return report;
}

bool LoadMeter::isReportUrgent(const LoadReport &last, TimePoint now) const
{
    for (const auto &[service, calls] : m_calls) {
        double told = 0;
        for (const CallsToService &it : last.services) {
            told = it.service == service ? it.rejectedShare : told;
        }
        if (std::abs(rejectedShare(calls, now) - told) >= UrgentRejectedChange) {
            return true;
        }
    }
    return false;
}

} // namespace banyankeel

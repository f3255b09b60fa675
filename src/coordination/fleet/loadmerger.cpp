#include "coordination/fleet/loadmerger.h"

#include <algorithm>
#include <utility>

namespace banyankeel
{

namespace
{
/// Divides, but returns zero without a weight.
double meanOf(double weighted, double weight)
{
    return weight > 0 ? weighted / weight : 0;
}
} // namespace

LoadReport mergeLoads(std::span<const LoadReport *const> reports)
{
    LoadReport merged{reports.front()->service, 0, 0, {}, {}, {}, {}};
    std::map<std::pair<RequestKind, PriorityLevel>, double> roots;
    std::map<std::pair<RequestKind, RequestKind>, CallsPerRun> calls;
    std::map<RequestKind, RunTime> runs;
    std::map<ServiceName, CallsToService> services;
    for (const LoadReport *report : reports) {
        merged.slots += report->slots;
        // The load of a target that takes no requests is no use of the others' slots.
        merged.load += report->slots > 0 ? report->load : 0;
        for (const OfferedRoots &it : report->roots) {
            roots[{it.kind, it.priority}] += it.perSecond;
        }
        for (const CallsPerRun &it : report->calls) {
            CallsPerRun &sum = calls.try_emplace({it.parent, it.child}, CallsPerRun{it.parent, it.child, 0, 0}).first->second;
            sum.calls += it.calls * it.runs;
            sum.runs += it.runs;
        }
        for (const RunTime &it : report->runs) {
            RunTime &sum = runs.try_emplace(it.kind, RunTime{it.kind, 0, 0}).first->second;
            sum.perSecond += it.perSecond;
            sum.seconds += it.seconds * it.perSecond;
        }
        for (const CallsToService &it : report->services) {
            CallsToService &sum = services.try_emplace(it.service, CallsToService{it.service, 0, 0, 0}).first->second;
            sum.perSecond += it.perSecond;
            sum.rejectedShare += it.rejectedShare * it.perSecond;
            sum.repeatsLeft += it.repeatsLeft;
        }
    }
    for (const auto &[key, perSecond] : roots) {
        merged.roots.push_back({key.first, key.second, perSecond});
    }
    for (auto &[key, sum] : calls) {
        merged.calls.push_back({sum.parent, sum.child, meanOf(sum.calls, sum.runs), sum.runs});
    }
    for (auto &[kind, sum] : runs) {
        merged.runs.push_back({kind, sum.perSecond, meanOf(sum.seconds, sum.perSecond)});
    }
    for (auto &[service, sum] : services) {
        merged.services.push_back({service, sum.perSecond, meanOf(sum.rejectedShare, sum.perSecond), sum.repeatsLeft});
    }
    return merged;
}

LoadMerger::LoadMerger(Duration freshness)
    : m_freshness(freshness)
{
}

void LoadMerger::record(const NodeId &node, LoadReport report, TimePoint now)
{
    m_received.insert_or_assign(node, Received{std::move(report), now});
}

void LoadMerger::remove(const NodeId &node)
{
    m_received.erase(node);
}

std::vector<LoadReport> LoadMerger::merged(TimePoint now)
{
    std::erase_if(m_received, [&](const auto &it) { return now - it.second.at > m_freshness; });
    std::map<ServiceName, std::vector<const LoadReport *>> byService;
    for (const auto &[node, it] : m_received) {
        byService[it.report.service].push_back(&it.report);
    }
    std::vector<LoadReport> found;
    found.reserve(byService.size());
    for (const auto &[service, reports] : byService) {
        found.push_back(mergeLoads(reports));
    }
    return found;
}

} // namespace banyankeel

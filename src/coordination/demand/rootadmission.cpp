#include "coordination/demand/rootadmission.h"

#include "coordination/common/roothash.h"

#include <algorithm>
#include <span>
#include <utility>

namespace banyankeel
{

namespace
{
/// Maximum length of a call chain.
constexpr int MaxChainLength = 11;
/// Fraction of the slots that admitted requests may use. The rest is headroom for unevenly loaded targets and for estimation errors.
constexpr double UsableSlotFraction = 0.95;
/// A service is short of slots only if at least this fraction of them is in use. Below, cost estimates may be wrong and nothing is refused.
constexpr double BusyThreshold = 0.85;
/// A service is short of retries only if its targets reject at least this fraction of the calls.
constexpr double RejectingThreshold = 0.15;
/// Available retries are spread over this time, because targets keep rejecting for seconds.
constexpr double RetrySpendSeconds = 4;
/// Lower bound of an admitted fraction, so that no class is shut out while a service is short of slots.
constexpr double MinAdmittedFraction = 0.05;

/// Lower bound of the remaining capacity in divisions, so that the cost is defined when nothing is left.
constexpr double MinRemaining = 1e-9;

/// What one request uses of a service, including its downstream calls.
struct Usage {
    double slotSeconds = 0;
    double calls = 0;
};

/// A scarce resource: the slots of a service, or the retries to it.
struct Shortage {
    ServiceName service;
    bool isOfRetries;
    double remaining;
};

using Visits = std::map<RequestKind, double>;

Visits visitsOf(const FleetLoad &load, RequestKind root)
{
    Visits all;
    Visits level{{root, 1.0}};
    for (int depth = 0; depth < MaxChainLength && !level.empty(); ++depth) {
        Visits below;
        for (const auto &[kind, visits] : level) {
            all[kind] += visits;
            const auto calls = load.calls.find(kind);
            if (calls == load.calls.end()) {
                continue;
            }
            for (const auto &[child, perRun] : calls->second) {
                below[child] += visits * perRun;
            }
        }
        level = std::move(below);
    }
    return all;
}

std::map<ServiceName, Usage> usageByService(const FleetLoad &load, RequestKind root)
{
    std::map<ServiceName, Usage> usage;
    for (const auto &[kind, visits] : visitsOf(load, root)) {
        const auto services = load.services.find(kind);
        if (services == load.services.end()) {
            continue;
        }
        const auto seconds = load.runSeconds.find(kind);
        for (const auto &[service, share] : services->second) {
            usage[service].slotSeconds += visits * share * (seconds == load.runSeconds.end() ? 0 : seconds->second);
            // Calls of the root itself do not count: a rejected root has cost nothing, a rejected call wastes all upstream work.
            usage[service].calls += kind == root ? 0 : visits * share;
        }
    }
    return usage;
}

std::vector<Shortage> findSlotShortages(const FleetLoad &load)
{
    std::vector<Shortage> found;
    for (const auto &[service, serviceLoad] : load.serviceLoads) {
        if (serviceLoad.slots > 0 && serviceLoad.load >= serviceLoad.slots * BusyThreshold) {
            found.push_back({service, false, serviceLoad.slots * UsableSlotFraction});
        }
    }
    return found;
}

std::vector<Shortage> findRetryShortages(const FleetLoad &load, double retryRatio)
{
    std::vector<Shortage> found;
    for (const auto &[service, serviceLoad] : load.serviceLoads) {
        if (serviceLoad.rejectedShare >= RejectingThreshold) {
            found.push_back({service, true, serviceLoad.repeatsLeft / RetrySpendSeconds + retryRatio * serviceLoad.callsPerSecond});
        }
    }
    return found;
}

/// How much one request uses of the scarce resource.
double usagePerRequest(const FleetLoad &load, const Shortage &shortage, const std::map<ServiceName, Usage> &usage)
{
    const auto found = usage.find(shortage.service);
    if (found == usage.end()) {
        return 0;
    }
    if (!shortage.isOfRetries) {
        return found->second.slotSeconds;
    }
    constexpr double MaxRejectedFraction = 0.95;
    const double rejected = std::min(load.serviceLoads.at(shortage.service).rejectedShare, MaxRejectedFraction);
    // Expected number of retries if each call is sent until it is accepted.
    return found->second.calls * rejected / (1 - rejected);
}

/// A class that needs a scarce resource.
struct Contender {
    RootClass rootClass;
    double perSecond;
    /// Usage per request, by index of the shortage.
    std::vector<double> usagePerShortage;
    /// Upper bound set by the classes of higher priorities.
    double maxFraction = 1;
    double fraction = 0;

    [[nodiscard]] double cost(const std::vector<Shortage> &shortages) const
    {
        double highest = 0;
        for (std::size_t i = 0; i < usagePerShortage.size(); ++i) {
            highest = std::max(highest, usagePerShortage[i] / std::max(shortages[i].remaining, MinRemaining));
        }
        return highest;
    }
};

using Contenders = std::vector<Contender>;

Contenders findContenders(const FleetLoad &load, const std::vector<Shortage> &shortages)
{
    // Sorted by priority, as the classes are.
    Contenders contenders;
    for (const auto &[rootClass, perSecond] : load.offeredPerSecond) {
        const std::map<ServiceName, Usage> usage = usageByService(load, rootClass.kind);
        Contender contender{rootClass, perSecond, {}};
        for (const Shortage &it : shortages) {
            contender.usagePerShortage.push_back(usagePerRequest(load, it, usage));
        }
        if (std::ranges::any_of(contender.usagePerShortage, [](double it) { return it > 0; })) {
            contenders.push_back(std::move(contender));
        }
    }
    return contenders;
}

/// Sets each fraction so that an offered request uses, on average, @p share of the remaining capacity, up to the class's upper bound.
void setFractions(std::span<Contender> contenders, const std::vector<Shortage> &shortages, double share)
{
    for (Contender &it : contenders) {
        it.fraction = std::min(it.maxFraction, share / std::max(it.cost(shortages), MinRemaining));
    }
}

bool fitsWithin(std::span<const Contender> contenders, const std::vector<Shortage> &shortages)
{
    for (std::size_t i = 0; i < shortages.size(); ++i) {
        double used = 0;
        for (const Contender &it : contenders) {
            used += it.fraction * it.perSecond * it.usagePerShortage[i];
        }
        if (used > shortages[i].remaining) {
            return false;
        }
    }
    return true;
}

/// Allocates the remaining capacity to the classes of one priority. Each offered request counts the same: if a request costs four times as
/// much as another, a quarter as large a fraction of its class is admitted. So no class is shut out, and classes of similar cost get similar
/// fractions at every recomputation.
void allocateWithinPriority(std::span<Contender> contenders, const std::vector<Shortage> &shortages)
{
    double highest = 0;
    for (const Contender &it : contenders) {
        highest = std::max(highest, it.cost(shortages));
    }
    setFractions(contenders, shortages, highest);
    if (fitsWithin(contenders, shortages)) {
        return;
    }
    // The fractions grow monotonically with the share, so bisection finds the largest one that fits.
    constexpr int BisectionSteps = 30;
    double low = 0;
    double high = highest;
    for (int n = 0; n < BisectionSteps; ++n) {
        const double middle = (low + high) / 2;
        setFractions(contenders, shortages, middle);
        (fitsWithin(contenders, shortages) ? low : high) = middle;
    }
    setFractions(contenders, shortages, low);
}

RootFractions allocate(const FleetLoad &load, std::vector<Shortage> shortages, double minFraction)
{
    if (shortages.empty()) {
        return {};
    }
    RootFractions fractions;
    Contenders contenders = findContenders(load, shortages);
    // By shortage: the smallest fraction of a class of a higher priority.
    std::vector<double> maxFractions(shortages.size(), 1);
    for (auto begin = contenders.begin(); begin != contenders.end();) {
        const PriorityLevel priority = begin->rootClass.priority;
        const auto end = std::find_if(begin, contenders.end(), [priority](const Contender &it) { return it.rootClass.priority != priority; });
        const std::span<Contender> level(begin, end);
        for (Contender &it : level) {
            for (std::size_t i = 0; i < shortages.size(); ++i) {
                it.maxFraction = it.usagePerShortage[i] > 0 ? std::min(it.maxFraction, maxFractions[i]) : it.maxFraction;
            }
        }
        allocateWithinPriority(level, shortages);
        for (Contender &it : level) {
            it.fraction = std::max(it.fraction, minFraction);
            for (std::size_t i = 0; i < shortages.size(); ++i) {
                shortages[i].remaining = std::max(0.0, shortages[i].remaining - it.fraction * it.perSecond * it.usagePerShortage[i]);
                maxFractions[i] = it.usagePerShortage[i] > 0 ? std::min(maxFractions[i], it.fraction) : maxFractions[i];
            }
            if (it.fraction < 1) {
                fractions[it.rootClass] = it.fraction;
            }
        }
        begin = end;
    }
    return fractions;
}

double fractionOf(const RootFractions &fractions, const RootClass &rootClass)
{
    const auto found = fractions.find(rootClass);
    return found == fractions.end() ? 1 : found->second;
}
} // namespace

RootFractions admittedFractions(const FleetLoad &load)
{
    return allocate(load, findSlotShortages(load), MinAdmittedFraction);
}

RootFractions retriedFractions(const FleetLoad &load, double retryRatio)
{
    return allocate(load, findRetryShortages(load, retryRatio), 0);
}

RootAdmission::RootAdmission(const RootAdmissionSettings &settings)
    : m_settings(settings)
{
}

void RootAdmission::configure(const MeshObjects &objects)
{
    m_services.clear();
    for (const MeshRoute &it : objects.routes) {
        double sum = 0;
        for (const WeightedService &weighted : it.services) {
            sum += weighted.weight;
        }
        for (const WeightedService &weighted : it.services) {
            m_services[requestKindOf(it.name)].emplace_back(weighted.service, sum > 0 ? weighted.weight / sum : 0);
        }
    }
    m_updatedAt = {};
}

void RootAdmission::noteReport(const NodeId &node, LoadReport report, TimePoint now)
{
    m_reports.insert_or_assign(node, ReceivedReport{std::move(report), now});
}

void RootAdmission::noteRegionLoad(const RegionName &region, LoadReport load, TimePoint now)
{
    const ReportSource source = std::pair(region, load.service);
    m_reports.insert_or_assign(source, ReceivedReport{std::move(load), now});
}

void RootAdmission::removeReport(const NodeId &node)
{
    m_reports.erase(node);
}

FleetLoad RootAdmission::fleetLoad() const
{
    FleetLoad load;
    load.services = m_services;
    std::map<std::pair<RequestKind, RequestKind>, double> callRuns;
    std::map<RequestKind, double> runs;
    std::map<ServiceName, double> rejected;
    for (const auto &[node, received] : m_reports) {
        const LoadReport &report = received.report;
        for (const OfferedRoots &it : report.roots) {
            load.offeredPerSecond[{it.priority, it.kind}] += it.perSecond;
        }
        for (const CallsPerRun &it : report.calls) {
            load.calls[it.parent][it.child] += it.calls * it.runs;
            callRuns[{it.parent, it.child}] += it.runs;
        }
        for (const RunTime &it : report.runs) {
            load.runSeconds[it.kind] += it.seconds * it.perSecond;
            runs[it.kind] += it.perSecond;
        }
        for (const CallsToService &it : report.services) {
            ServiceLoad &serviceLoad = load.serviceLoads[it.service];
            serviceLoad.callsPerSecond += it.perSecond;
            serviceLoad.repeatsLeft += it.repeatsLeft;
            rejected[it.service] += it.rejectedShare * it.perSecond;
        }
        if (report.slots > 0) {
            load.serviceLoads[report.service].slots += report.slots;
            load.serviceLoads[report.service].load += report.load;
        }
    }
    for (auto &[parent, children] : load.calls) {
        for (auto &[child, calls] : children) {
            calls /= std::max(callRuns[{parent, child}], 1e-9);
        }
    }
    for (auto &[kind, seconds] : load.runSeconds) {
        seconds /= std::max(runs[kind], 1e-9);
    }
    for (auto &[service, serviceLoad] : load.serviceLoads) {
        serviceLoad.rejectedShare = serviceLoad.callsPerSecond > 0 ? rejected[service] / serviceLoad.callsPerSecond : 0;
    }
    return load;
}

void RootAdmission::updateIfDue(TimePoint now)
{
    if (now - m_updatedAt < m_settings.interval) {
        return;
    }
    m_updatedAt = now;
    std::erase_if(m_reports, [&](const auto &it) { return now - it.second.at > m_settings.freshness; });
    const FleetLoad load = fleetLoad();
    m_admitted = admittedFractions(load);
    m_retried = retriedFractions(load, m_settings.retryRatio);
}

bool RootAdmission::admits(const RootClass &rootClass, const RequestId &root, TimePoint now)
{
    updateIfDue(now);
    return rootShare(root) < fractionOf(m_admitted, rootClass);
}

bool RootAdmission::allowsRetries(const RootClass &rootClass, const RequestId &root, TimePoint now)
{
    updateIfDue(now);
    return rootShare(root) < fractionOf(m_retried, rootClass);
}

} // namespace banyankeel

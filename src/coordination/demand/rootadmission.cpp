#include "coordination/demand/rootadmission.h"

#include "coordination/common/roothash.h"

#include <algorithm>
#include <span>
#include <utility>

namespace banyankeel
{

namespace
{
/// Chains of services are at most this long.
constexpr int LongestChain = 11;
/// Slots that requests let in may take up, as a part of all. The rest is for targets that are unevenly loaded and for what was not foreseen.
constexpr double UsableSlots = 0.95;
/// A service is short of slots only where this part of them is in use; below, what is known of the costs may be wrong and nobody is refused.
constexpr double BusyPart = 0.85;
/// A service is short of repeats only where its targets reject this part.
constexpr double RejectingPart = 0.15;
/// Repeats that are left are spent over this time; targets that reject do so for seconds.
constexpr double SpendSeconds = 4;
/// Of slots, no class gets less, so that none is shut out for as long as a service is short.
constexpr double SmallestPart = 0.05;

/// What is left is taken for as much at the least, so that a cost can be told of a shortage of which nothing is left.
constexpr double SmallestLeft = 1e-9;

/// What one request uses of a service, together with the calls below it.
struct Usage {
    double slotSeconds = 0;
    double calls = 0;
};

/// Of which there is less than is asked for.
struct Shortage {
    ServiceName service;
    bool isOfRepeats;
    double left;
};

using Visits = std::map<RequestKind, double>;

Visits visitsOf(const FleetLoad &load, RequestKind root)
{
    Visits all;
    Visits level{{root, 1.0}};
    for (int depth = 0; depth < LongestChain && !level.empty(); ++depth) {
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

std::map<ServiceName, Usage> usageOf(const FleetLoad &load, RequestKind root)
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
            // A root that is rejected has cost nothing; a call that is rejected costs all that ran above it.
            usage[service].calls += kind == root ? 0 : visits * share;
        }
    }
    return usage;
}

std::vector<Shortage> slotShortagesOf(const FleetLoad &load)
{
    std::vector<Shortage> found;
    for (const auto &[service, room] : load.rooms) {
        if (room.slots > 0 && room.load >= room.slots * BusyPart) {
            found.push_back({service, false, room.slots * UsableSlots});
        }
    }
    return found;
}

std::vector<Shortage> repeatShortagesOf(const FleetLoad &load, double retryRatio)
{
    std::vector<Shortage> found;
    for (const auto &[service, room] : load.rooms) {
        if (room.rejectedShare >= RejectingPart) {
            found.push_back({service, true, room.repeatsLeft / SpendSeconds + retryRatio * room.callsPerSecond});
        }
    }
    return found;
}

/// What a request uses of a shortage.
double usedOf(const FleetLoad &load, const Shortage &shortage, const std::map<ServiceName, Usage> &usage)
{
    const auto found = usage.find(shortage.service);
    if (found == usage.end()) {
        return 0;
    }
    if (!shortage.isOfRepeats) {
        return found->second.slotSeconds;
    }
    constexpr double HighestRejected = 0.95;
    const double rejected = std::min(load.rooms.at(shortage.service).rejectedShare, HighestRejected);
    // Each call is sent until it is taken.
    return found->second.calls * rejected / (1 - rejected);
}

/// One class that needs something that is short.
struct Claim {
    RootClass rootClass;
    double perSecond;
    /// By the shortage's place in the list.
    std::vector<double> used;
    /// The largest part that the classes of higher priorities leave to it.
    double ceiling = 1;
    double part = 0;

    [[nodiscard]] double cost(const std::vector<Shortage> &shortages) const
    {
        double highest = 0;
        for (std::size_t i = 0; i < used.size(); ++i) {
            highest = std::max(highest, used[i] / std::max(shortages[i].left, SmallestLeft));
        }
        return highest;
    }
};

using Claims = std::vector<Claim>;

Claims claimsOf(const FleetLoad &load, const std::vector<Shortage> &shortages)
{
    // In the order of their priorities, as the classes are.
    Claims claims;
    for (const auto &[rootClass, perSecond] : load.offeredPerSecond) {
        const std::map<ServiceName, Usage> usage = usageOf(load, rootClass.kind);
        Claim claim{rootClass, perSecond, {}};
        for (const Shortage &it : shortages) {
            claim.used.push_back(usedOf(load, it, usage));
        }
        if (std::ranges::any_of(claim.used, [](double it) { return it > 0; })) {
            claims.push_back(std::move(claim));
        }
    }
    return claims;
}

/// Gives each claim the part by which its requests take @p share of what is left, as a mean over all that are offered, but no more than its ceiling.
void setParts(std::span<Claim> claims, const std::vector<Shortage> &shortages, double share)
{
    for (Claim &it : claims) {
        it.part = std::min(it.ceiling, share / std::max(it.cost(shortages), SmallestLeft));
    }
}

bool isWithin(std::span<const Claim> claims, const std::vector<Shortage> &shortages)
{
    for (std::size_t i = 0; i < shortages.size(); ++i) {
        double used = 0;
        for (const Claim &it : claims) {
            used += it.part * it.perSecond * it.used[i];
        }
        if (used > shortages[i].left) {
            return false;
        }
    }
    return true;
}

/// Shares out what is left among the claims of one priority. Each offered request counts alike: where one costs four times as much as another,
/// a fourth as many of its class get through. So no class is shut out, and classes of like cost get like parts at every decision.
void shareOutOne(std::span<Claim> claims, const std::vector<Shortage> &shortages)
{
    double highest = 0;
    for (const Claim &it : claims) {
        highest = std::max(highest, it.cost(shortages));
    }
    setParts(claims, shortages, highest);
    if (isWithin(claims, shortages)) {
        return;
    }
    // Parts grow with the share, so that halving finds the largest one that fits.
    constexpr int Halvings = 30;
    double low = 0;
    double high = highest;
    for (int n = 0; n < Halvings; ++n) {
        const double middle = (low + high) / 2;
        setParts(claims, shortages, middle);
        (isWithin(claims, shortages) ? low : high) = middle;
    }
    setParts(claims, shortages, low);
}

RootParts sharedOut(const FleetLoad &load, std::vector<Shortage> shortages, double smallestPart)
{
    if (shortages.empty()) {
        return {};
    }
    RootParts parts;
    Claims claims = claimsOf(load, shortages);
    // By shortage: the smallest part that a class of a higher priority got.
    std::vector<double> ceilings(shortages.size(), 1);
    for (auto begin = claims.begin(); begin != claims.end();) {
        const PriorityLevel priority = begin->rootClass.priority;
        const auto end = std::find_if(begin, claims.end(), [priority](const Claim &it) { return it.rootClass.priority != priority; });
        const std::span<Claim> level(begin, end);
        for (Claim &it : level) {
            for (std::size_t i = 0; i < shortages.size(); ++i) {
                it.ceiling = it.used[i] > 0 ? std::min(it.ceiling, ceilings[i]) : it.ceiling;
            }
        }
        shareOutOne(level, shortages);
        for (Claim &it : level) {
            it.part = std::max(it.part, smallestPart);
            for (std::size_t i = 0; i < shortages.size(); ++i) {
                shortages[i].left = std::max(0.0, shortages[i].left - it.part * it.perSecond * it.used[i]);
                ceilings[i] = it.used[i] > 0 ? std::min(ceilings[i], it.part) : ceilings[i];
            }
            if (it.part < 1) {
                parts[it.rootClass] = it.part;
            }
        }
        begin = end;
    }
    return parts;
}

double partOf(const RootParts &parts, const RootClass &rootClass)
{
    const auto found = parts.find(rootClass);
    return found == parts.end() ? 1 : found->second;
}
} // namespace

RootParts admittedParts(const FleetLoad &load)
{
    return sharedOut(load, slotShortagesOf(load), SmallestPart);
}

RootParts finishedParts(const FleetLoad &load, double retryRatio)
{
    return sharedOut(load, repeatShortagesOf(load, retryRatio), 0);
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
        for (const WeightedService &part : it.services) {
            sum += part.weight;
        }
        for (const WeightedService &part : it.services) {
            m_services[requestKindOf(it.name)].emplace_back(part.service, sum > 0 ? part.weight / sum : 0);
        }
    }
    m_decidedAt = {};
}

void RootAdmission::noteReport(const NodeId &node, LoadReport report, TimePoint now)
{
    m_heard.insert_or_assign(node, Heard{std::move(report), now});
}

FleetLoad RootAdmission::fleetLoad() const
{
    FleetLoad load;
    load.services = m_services;
    std::map<std::pair<RequestKind, RequestKind>, double> callRuns;
    std::map<RequestKind, double> runs;
    std::map<ServiceName, double> rejected;
    for (const auto &[node, heard] : m_heard) {
        const LoadReport &report = heard.report;
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
            ServiceRoom &room = load.rooms[it.service];
            room.callsPerSecond += it.perSecond;
            room.repeatsLeft += it.repeatsLeft;
            rejected[it.service] += it.rejectedShare * it.perSecond;
        }
        if (report.slots > 0) {
            load.rooms[report.service].slots += report.slots;
            load.rooms[report.service].load += report.load;
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
    for (auto &[service, room] : load.rooms) {
        room.rejectedShare = room.callsPerSecond > 0 ? rejected[service] / room.callsPerSecond : 0;
    }
    return load;
}

void RootAdmission::decideIfDue(TimePoint now)
{
    if (now - m_decidedAt < m_settings.interval) {
        return;
    }
    m_decidedAt = now;
    std::erase_if(m_heard, [&](const auto &it) { return now - it.second.at > m_settings.freshness; });
    const FleetLoad load = fleetLoad();
    m_admitted = admittedParts(load);
    m_finished = finishedParts(load, m_settings.retryRatio);
}

bool RootAdmission::admits(const RootClass &rootClass, const RequestId &root, TimePoint now)
{
    decideIfDue(now);
    return rootShare(root) < partOf(m_admitted, rootClass);
}

bool RootAdmission::finishes(const RootClass &rootClass, const RequestId &root, TimePoint now)
{
    decideIfDue(now);
    return rootShare(root) < partOf(m_finished, rootClass);
}

} // namespace banyankeel

#include "coordination/routing/targetrouter.h"

#include "coordination/common/roothash.h"
#include "coordination/routing/rootcandidates.h"
#include "state/errors.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace banyankeel
{

namespace
{
constexpr double LatencySmoothing = 0.1;
/// A reported load expires after this time.
constexpr Duration LoadLifetime = std::chrono::milliseconds(300);
constexpr Duration RetryAfter = std::chrono::milliseconds(500);
/// How long the last announcement of a target that is gone is kept, so that a late older one does not restore it.
constexpr Duration GoneRetention = std::chrono::minutes(5);
/// Load, as a fraction of its limit, from which on a target counts as full and a farther one is considered.
constexpr double FullFraction = 1.0;
/// The same for a target in another region, which must have spare capacity to justify the metered link.
constexpr double OtherRegionFullFraction = 0.8;
constexpr std::uint32_t OtherRegionProbes = 2;
/// Half-life, in seconds, of the amount by which a target's latency exceeds that of the fastest one.
constexpr double LatencyHalfLife = 1.5;
/// Load, as a fraction of its limit, from which on a target's requests are expected to queue; at the limit they take twice as long.
constexpr double QueueingFraction = 0.8;
/// Assumed latency of a target without measurements, relative to the fastest one. Below 1, so that new targets are tried.
constexpr double UntriedLatencyFactor = 0.5;
/// A nearer target is preferred while its cost is at most this multiple of the lowest one.
constexpr double NearerCostTolerance = 2;
/// Latency in seconds that a farther target must save, because traffic between failure domains and regions is billed.
constexpr double OtherDomainPenaltySeconds = 0.015;
constexpr double OtherRegionPenaltySeconds = 0.1;
/// The link between regions is narrow, so each byte of the body adds to the latency that must be saved.
constexpr double OtherRegionPenaltyBytesPerSecond = 300'000;

/// The result if no target is available. Its hint makes upstream nodes treat the service on this node as full and send to other nodes.
RoutingDecision refusal(bool isAnyUsable)
{
    constexpr auto LowestPriority = static_cast<PriorityLevel>(UINT8_MAX);
    const AdmissionHint full{LowestPriority, 1, 2, 1};
    return {std::nullopt, Verdict::refused(isAnyUsable ? Reason::Overloaded : Reason::NoTarget, RetryAfter), full};
}

bool acceptsRequests(TargetState state)
{
    return state == TargetState::Starting || state == TargetState::Serving;
}
} // namespace

TargetRouter::TargetRouter(const RoutingSettings &settings, RandomSource random, TimePoint now)
    : m_settings(settings)
    , m_random(std::move(random))
    , m_linkBudget(settings.interRegionBytesPerSecond, now)
    , m_hints(settings.hintEntries)
{
    if (settings.subsetSize == 0) {
        throw ValueError("routing: field subsetSize: 0 found, above 0 allowed");
    }
    if (settings.maxEjectedFraction < 0 || settings.maxEjectedFraction > 1) {
        throw ValueError("routing: field maxEjectedFraction: " + std::to_string(settings.maxEjectedFraction) + " found, 0 to 1 allowed");
    }
}

TargetRouter::Distance TargetRouter::distanceOf(const Place &place) const
{
    if (place.region != m_settings.place.region) {
        return Distance::OtherRegion;
    }
    return place.failureDomain == m_settings.place.failureDomain ? Distance::FailureDomain : Distance::Region;
}

void TargetRouter::update(const TargetRecord &record, TimePoint now)
{
    const auto known = m_slotByNode.find(record.node.node);
    if (known == m_slotByNode.end()) {
        apply(allocateSlot(record), record, now);
        return;
    }
    if (record.supersedes(*m_targets[known->second].record)) {
        apply(known->second, record, now);
    }
}

TargetRouter::Slot TargetRouter::allocateSlot(const TargetRecord &record)
{
    if (m_freeSlots.empty()) {
        m_freeSlots.push_back(static_cast<Slot>(m_targets.size()));
        m_targets.emplace_back();
    }
    const Slot slot = m_freeSlots.back();
    m_freeSlots.pop_back();
    m_slotByNode.emplace(record.node.node, slot);
    m_services[record.service].all.push_back(slot);
    return slot;
}

void TargetRouter::apply(Slot slot, const TargetRecord &record, TimePoint now)
{
    Target &target = m_targets[slot];
    const bool isNew = !target.record || target.record->node.incarnation != record.node.incarnation;
    const bool isMoved = target.record && target.record->service != record.service;
    if (isMoved) {
        const ServiceName old = target.record->service;
        std::erase(m_services[old].all, slot);
        m_services[record.service].all.push_back(slot);
        target.record = record;
        rebuild(old);
    }
    if (isNew) {
        const std::uint32_t serial = target.serial + 1;
        target = Target{};
        target.serial = serial;
        target.nameHash = targetNameHash(record.node.node.text());
    }
    if (record.state == TargetState::Starting && (isNew || target.record->state != TargetState::Starting)) {
        target.health.beginSlowStart(now);
    }
    target.record = record;
    target.changedAt = now;
    target.distance = distanceOf(record.node.place);
    dropGone(record.service, now);
    rebuild(record.service);
}

void TargetRouter::dropGone(const ServiceName &service, TimePoint now)
{
    std::erase_if(m_services[service].all, [&](Slot slot) {
        Target &target = m_targets[slot];
        if (target.record->state != TargetState::Gone || now - target.changedAt < GoneRetention) {
            return false;
        }
        m_slotByNode.erase(target.record->node.node);
        target.record.reset();
        ++target.serial;
        m_freeSlots.push_back(slot);
        return true;
    });
}

void TargetRouter::rebuild(const ServiceName &service)
{
    ServiceTargets &targets = m_services[service];
    for (std::vector<Slot> &slots : targets.byDistance) {
        slots.clear();
    }
    targets.rankable.clear();
    std::vector<RegionName> regions;
    for (const Slot slot : targets.all) {
        // Targets that are draining or ejected may already have run a root, so they keep their rank for it.
        if (m_targets[slot].record->state != TargetState::Gone) {
            const RegionName &region = m_targets[slot].record->node.place.region;
            const auto at = std::ranges::find(regions, region);
            const auto number = static_cast<std::uint32_t>(at - regions.begin());
            if (at == regions.end()) {
                regions.push_back(region);
            }
            targets.rankable.push_back({slot, number, m_targets[slot].nameHash});
        }
        if (acceptsRequests(m_targets[slot].record->state)) {
            targets.byDistance[static_cast<std::size_t>(m_targets[slot].distance)].push_back(slot);
        }
    }
    targets.regionCount = regions.size();
    // Each node uses a subset of the targets to bound the number of connections; the subsets differ between nodes.
    const std::uint64_t own = targetNameHash(m_settings.ownNode.text());
    for (std::vector<Slot> &slots : targets.byDistance) {
        if (slots.size() > m_settings.subsetSize) {
            std::ranges::sort(slots, std::greater{}, [&](Slot slot) { return rendezvousRank(own, m_targets[slot].nameHash); });
            slots.resize(m_settings.subsetSize);
        }
    }
}

RoutingDecision TargetRouter::choose(const RoutingRequest &request, TimePoint now)
{
    const auto targets = m_services.find(request.service);
    if (targets == m_services.end()) {
        return refusal(false);
    }
    if (request.restrictToRootCandidates) {
        return chooseForRoot(targets->second, request, now);
    }
    return m_settings.placement == Placement::ShortestTime ? chooseFastest(targets->second, request, now) : chooseNearest(targets->second, request, now);
}

RoutingDecision TargetRouter::chooseFastest(const ServiceTargets &targets, const RoutingRequest &request, TimePoint now)
{
    std::array<std::optional<SlotCost>, DistanceCount> best;
    const double fastest = lowestLatency(targets, request, now);
    double lowest = std::numeric_limits<double>::max();
    bool isAnyUsable = false;
    for (std::size_t distance = 0; distance < DistanceCount; ++distance) {
        for (const Slot slot : targets.byDistance[distance]) {
            const Target &target = m_targets[slot];
            if (!isUsable(target, request, now)) {
                continue;
            }
            isAnyUsable = true;
            if (isLikelyRefused(target, request, now)) {
                continue;
            }
            const double cost = expectedCost(target, request, fastest, now);
            if (!best[distance] || cost < best[distance]->cost) {
                best[distance] = SlotCost{slot, cost};
            }
            lowest = std::min(lowest, cost);
        }
    }
    for (const std::optional<SlotCost> &it : best) {
        if (it && it->cost <= lowest * NearerCostTolerance) {
            return {choiceOf(it->slot, request), Verdict::ran()};
        }
    }
    return refusal(isAnyUsable);
}

double TargetRouter::lowestLatency(const ServiceTargets &targets, const RoutingRequest &request, TimePoint now) const
{
    double fastest = 0;
    for (const std::vector<Slot> &slots : targets.byDistance) {
        for (const Slot slot : slots) {
            const Target &target = m_targets[slot];
            if (target.latency > 0 && isUsable(target, request, now) && (fastest == 0 || target.latency < fastest)) {
                fastest = target.latency;
            }
        }
    }
    return fastest;
}

double TargetRouter::expectedCost(const Target &target, const RoutingRequest &request, double fastest, TimePoint now) const
{
    // A high latency decays towards the lowest one with time, so that a target that was slow is tried again.
    const double age = std::max(0.0, std::chrono::duration<double>(now - target.latencyAt).count());
    const double known = target.latency > 0 ? fastest + (target.latency - fastest) * std::exp2(-age / LatencyHalfLife) : fastest * UntriedLatencyFactor;
    const bool isFresh = now - target.hintedAt <= LoadLifetime && target.hintedLimit > 0;
    const double load = isFresh ? std::max(target.hintedLoad, target.inFlight) : target.inFlight;
    const double limit = isFresh ? target.hintedLimit : std::max<std::uint32_t>(target.record->slots, 1);
    const double used = load / (limit * target.health.weight(now));
    const double queueing = used < QueueingFraction ? 1 : 1 + (used - QueueingFraction) / (1 - QueueingFraction);
    const double distance = target.distance == Distance::OtherRegion
        ? OtherRegionPenaltySeconds + static_cast<double>(request.bytes) / OtherRegionPenaltyBytesPerSecond
        : target.distance == Distance::Region ? OtherDomainPenaltySeconds
                                              : 0;
    return known * queueing + distance;
}

RoutingDecision TargetRouter::chooseNearest(const ServiceTargets &targets, const RoutingRequest &request, TimePoint now)
{
    // The nearest full target is the fallback: better than none, and better than a farther one that is full as well.
    std::optional<Slot> full;
    bool isAnyUsable = false;
    for (const std::vector<Slot> &slots : targets.byDistance) {
        const std::optional<Slot> picked = pickOfTwo(slots, request, now);
        if (!picked) {
            continue;
        }
        isAnyUsable = true;
        const Target &target = m_targets[*picked];
        if (isLikelyRefused(target, request, now)) {
            continue;
        }
        if (!isFull(target, now)) {
            if (takeLinkBudget(target, request, now)) {
                return {choiceOf(*picked, request), Verdict::ran()};
            }
        } else if (!full) {
            full = picked;
        }
    }
    if (full && takeLinkBudget(m_targets[*full], request, now)) {
        return {choiceOf(*full, request), Verdict::ran()};
    }
    return refusal(isAnyUsable);
}

std::optional<TargetRouter::Slot> TargetRouter::pickOfTwo(const std::vector<Slot> &slots, const RoutingRequest &request, TimePoint now)
{
    m_candidates.clear();
    for (const Slot slot : slots) {
        if (isUsable(m_targets[slot], request, now)) {
            m_candidates.push_back({slot, 0});
        }
    }
    if (m_candidates.empty()) {
        return std::nullopt;
    }
    const std::size_t n = m_candidates.size();
    const Candidate &first = m_candidates[uniformBelow(m_random, n)];
    if (n == 1) {
        return first.slot;
    }
    const std::size_t offset = 1 + uniformBelow(m_random, n - 1);
    const Candidate &second = m_candidates[(static_cast<std::size_t>(&first - m_candidates.data()) + offset) % n];
    return scoreOf(m_targets[first.slot], now) <= scoreOf(m_targets[second.slot], now) ? first.slot : second.slot;
}

void TargetRouter::insertRanked(std::vector<Candidate> &ranked, const Candidate &candidate, std::size_t maxCount)
{
    if (ranked.size() == maxCount && candidate.rank <= ranked.back().rank) {
        return;
    }
    if (ranked.size() == maxCount) {
        ranked.pop_back();
    }
    const auto at = std::ranges::find_if(ranked, [&](const Candidate &other) { return other.rank < candidate.rank; });
    ranked.insert(at, candidate);
}

void TargetRouter::rankForRoot(const ServiceTargets &targets, const RoutingRequest &request)
{
    const std::uint64_t hash = rootHash(request.root);
    const std::size_t maxCount = std::max<std::size_t>(request.maxExecutions, 1);
    m_ranked.clear();
    m_bestOfRegion.assign(targets.regionCount, Candidate{0, 0});
    for (const RankingEntry &it : targets.rankable) {
        const Candidate found{it.slot, rendezvousRank(hash, it.nameHash)};
        insertRanked(m_ranked, found, maxCount);
        Candidate &first = m_bestOfRegion[it.region];
        first = found.rank > first.rank ? found : first;
    }
    // The best-ranked target of each region comes before the rest, so that most nodes find a candidate in their own region and avoid the metered
    // link. The order does not depend on the region of the node that computes it.
    std::ranges::sort(m_bestOfRegion, std::greater{}, &Candidate::rank);
    m_candidates.clear();
    for (const std::vector<Candidate> *list : {&m_bestOfRegion, &m_ranked}) {
        for (const Candidate &it : *list) {
            const bool isKnown = std::ranges::find(m_candidates, it.slot, &Candidate::slot) != m_candidates.end();
            if (!isKnown && m_candidates.size() < maxCount) {
                m_candidates.push_back(it);
            }
        }
    }
}

void TargetRouter::dropReserveCandidate(std::uint16_t maxExecutions)
{
    // The reserve candidate is used only if none of the others accepts requests.
    const std::size_t usual = candidateCount(maxExecutions);
    if (m_candidates.size() <= usual) {
        return;
    }
    const auto end = m_candidates.begin() + static_cast<std::ptrdiff_t>(usual);
    const bool isAnyServing = std::any_of(m_candidates.begin(), end, [&](const Candidate &it) { return acceptsRequests(m_targets[it.slot].record->state); });
    if (isAnyServing) {
        m_candidates.resize(usual);
    }
}

RoutingDecision TargetRouter::chooseForRoot(const ServiceTargets &targets, const RoutingRequest &request, TimePoint now)
{
    rankForRoot(targets, request);
    dropReserveCandidate(request.maxExecutions);
    // Each candidate runs the root at most once, so any order respects the limit; the nearest comes first.
    bool isAnyUsable = false;
    for (std::size_t distance = 0; distance < DistanceCount; ++distance) {
        for (const Candidate &it : m_candidates) {
            const Target &target = m_targets[it.slot];
            if (static_cast<std::size_t>(target.distance) != distance || !isUsable(target, request, now)) {
                continue;
            }
            isAnyUsable = true;
            if (!isLikelyRefused(target, request, now) && takeLinkBudget(target, request, now)) {
                return {choiceOf(it.slot, request), Verdict::ran()};
            }
        }
    }
    return refusal(isAnyUsable);
}

bool TargetRouter::isUsable(const Target &target, const RoutingRequest &request, TimePoint now) const
{
    if (!acceptsRequests(target.record->state) || target.isUnreachable || target.health.isEjected(now)) {
        return false;
    }
    if (target.health.isProbing(now) && target.inFlight > 0) {
        return false;
    }
    return std::ranges::find(request.exclude, target.record->node.node) == request.exclude.end();
}

bool TargetRouter::isFull(const Target &target, TimePoint now) const
{
    if (now - target.hintedAt <= LoadLifetime && target.hintedLimit > 0) {
        const double share = target.distance == Distance::OtherRegion ? OtherRegionFullFraction : FullFraction;
        return target.hintedLoad >= target.hintedLimit * share;
    }
    if (target.distance == Distance::OtherRegion) {
        // Without a recent hint, a target in another region receives a few requests to learn its load.
        return target.inFlight >= OtherRegionProbes;
    }
    return target.inFlight >= std::max<std::uint32_t>(target.record->slots, 1) * target.health.weight(now);
}

double TargetRouter::scoreOf(const Target &target, TimePoint now) const
{
    const bool isFresh = now - target.hintedAt <= LoadLifetime;
    const double load = 1.0 + (isFresh ? std::max(target.hintedLoad, target.inFlight) : target.inFlight);
    // A target without measurements is assumed to be fast, so that it is tried soon.
    constexpr double FirstLatency = 0.001;
    return load * std::max(target.latency, FirstLatency) / target.health.weight(now);
}

bool TargetRouter::isLikelyRefused(const Target &target, const RoutingRequest &request, TimePoint now)
{
    if (request.ignoreHints) {
        return false;
    }
    const std::uint64_t flow = HintTable::flowOf(request.organisation, request.priority);
    const std::uint64_t key = HintTable::keyOf(target.serial * std::uint64_t(UINT32_MAX) + target.nameHash, flow);
    return m_hints.isLikelyRefused(key, rootShare(request.root), now);
}

bool TargetRouter::takeLinkBudget(const Target &target, const RoutingRequest &request, TimePoint now)
{
    return target.distance != Distance::OtherRegion || m_linkBudget.tryTake(request.bytes, request.priority, now);
}

TargetChoice TargetRouter::choiceOf(Slot slot, const RoutingRequest &request) const
{
    const Target &target = m_targets[slot];
    const bool isInterRegion = target.distance == Distance::OtherRegion;
    return {target.record->node, slot, target.serial, isInterRegion, HintTable::flowOf(request.organisation, request.priority)};
}

TargetRouter::Target *TargetRouter::targetOf(const TargetChoice &choice)
{
    Target &target = m_targets.at(choice.slot);
    return target.serial == choice.serial && target.record ? &target : nullptr;
}

void TargetRouter::recordAttemptStart(const TargetChoice &choice, TimePoint /*now*/)
{
    if (Target *target = targetOf(choice)) {
        ++target->inFlight;
    }
}

void TargetRouter::recordAttemptEnd(const TargetChoice &choice, const AttemptOutcome &outcome, const std::optional<AdmissionHint> &hint, TimePoint now)
{
    if (choice.isInterRegion) {
        updateLinkBudget(outcome, now);
    }
    Target *target = targetOf(choice);
    if (!target) {
        return;
    }
    target->inFlight -= std::min<std::uint32_t>(target->inFlight, 1);
    if (hint) {
        target->hintedLoad = hint->load;
        target->hintedLimit = hint->limit;
        target->hintedAt = now;
        const std::uint64_t key = HintTable::keyOf(target->serial * std::uint64_t(UINT32_MAX) + target->nameHash, choice.flow);
        m_hints.record(key, hint->admittedFraction, now);
    }
    const bool isRefused = outcome.verdict.runState() == RunState::NotRun && outcome.verdict.reason() != Reason::ConnectionLost;
    if (isRefused || outcome.verdict.reason() == Reason::Cancelled) {
        // A refusal because of load or deadline does not count as a failure of the target.
        return;
    }
    const double seconds = std::chrono::duration<double>(outcome.latency).count();
    target->latencyAt = now;
    target->latency = target->latency > 0 ? target->latency + LatencySmoothing * (seconds - target->latency) : seconds;
    if (outcome.verdict.isSuccess() && !outcome.isTargetError) {
        target->health.recordSuccess(now);
    } else {
        recordFailure(*target, now);
    }
}

void TargetRouter::updateLinkBudget(const AttemptOutcome &outcome, TimePoint now)
{
    m_linkBudget.charge(outcome.bytes, now);
    if (outcome.verdict.reason() == Reason::DeadlineExpired && outcome.verdict.runState() == RunState::MayHaveRun) {
        m_linkBudget.recordTimeout(now);
    } else if (outcome.verdict.runState() == RunState::Ran) {
        m_linkBudget.recordAnswer(outcome.latency, now);
    }
}

void TargetRouter::recordFailure(Target &target, TimePoint now)
{
    if (target.health.recordFailure(now) && mayEject(target.record->service, now)) {
        target.health.eject(now);
    }
}

bool TargetRouter::mayEject(const ServiceName &service, TimePoint now) const
{
    std::size_t serving = 0;
    std::size_t ejected = 0;
    for (const Slot slot : m_services.at(service).all) {
        const Target &target = m_targets[slot];
        serving += acceptsRequests(target.record->state) ? 1 : 0;
        ejected += acceptsRequests(target.record->state) && target.health.isEjected(now) ? 1 : 0;
    }
    return static_cast<double>(ejected + 1) <= static_cast<double>(serving) * m_settings.maxEjectedFraction;
}

void TargetRouter::setReachable(const NodeId &node, bool isReachable)
{
    const auto it = m_slotByNode.find(node);
    if (it != m_slotByNode.end()) {
        m_targets[it->second].isUnreachable = !isReachable;
    }
}

bool TargetRouter::hasTarget(const ServiceName &service) const
{
    const auto it = m_services.find(service);
    return it != m_services.end() && std::ranges::any_of(it->second.byDistance, [](const auto &slots) { return !slots.empty(); });
}

std::uint32_t TargetRouter::inFlight(const NodeId &node) const
{
    const auto it = m_slotByNode.find(node);
    return it == m_slotByNode.end() ? 0 : m_targets[it->second].inFlight;
}

bool TargetRouter::isEjected(const NodeId &node, TimePoint now) const
{
    const auto it = m_slotByNode.find(node);
    return it != m_slotByNode.end() && m_targets[it->second].health.isEjected(now);
}

std::size_t TargetRouter::bytesPerTarget()
{
    constexpr std::size_t MapNodeBytes = sizeof(NodeId) + sizeof(Slot) + 4 * sizeof(void *);
    return sizeof(Target) + MapNodeBytes + 2 * sizeof(Slot);
}

} // namespace banyankeel

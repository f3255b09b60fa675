#pragma once

// Selects the target of each attempt from target announcements and from this node's own measurements.
//
//   TargetRouter router(settings, random, now);
//   router.update(record, now);
//   RoutingDecision decision = router.choose(request, now);
//   if (decision.choice) { router.recordAttemptStart(*decision.choice, now); ... router.recordAttemptEnd(*decision.choice, outcome, hint, now); }

#include "coordination/common/random.h"
#include "coordination/routing/hinttable.h"
#include "coordination/routing/linkbudget.h"
#include "coordination/routing/routingrequest.h"
#include "coordination/routing/targethealth.h"
#include "protocol/callmessages.h"
#include "state/targetrecord.h"
#include "state/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyankeel
{

/// Target selection of one node. Not thread-safe.
///
/// choose() takes time linear in the subset of a service's targets that the router uses, which is bounded by RoutingSettings::subsetSize for each
/// distance. For restricted roots it is linear in all targets of the service.
class TargetRouter
{
public:
    /// @throws ValueError if a setting is out of range.
    TargetRouter(const RoutingSettings &settings, RandomSource random, TimePoint now);

    /// Applies an announcement. Ignores one that is older than the known one.
    void update(const TargetRecord &record, TimePoint now);
    /// Returns a target, or a refusal: NoTarget if there is none, Overloaded if all usable targets would probably refuse.
    RoutingDecision choose(const RoutingRequest &request, TimePoint now);
    /// Records that an attempt is sent to @p choice. Each call must be followed by one call of recordAttemptEnd().
    void recordAttemptStart(const TargetChoice &choice, TimePoint now);
    /// Records the end of an attempt.
    /// @param hint the load reported in the answer, if any.
    void recordAttemptEnd(const TargetChoice &choice, const AttemptOutcome &outcome, const std::optional<AdmissionHint> &hint, TimePoint now);

    /// Sets whether @p node is currently reachable from this node. Unreachable nodes are not chosen. Unknown nodes are ignored.
    void setReachable(const NodeId &node, bool isReachable);
    /// Whether the service has a target that accepts requests.
    [[nodiscard]] bool hasTarget(const ServiceName &service) const;
    /// Number of attempts in flight to @p node.
    [[nodiscard]] std::uint32_t inFlight(const NodeId &node) const;
    [[nodiscard]] bool isEjected(const NodeId &node, TimePoint now) const;
    [[nodiscard]] std::size_t targetCount() const
    {
        return m_slotByNode.size();
    }
    [[nodiscard]] const LinkBudget &linkBudget() const
    {
        return m_linkBudget;
    }
    static std::size_t bytesPerTarget();

private:
    /// Distance class of a target.
    enum class Distance : std::uint8_t {
        FailureDomain,
        Region,
        OtherRegion,
    };
    static constexpr std::size_t DistanceCount = 3;
    using Slot = std::uint32_t;

    struct Target {
        std::optional<TargetRecord> record;
        /// Differs for each incarnation that used the slot.
        std::uint32_t serial = 0;
        std::uint32_t inFlight = 0;
        std::uint32_t hintedLoad = 0;
        std::uint32_t hintedLimit = 0;
        TimePoint hintedAt;
        TimePoint changedAt;
        double latency = 0;
        TimePoint latencyAt;
        std::uint64_t nameHash = 0;
        Distance distance = Distance::OtherRegion;
        bool isUnreachable = false;
        TargetHealth health;
    };
    /// Stored contiguously, because ranking for a root reads the entries of all targets of a service.
    struct RankingEntry {
        Slot slot;
        /// Index of the target's region among the regions of the service, from 0.
        std::uint32_t region;
        std::uint64_t nameHash;
    };
    struct ServiceTargets {
        std::vector<Slot> all;
        /// Targets that are not gone, for ranking.
        std::vector<RankingEntry> rankable;
        std::size_t regionCount = 0;
        /// Targets that accept requests, by distance; at most RoutingSettings::subsetSize for each.
        std::array<std::vector<Slot>, DistanceCount> byDistance;
    };
    struct Candidate {
        Slot slot;
        std::uint64_t rank;
    };

    struct SlotCost {
        Slot slot;
        double cost;
    };

    Slot allocateSlot(const TargetRecord &record);
    void apply(Slot slot, const TargetRecord &record, TimePoint now);
    void rebuild(const ServiceName &service);
    void dropGone(const ServiceName &service, TimePoint now);
    [[nodiscard]] Distance distanceOf(const Place &place) const;

    RoutingDecision chooseNearest(const ServiceTargets &targets, const RoutingRequest &request, TimePoint now);
    static void insertRanked(std::vector<Candidate> &ranked, const Candidate &candidate, std::size_t maxCount);
    void rankForRoot(const ServiceTargets &targets, const RoutingRequest &request);
    void dropReserveCandidate(std::uint16_t maxExecutions);
    /// Selects by expected latency. For services whose targets differ in speed, become slow or have just started.
    RoutingDecision chooseFastest(const ServiceTargets &targets, const RoutingRequest &request, TimePoint now);
    /// The shortest average latency of a usable target, in seconds; zero while none is known.
    [[nodiscard]] double lowestLatency(const ServiceTargets &targets, const RoutingRequest &request, TimePoint now) const;
    /// Expected seconds until an answer, plus the penalty for the distance.
    [[nodiscard]] double expectedCost(const Target &target, const RoutingRequest &request, double fastest, TimePoint now) const;
    RoutingDecision chooseForRoot(const ServiceTargets &targets, const RoutingRequest &request, TimePoint now);
    std::optional<Slot> pickOfTwo(const std::vector<Slot> &slots, const RoutingRequest &request, TimePoint now);
    [[nodiscard]] bool isUsable(const Target &target, const RoutingRequest &request, TimePoint now) const;
    [[nodiscard]] bool isFull(const Target &target, TimePoint now) const;
    [[nodiscard]] double scoreOf(const Target &target, TimePoint now) const;
    bool isLikelyRefused(const Target &target, const RoutingRequest &request, TimePoint now);
    bool takeLinkBudget(const Target &target, const RoutingRequest &request, TimePoint now);
    [[nodiscard]] TargetChoice choiceOf(Slot slot, const RoutingRequest &request) const;
    Target *targetOf(const TargetChoice &choice);
    void updateLinkBudget(const AttemptOutcome &outcome, TimePoint now);
    void recordFailure(Target &target, TimePoint now);
    [[nodiscard]] bool mayEject(const ServiceName &service, TimePoint now) const;

    RoutingSettings m_settings;
    RandomSource m_random;
    LinkBudget m_linkBudget;
    HintTable m_hints;
    std::vector<Target> m_targets;
    std::vector<Slot> m_freeSlots;
    std::unordered_map<NodeId, Slot> m_slotByNode;
    std::unordered_map<ServiceName, ServiceTargets> m_services;
    std::vector<Candidate> m_candidates;
    std::vector<Candidate> m_ranked;
    std::vector<Candidate> m_bestOfRegion;
};

} // namespace banyankeel

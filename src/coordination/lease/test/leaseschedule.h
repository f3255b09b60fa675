#pragma once

// Leases of a simulated fleet under random faults, with a check that no shard has two holders at once.
//
//   std::string violations = runLeaseSchedule(seed, {}, std::chrono::minutes(4));

#include "coordination/lease/test/leasefleet.h"

namespace banyankeel::testing
{

using namespace std::chrono_literals;

inline constexpr ScheduleFaults LossyLeases{.lossPerMille = 50, .duplicatePerMille = 50, .storeReplyLossPerMille = 50, .storeRequestLossPerMille = 50};

// Injects random pauses, kills, partitions and store outages. Returns the shards with several holders; empty if there were none.
inline std::string runLeaseSchedule(std::uint64_t seed, const LeaseFleet::SettingsFactory &settings, Duration time, double rateSpread = 1e-3)
{
    FleetShape shape;
    shape.nodes = 3 + seed % 6;
    shape.rateSpread = rateSpread;
    LeaseFleet fleet(seed, LossyLeases, shape, settings);
    const RandomSource random = seededRandom(seed ^ 0x5eed);
    std::string violations;
    const auto check = [&] { violations = violations.empty() ? fleet.shardsWithSeveralHolders() : violations; };
    const TimePoint end = fleet.runner.now() + time;
    while (fleet.runner.now() < end && violations.empty()) {
        const std::size_t i = uniformBelow(random, fleet.size());
        switch (uniformBelow(random, 8)) {
        case 0:
            fleet.runner.pause(fleet.id(i), true);
            break;
        case 1:
        case 2:
            fleet.runner.pause(fleet.id(i), false);
            break;
        case 3:
            fleet.kill(i);
            break;
        case 4:
            fleet.start(i);
            break;
        case 5:
            fleet.partitionRegions(uniformBelow(random, 2) == 0);
            break;
        case 6:
            fleet.runner.setStoreDown(uniformBelow(random, 3) == 0);
            break;
        default:
            fleet.runner.setStoreReach(fleet.id(i), uniformBelow(random, 3) != 0);
            break;
        }
        fleet.run(std::chrono::milliseconds(500 + uniformBelow(random, 8000)), check);
    }
    return violations;
}

} // namespace banyankeel::testing

#pragma once

// Claims on a simulated fleet under random faults; reports the maximum number of executions of one request.
//
//   ClaimScheduleOutcome outcome = runClaimSchedule(seed, {});

#include "coordination/claims/test/claimfleet.h"

namespace banyankeel::testing
{

using namespace std::chrono_literals;

inline constexpr ScheduleFaults LossyClaims{.lossPerMille = 50, .duplicatePerMille = 50, .storeReplyLossPerMille = 100, .storeRequestLossPerMille = 50};

inline RequestId testRequest(std::uint64_t n)
{
    return {7, n};
}

inline int maxExecutions(const ClaimFleet &claims)
{
    int most = 0;
    for (const auto &[id, n] : claims.executions) {
        most = std::max(most, n);
    }
    return most;
}

inline void injectClaimFault(ClaimFleet &claims, const RandomSource &random)
{
    LeaseFleet &fleet = claims.fleet;
    const std::size_t i = uniformBelow(random, fleet.size());
    switch (uniformBelow(random, 12)) {
    case 0:
        fleet.runner.pause(fleet.id(i), true);
        break;
    case 1:
        fleet.kill(i);
        break;
    case 2:
    case 3:
        fleet.runner.pause(fleet.id(i), false);
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
    case 7:
        fleet.runner.setStoreReach(fleet.id(i), uniformBelow(random, 3) != 0);
        break;
    default:
        break;
    }
}

/// The result of a claim schedule.
struct ClaimScheduleOutcome {
    /// The maximum number of executions of one request.
    int maxExecutions;
    int duplicateDecisions;
    int granted;
};

// Submits every request repeatedly, to random nodes.
inline ClaimScheduleOutcome runClaimSchedule(std::uint64_t seed, const ClaimTestOptions &options, Duration time = 2min)
{
    FleetShape shape;
    shape.nodes = 3 + seed % 6;
    shape.rateSpread = 1e-3;
    ClaimFleet claims(seed, LossyClaims, shape, options);
    const RandomSource random = seededRandom(seed ^ 0x5eed);
    const TimePoint end = claims.fleet.runner.now() + time;
    std::uint64_t newest = 20;
    while (claims.fleet.runner.now() < end) {
        injectClaimFault(claims, random);
        for (int n = 0; n < 6; ++n) {
            const RequestId request = testRequest(newest - uniformBelow(random, 20));
            claims.submit(uniformBelow(random, claims.fleet.size()), request);
            claims.fleet.run(std::chrono::milliseconds(20 + uniformBelow(random, 300)));
            for (const std::size_t i : std::exchange(claims.nodesToKill, {})) {
                claims.fleet.kill(i);
            }
        }
        ++newest;
    }
    return {maxExecutions(claims), claims.duplicateDecisions, claims.results[ClaimResult::Granted]};
}

} // namespace banyankeel::testing

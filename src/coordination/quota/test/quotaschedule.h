#pragma once

// Quota of a simulated fleet under random faults, with a check of the bound over every interval.
//
//   bool holds = boundHoldsUnderFaults({.seed = 1, .burst = 20.0}, {});

#include "coordination/quota/test/quotafleet.h"

namespace banyankeel::testing
{

using namespace std::chrono_literals;

inline constexpr ScheduleFaults LossyQuota{
    .lossPerMille = 50,
    .duplicatePerMille = 100,
    .shortestDelay = 1ms,
    .longestDelay = 60ms,
    .storeReplyLossPerMille = 50,
    .storeRequestLossPerMille = 50,
};

inline void injectQuotaFault(QuotaFleet &fleet, const RandomSource &random)
{
    const std::size_t i = uniformBelow(random, fleet.fleet.size());
    switch (uniformBelow(random, 12)) {
    case 0:
        fleet.pause(i, true);
        break;
    case 1:
    case 2:
        fleet.pause(i, false);
        break;
    case 3:
        fleet.kill(i);
        break;
    case 4:
    case 5:
        if (!fleet.fleet.isUp(i)) {
            fleet.fleet.start(i);
        }
        break;
    case 6:
        fleet.fleet.partitionRegions(uniformBelow(random, 2) == 0);
        break;
    case 7:
        fleet.fleet.runner.setStoreDown(uniformBelow(random, 3) == 0);
        break;
    case 8:
        fleet.fleet.runner.setStoreReach(fleet.fleet.id(i), uniformBelow(random, 3) != 0);
        break;
    default:
        std::vector<double> weights(fleet.fleet.size());
        for (double &weight : weights) {
            weight = static_cast<double>(uniformBelow(random, 4));
        }
        fleet.redirect(weights);
        break;
    }
}

struct QuotaFaultPlan {
    std::uint64_t seed;
    double burst;
    double rateSpread = 1e-3;
    bool hasOneRegion = false;
};

// Offers twice the rate, with changing distribution, under random faults. Returns whether the bound held and some calls were granted.
inline bool boundHoldsUnderFaults(const QuotaFaultPlan &plan, QuotaTestOptions options)
{
    FleetShape shape;
    shape.nodes = 3 + plan.seed % 6;
    shape.rateSpread = plan.rateSpread;
    if (plan.hasOneRegion) {
        shape.layout.regions = {RegionName("muc")};
    }
    options.burst = plan.burst;
    QuotaFleet fleet(plan.seed, LossyQuota, shape, options);
    fleet.traffic({.ratePerSecond = options.rate * 2, .weights = std::vector<double>(shape.nodes, 1.0)});
    fleet.run(5s);
    const RandomSource random = seededRandom(plan.seed ^ 0x5eed);
    for (int n = 0; n < 30 && fleet.isWithinBound(); ++n) {
        injectQuotaFault(fleet, random);
        fleet.run(std::chrono::milliseconds(200 + uniformBelow(random, 4000)));
    }
    return fleet.isWithinBound() && fleet.refusedFraction() < 1.0;
}

// Options under which almost all of an account is lent, so an excess token is not hidden by unused quota.
inline QuotaTestOptions nearFullLendingOptions()
{
    QuotaTestOptions options;
    options.settings.rateReserve = 0.02;
    options.settings.burstReserve = 0.02;
    options.settings.minSliceBurst = 0.0;
    options.settings.smallBurst = 0.0;
    options.settings.rateHeadroom = 2.0;
    return options;
}

} // namespace banyankeel::testing

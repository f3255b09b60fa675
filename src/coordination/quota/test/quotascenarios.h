#pragma once

// Faults under steady demand below the rate, and the part of calls that each makes the quota refuse.

#include "coordination/quota/test/quotafleet.h"

#include <string>
#include <vector>

namespace banyankeel::testing
{

/// A fault and what follows it.
struct QuotaScenario {
    std::string name;
    unsigned lossPerMille;
    /// Brings the fault about.
    std::function<void(QuotaFleet &fleet)> begin;
    /// How long the fault is watched.
    Duration time;
};

/// What a scenario gave.
struct QuotaOutcome {
    double refusedCalm;
    /// From the fault's sixth second on.
    double refusedInFault;
    /// What one bucket for the whole fleet would have refused of the same calls.
    double refusedByIdeal;
    bool isWithinBound;
};

/// Runs @p scenario with demand of @p load times the rate on @p nodes nodes of two regions.
inline QuotaOutcome runScenario(const QuotaScenario &scenario, std::uint64_t seed, double load, std::size_t nodes, const QuotaVariant &variant = {})
{
    FleetShape shape;
    shape.nodes = nodes;
    shape.rateSpread = 1e-3;
    const ScheduleFaults faults{
        .lossPerMille = scenario.lossPerMille,
        .duplicatePerMille = scenario.lossPerMille,
        .shortestDelay = std::chrono::microseconds(500),
        .longestDelay = std::chrono::microseconds(1500),
        .storeReplyLossPerMille = scenario.lossPerMille,
    };
    QuotaFleet fleet(seed, faults, shape, variant);
    fleet.fleet.setRegionDelay(std::chrono::milliseconds(7));
    fleet.traffic({.ratePerSecond = variant.rate * load, .weights = std::vector<double>(nodes, 1.0)});
    fleet.run(std::chrono::seconds(20));
    fleet.resetCounts();
    fleet.run(std::chrono::seconds(60));
    QuotaOutcome outcome{fleet.refusedPart(), 0.0, 0.0, true};
    scenario.begin(fleet);
    fleet.run(std::chrono::seconds(5));
    fleet.resetCounts();
    fleet.run(scenario.time);
    outcome.refusedInFault = fleet.refusedPart();
    outcome.refusedByIdeal = fleet.refusedByIdealPart();
    outcome.isWithinBound = fleet.isWithinBound();
    return outcome;
}

/// All faults that demand under the rate has to be served through.
inline std::vector<QuotaScenario> quotaScenarios(std::size_t nodes)
{
    using namespace std::chrono_literals;
    const auto oneNode = [nodes](QuotaFleet &fleet) {
        std::vector<double> weights(nodes, 0.0);
        weights.back() = 1.0;
        fleet.redirect(weights);
    };
    const auto oneRegion = [nodes](QuotaFleet &fleet) {
        std::vector<double> weights(nodes, 0.0);
        for (std::size_t i = 0; i < nodes; i += 2) {
            weights[i] = 1.0;
        }
        fleet.redirect(weights);
    };
    return {
        {"calm", 0, [](QuotaFleet &) {}, 60s},
        {"lost-messages", 50, [](QuotaFleet &) {}, 60s},
        {"demand-to-one-node", 0, oneNode, 60s},
        {"demand-to-one-region", 0, oneRegion, 60s},
        {"holder-killed", 0, [](QuotaFleet &fleet) { fleet.kill(fleet.holders(0).front()); }, 30s},
        {"holder-paused", 0, [](QuotaFleet &fleet) { fleet.pause(fleet.holders(0).front(), true); }, 30s},
        {"store-down", 0, [](QuotaFleet &fleet) { fleet.fleet.runner.setStoreDown(true); }, 1h},
        {"regions-cut", 0, [](QuotaFleet &fleet) { fleet.fleet.partitionRegions(true); }, 60s},
    };
}

} // namespace banyankeel::testing

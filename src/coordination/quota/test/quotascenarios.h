#pragma once

// Fault scenarios with constant demand below the rate; measures the fraction of calls refused in each.

#include "coordination/quota/test/quotafleet.h"

#include <string>
#include <vector>

namespace banyankeel::testing
{

/// A fault and how long its effect is measured.
struct QuotaScenario {
    std::string name;
    unsigned lossPerMille;
    /// Injects the fault.
    std::function<void(QuotaFleet &fleet)> begin;
    /// How long calls are measured under the fault.
    Duration time;
};

/// The result of a scenario, as fractions of the calls.
struct QuotaOutcome {
    double refusedWithoutFault;
    /// Measured from five seconds after the fault begins.
    double refusedInFault;
    /// What a single bucket for the whole fleet would have refused of the same calls.
    double refusedByIdeal;
    bool isWithinBound;
};

/// Runs @p scenario with demand of @p load times the rate on @p nodes nodes of two regions.
inline QuotaOutcome runQuotaScenario(const QuotaScenario &scenario, std::uint64_t seed, double load, std::size_t nodes, const QuotaTestOptions &options = {})
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
    QuotaFleet fleet(seed, faults, shape, options);
    fleet.fleet.setRegionDelay(std::chrono::milliseconds(7));
    fleet.traffic({.ratePerSecond = options.rate * load, .weights = std::vector<double>(nodes, 1.0)});
    fleet.run(std::chrono::seconds(20));
    fleet.resetCounts();
    fleet.run(std::chrono::seconds(60));
    QuotaOutcome outcome{fleet.refusedFraction(), 0.0, 0.0, true};
    scenario.begin(fleet);
    fleet.run(std::chrono::seconds(5));
    fleet.resetCounts();
    fleet.run(scenario.time);
    outcome.refusedInFault = fleet.refusedFraction();
    outcome.refusedByIdeal = fleet.refusedByIdealFraction();
    outcome.isWithinBound = fleet.isWithinBound();
    return outcome;
}

/// All faults under which demand below the rate must still be served.
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

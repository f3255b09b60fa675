#pragma once

// A simulated fleet whose nodes claim and execute requests; counts the executions of each request.
//
//   ClaimFleet claims(seed, faults, shape);
//   claims.submit(0, RequestId(0, 1));

#include "coordination/claims/claimcoordinator.h"
#include "coordination/lease/test/leasefleet.h"

namespace banyankeel::testing
{

/// Options of a ClaimFleet.
struct ClaimTestOptions {
    ClaimSettings settings;
    LeaseFleet::SettingsFactory leases;
    /// Fault injection: execute a request when its claim is sent instead of when it is granted.
    bool executesBeforeGrant = false;
    /// The probability, in 1/1000, that the claimant node is killed after a grant and before execution.
    unsigned killAtGrantPerMille = 0;
};

/// Submits claims to a simulated fleet and records their results.
class ClaimFleet
{
public:
    ClaimFleet(std::uint64_t seed, const ScheduleFaults &faults, FleetShape shape, ClaimTestOptions options = {})
        : m_options(std::move(options))
        , m_coordinators(shape.nodes)
        , m_random(seededRandom(seed ^ 0xc1a1))
        , fleet(seed, faults, std::move(shape), m_options.leases, [this](std::size_t i, const Peer &self) { return makeComponents(i, self); })
    {
    }

    /// Submits @p request to node @p i. Ignored while the node is down.
    void submit(std::size_t i, const RequestId &request)
    {
        if (!fleet.isUp(i)) {
            return;
        }
        fleet.runner.act(
            fleet.id(i),
            [&](TimePoint now, Outbox &out) {
                const auto ticket = static_cast<ClaimTicket>(++m_lastTicket);
                m_requests.emplace(ticket, request);
                m_submitted[ticket] = now;
                if (m_options.executesBeforeGrant) {
                    ++executions[request];
                }
                m_coordinators[i]->claim(ticket, request, now, out);
            },
            1);
    }

    ClaimTestOptions m_options;
    std::vector<std::unique_ptr<ClaimCoordinator>> m_coordinators;
    RandomSource m_random;
    std::uint64_t m_lastTicket = 0;
    std::map<ClaimTicket, RequestId> m_requests;
    std::map<ClaimTicket, TimePoint> m_submitted;
    std::map<RequestId, int> executions;
    std::map<ClaimResult, int> results;
    int duplicateDecisions = 0;
    Duration maxLatency{};
    std::vector<std::size_t> nodesToKill;
    LeaseFleet fleet;

private:
    std::vector<Component> makeComponents(std::size_t i, const Peer &self)
    {
        ClaimHooks hooks;
        hooks.layout = [this, i] { return fleet.leases(i).layout(); };
        hooks.holderOf = [this, i](const ShardId &shard) { return fleet.leases(i).holderOf(shard); };
        hooks.heldFence = [this, i](const ShardId &shard, TimePoint now) { return fleet.leases(i).heldFence(shard, now); };
        hooks.wallClock = [this] { return WallTime(std::chrono::duration_cast<std::chrono::microseconds>(fleet.runner.now().time_since_epoch())); };
        hooks.decided = [this, i](ClaimTicket ticket, ClaimResult result) { decided(i, ticket, result); };
        m_coordinators[i] = std::make_unique<ClaimCoordinator>(self, m_options.settings, hooks);
        return {componentOf(*m_coordinators[i], ClaimCoordinator::handledTypes())};
    }

    void decided(std::size_t i, ClaimTicket ticket, ClaimResult result)
    {
        const auto it = m_requests.find(ticket);
        if (it == m_requests.end()) {
            ++duplicateDecisions;
            return;
        }
        ++results[result];
        maxLatency = std::max(maxLatency, fleet.runner.localNow(fleet.id(i)) - m_submitted[ticket]);
        if (result == ClaimResult::Granted && !m_options.executesBeforeGrant) {
            if (uniformBelow(m_random, 1000) < m_options.killAtGrantPerMille) {
                nodesToKill.push_back(i);
            } else {
                ++executions[it->second];
            }
        }
        m_requests.erase(it);
    }
};

} // namespace banyankeel::testing

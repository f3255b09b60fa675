#pragma once

// Runs the membership of a few nodes under a seeded fault schedule, with checkers for its guarantees.
//
//   MembershipFleet fleet(seed, {});
//   fleet.announce(0, TargetState::Draining);
//   fleet.run(3s);
//   fleet.checkTarget(0, TargetState::Draining, "3 s after the drain");

#include "coordination/membership/membership.h"
#include "testing/schedulerunner.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyankeel::testing
{

struct MembershipFleetOptions {
    std::size_t nodes = 6;
    /// If above the number of nodes the fleet is small; otherwise the directory is used.
    std::size_t smallFleetLimit = 64;
    MembershipRules rules = {};
    unsigned lossPerMille = 100;
};

/// Nodes in two regions with two failure domains each; all have a target of one service and subscribe to it.
class MembershipFleet
{
public:
    MembershipFleet(std::uint64_t seed, MembershipFleetOptions options);

    void run(Duration time);
    void announce(std::size_t node, TargetState state);
    /// Ends the process immediately; the host stays down.
    void stop(std::size_t node);
    /// Starts a new process of the node at the same address.
    void restart(std::size_t node);
    /// Starts a new node at the address of @p node, which never returns.
    void replace(std::size_t node);
    void isolate(std::size_t node, bool isIsolated);
    void pause(std::size_t node, bool isPaused);
    void heal();
    /// Sets the node that holds the only shard of the directory.
    void setHolder(std::size_t node);

    /// Records a violation unless all running nodes see the target of @p node in @p state.
    void checkTarget(std::size_t node, TargetState state, const std::string &when);
    /// Records a violation unless all running nodes see exactly the targets of running nodes, and in a small fleet all these nodes.
    void checkViews(const std::string &when);

    [[nodiscard]] ScheduleRunner &runner()
    {
        return m_runner;
    }
    [[nodiscard]] Membership &membership(std::size_t node)
    {
        return *m_nodes[node].membership;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_nodes.size();
    }
    [[nodiscard]] bool isRunning(std::size_t node) const
    {
        return m_nodes[node].membership != nullptr;
    }
    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return m_violations;
    }

private:
    struct Node {
        Peer peer;
        std::unique_ptr<Membership> membership;
        TargetState state = TargetState::Serving;
        std::map<NodeId, TargetRecord> seen;
    };

    void start(std::size_t node);
    void targetChanged(std::size_t node, const TargetRecord &record);
    [[nodiscard]] std::vector<Endpoint> bootstrap() const;

    ScheduleRunner m_runner;
    MembershipFleetOptions m_options;
    std::vector<Node> m_nodes;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_names = 0;
    std::optional<ShardHolder> m_holder;
    std::vector<std::string> m_violations;
};

/// Runs one schedule of faults, recovery and drains. Returns the violations.
std::vector<std::string> runMembershipSchedule(std::uint64_t seed, const MembershipFleetOptions &options);

} // namespace banyankeel::testing

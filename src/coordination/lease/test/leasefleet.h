#pragma once

// A simulated fleet driven by a ScheduleRunner. Each node runs ShardLeases and the components that a test adds.
//
//   LeaseFleet fleet(seed, faults, {.nodes = 4});
//   fleet.run(10s);

#include "coordination/lease/shardleases.h"
#include "testing/schedulerunner.h"

#include <fmt/format.h>

#include <memory>
#include <string>

namespace banyankeel::testing
{

/// The size and layout of a fleet. Nodes are assigned to the regions in turn.
struct FleetShape {
    std::size_t nodes = 4;
    ShardLayout layout{{RegionName("muc"), RegionName("nue")}, 2, 2, 1};
    /// Clock rates range from 1 - rateSpread to 1 + rateSpread.
    double rateSpread = 0.0;
    /// The number of peers in a node's view.
    std::size_t viewSize = 64;
};

/// Nodes are addressed by index. A restarted node keeps its name and endpoint and gets a higher incarnation.
class LeaseFleet
{
public:
    using ComponentFactory = std::function<std::vector<Component>(std::size_t node, const Peer &self)>;
    using SettingsFactory = std::function<LeaseSettings(std::size_t node)>;

    LeaseFleet(std::uint64_t seed, ScheduleFaults faults, FleetShape shape, SettingsFactory settings = {}, ComponentFactory components = {})
        : runner(seed, faults)
        , m_shape(std::move(shape))
        , m_settings(std::move(settings))
        , m_componentFactory(std::move(components))
        , m_seed(seed)
    {
        m_nodes.resize(m_shape.nodes);
        for (std::size_t i = 0; i < m_shape.nodes; ++i) {
            start(i);
        }
    }

    void start(std::size_t i)
    {
        Node &node = m_nodes[i];
        node.peer = std::make_unique<Peer>(peerOf(i, ++m_incarnations));
        LeaseHooks hooks;
        hooks.view = [this, i] { return viewOf(i); };
        hooks.fleetSize = [this] { return m_nodes.size(); };
        hooks.proposedLayout = [this] { return m_shape.layout; };
        const LeaseSettings settings = m_settings ? m_settings(i) : LeaseSettings{};
        node.leases = std::make_unique<ShardLeases>(*node.peer, settings, hooks, seededRandom(m_seed * 1000 + m_incarnations));
        node.isUp = true;
        std::vector<Component> components{componentOf(*node.leases, ShardLeases::handledTypes())};
        if (m_componentFactory) {
            for (Component &it : m_componentFactory(i, *node.peer)) {
                components.push_back(std::move(it));
            }
        }
        const double position = m_shape.nodes < 2 ? 0.0 : 2.0 * static_cast<double>(i) / static_cast<double>(m_shape.nodes - 1) - 1.0;
        runner.addNode(*node.peer, std::move(components), 1.0 + m_shape.rateSpread * position);
    }
    void kill(std::size_t i)
    {
        m_nodes[i].isUp = false;
        runner.removeNode(id(i));
    }
    void run(
        Duration time, const std::function<void()> &afterEachStep = [] {})
    {
        runner.runUntil(runner.now() + time, afterEachStep);
    }
    /// Cuts or restores all links between the two regions.
    void partitionRegions(bool isCut)
    {
        for (std::size_t i = 0; i < m_nodes.size(); i += 2) {
            for (std::size_t k = 1; k < m_nodes.size(); k += 2) {
                runner.cut(id(i), id(k), isCut);
            }
        }
    }

    /// Adds @p delay to all messages between the two regions.
    void setRegionDelay(Duration delay)
    {
        for (std::size_t i = 0; i < m_nodes.size(); i += 2) {
            for (std::size_t k = 1; k < m_nodes.size(); k += 2) {
                runner.setExtraDelay(id(i), id(k), delay);
            }
        }
    }

    [[nodiscard]] NodeId id(std::size_t i) const
    {
        return m_nodes[i].peer->node;
    }
    [[nodiscard]] bool isUp(std::size_t i) const
    {
        return m_nodes[i].isUp;
    }
    [[nodiscard]] const Peer &peer(std::size_t i) const
    {
        return *m_nodes[i].peer;
    }
    [[nodiscard]] ShardLeases &leases(std::size_t i)
    {
        return *m_nodes[i].leases;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_nodes.size();
    }
    /// The live nodes whose lease on @p shard is valid now.
    [[nodiscard]] std::vector<std::size_t> holders(const ShardId &shard) const
    {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].isUp && m_nodes[i].leases->heldFence(shard, runner.localNow(m_nodes[i].peer->node))) {
                found.push_back(i);
            }
        }
        return found;
    }
    /// Lists the shards that several nodes hold at once; empty if there are none.
    [[nodiscard]] std::string shardsWithSeveralHolders() const
    {
        std::string found;
        for (const ShardId &shard : m_shape.layout.all()) {
            if (holders(shard).size() > 1) {
                found += leaseKey(shard) + " ";
            }
        }
        return found;
    }
    /// The number of shards without a holder.
    [[nodiscard]] std::size_t unheldShards() const
    {
        std::size_t n = 0;
        for (const ShardId &shard : m_shape.layout.all()) {
            n += holders(shard).empty() ? 1 : 0;
        }
        return n;
    }

    ScheduleRunner runner;

private:
    struct Node {
        std::unique_ptr<Peer> peer;
        std::unique_ptr<ShardLeases> leases;
        bool isUp = false;
    };

    [[nodiscard]] Peer peerOf(std::size_t i, std::uint64_t incarnation) const
    {
        const RegionName &region = m_shape.layout.regions[i % m_shape.layout.regions.size()];
        const Endpoint endpoint("127.0.0.1", static_cast<std::uint16_t>(7000 + i));
        return {NodeId(fmt::format("node-{}", i)), Incarnation{incarnation}, {region, FailureDomainName("a")}, endpoint};
    }
    [[nodiscard]] std::vector<Peer> viewOf(std::size_t i) const
    {
        std::vector<Peer> view;
        // In a fleet larger than the view size, each node gets a different subset of the peers.
        const std::size_t count = std::min(m_nodes.size() - 1, m_shape.viewSize);
        const std::size_t stride = m_nodes.size() - 1 <= m_shape.viewSize ? 1 : 1 + i * 2;
        for (std::size_t n = 1; n <= count; ++n) {
            const std::size_t k = (i + n * stride) % m_nodes.size();
            if (k != i && m_nodes[k].isUp) {
                view.push_back(*m_nodes[k].peer);
            }
        }
        return view;
    }

    FleetShape m_shape;
    SettingsFactory m_settings;
    ComponentFactory m_componentFactory;
    std::uint64_t m_seed;
    std::uint64_t m_incarnations = 0;
    std::vector<Node> m_nodes;
};

} // namespace banyankeel::testing

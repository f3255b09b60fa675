// Measures the load of membership on nodes and on the store, in small fleets and in large ones with a directory.

#include "coordination/membership/membership.h"
#include "coordination/membership/test/membershipfleet.h"
#include "testing/schedulerunner.h"
#include "testing/seedsweep.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <malloc.h>
#include <memory>
#include <vector>

using namespace banyankeel;
using namespace std::chrono_literals;
using testing::ScheduleFaults;
using testing::ScheduleRunner;

namespace
{
constexpr std::size_t FrameBytes = 5;
constexpr std::size_t TargetsPerService = 10;
constexpr std::size_t TargetsPerShard = 64;
constexpr std::size_t CallsPerService = 4;

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Nodes that all have a target and subscribe to four services.
class ScaleFleet
{
public:
    explicit ScaleFleet(std::size_t nodes)
        : m_runner(nodes, ScheduleFaults{.lossPerMille = 0, .shortestDelay = 1ms, .longestDelay = 2ms})
        , m_services(std::max<std::size_t>(1, nodes / TargetsPerService))
        , m_shards(std::max<std::size_t>(1, nodes / TargetsPerShard))
        , m_sent(nodes)
    {
        for (std::size_t n = 0; n < nodes; ++n) {
            m_peers.push_back(peerOf(n, nodes >= 512 ? 18 : 4, nodes >= 512 ? 6 : 2));
        }
        m_memberships.resize(nodes);
        for (std::size_t n = 0; n < nodes; ++n) {
            start(n);
        }
    }

    void run(Duration time)
    {
        m_runner.runUntil(m_runner.now() + time, [] {});
    }

    void announce(std::size_t node, TargetState state)
    {
        m_announcedAt = m_runner.now();
        m_watched = m_peers[node].node;
        m_watchedState = state;
        m_latencies.clear();
        m_memberships[node]->announce(serviceOf(node), state, 90, 630);
    }

    /// Milliseconds until each subscriber received the last announce(), sorted.
    std::vector<double> latencies() const
    {
        std::vector<double> times = m_latencies;
        std::sort(times.begin(), times.end());
        return times;
    }

    ScheduleRunner &runner()
    {
        return m_runner;
    }

private:
    static Peer peerOf(std::size_t n, std::size_t domains, std::size_t regions)
    {
        const std::size_t domain = n % domains;
        return {NodeId(fmt::format("n{:05}", n)),
                Incarnation{1'700'000'000'000'000 + n},
                {RegionName(fmt::format("r{}", domain % regions)), FailureDomainName(fmt::format("d{}", domain))},
                Endpoint(fmt::format("10.0.{}.{}", n / 250, n % 250 + 1), 7000)};
    }

    ServiceName serviceOf(std::size_t n) const
    {
        return ServiceName(fmt::format("service-{:04}", n % m_services));
    }

    void start(std::size_t n)
    {
        MembershipHooks hooks;
        hooks.targetChanged = [this](const TargetRecord &record) {
            if (m_watched && record.node.node == *m_watched && record.state == m_watchedState) {
                m_latencies.push_back(std::chrono::duration<double, std::milli>(m_runner.now() - m_announcedAt).count());
            }
        };
        hooks.holder = [this](ShardId shard) { return std::optional(ShardHolder{shard, m_peers[shard.index % m_peers.size()], Fence{1}}); };
        hooks.directoryShards = [this] { return static_cast<std::uint16_t>(m_shards); };
        const MembershipSettings settings{.self = m_peers[n], .bootstrap = {m_peers[0].endpoint, m_peers[1].endpoint, m_peers[n / 2].endpoint}};
        m_memberships[n] = std::make_unique<Membership>(settings, hooks, m_runner.random());
        m_memberships[n]->announce(serviceOf(n), TargetState::Serving, 90, 630);
        for (std::size_t call = 1; call <= CallsPerService; ++call) {
            m_memberships[n]->subscribe(serviceOf(n + call));
        }
        m_runner.addNode(m_peers[n], {componentOf(*m_memberships[n], Membership::handledTypes())});
    }

    ScheduleRunner m_runner;
    std::size_t m_services;
    std::size_t m_shards;
    std::vector<std::size_t> m_sent;
    std::vector<Peer> m_peers;
    std::vector<std::unique_ptr<Membership>> m_memberships;
    std::optional<NodeId> m_watched;
    TargetState m_watchedState = TargetState::Serving;
    TimePoint m_announcedAt;
    std::vector<double> m_latencies;
};

void measureFleet(std::size_t nodes)
{
    constexpr Duration WarmUp = 20s;
    constexpr double Seconds = 20;
    const auto memoryBefore = mallinfo2().uordblks;
    ScaleFleet fleet(nodes);
    fleet.run(WarmUp);
    const auto messages = fleet.runner().deliveredMessages();
    const auto bytes = fleet.runner().deliveredBytes();
    const auto usage = fleet.runner().store().usage();
    const double begin = processorSeconds();
    fleet.run(20s);
    const double spent = processorSeconds() - begin;
    const double memory = static_cast<double>(mallinfo2().uordblks - memoryBefore) / 1e6;
    const auto received = static_cast<double>(fleet.runner().deliveredMessages() - messages);
    const auto receivedBytes = static_cast<double>(fleet.runner().deliveredBytes() - bytes) + received * FrameBytes;
    const double perNode = Seconds * static_cast<double>(nodes);
    const auto usageAfter = fleet.runner().store().usage();
    fleet.announce(nodes / 3, TargetState::Draining);
    fleet.run(3s);
    const std::vector<double> latencies = fleet.latencies();
    // Each message is sent once and received once, so a node's traffic is twice the average received.
    fmt::print("bench case=membership nodes={} bytes_per_s={:.0f} messages_per_s={:.1f} cpu_percent={:.3f} memory_mb={:.2f} store_reads_per_s={:.2f} "
               "store_writes_per_s={:.2f} drain_noticed={} drain_max_ms={:.0f}\n",
               nodes,
               2 * receivedBytes / perNode,
               2 * received / perNode,
               100 * spent / perNode,
               memory / static_cast<double>(nodes),
               static_cast<double>(usageAfter.reads - usage.reads) / Seconds,
               static_cast<double>(usageAfter.writes - usage.writes) / Seconds,
               latencies.size(),
               latencies.empty() ? 0.0 : latencies.back());
}

void measureSchedules(std::size_t smallFleetLimit, const char *name)
{
    constexpr std::uint64_t FirstSeed = 10'001;
    constexpr std::uint64_t Seeds = 1'000;
    const auto schedule = [smallFleetLimit](std::uint64_t seed) { return testing::runMembershipSchedule(seed, {.smallFleetLimit = smallFleetLimit}); };
    const testing::SeedSweep sweep = testing::sweepSeeds(FirstSeed, Seeds, 6s, schedule);
    fmt::print("bench case=membership_schedules_{} seeds={} violations={}\n", name, sweep.seeds, sweep.violations);
}
} // namespace

int main()
{
    for (const std::size_t nodes : {8, 64, 256, 512}) {
        measureFleet(nodes);
    }
    measureSchedules(64, "small");
    measureSchedules(1, "directory");
    return 0;
}

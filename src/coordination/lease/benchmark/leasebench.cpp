// Measures the message and store load of leases in fleets of several sizes, and runs randomized fault schedules.

#include "coordination/lease/test/leaseschedule.h"

#include <fmt/core.h>

#include <atomic>
#include <thread>

namespace
{
using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

constexpr std::uint64_t Schedules = 700;
constexpr unsigned Threads = 3;

struct FleetSize {
    std::size_t nodes;
    std::uint16_t quotaShards;
    Duration warmUp;
    Duration measured;
};

void measureFleet(const FleetSize &size)
{
    FleetShape shape;
    shape.nodes = size.nodes;
    shape.layout = {{RegionName("muc"), RegionName("nue")}, size.quotaShards, size.quotaShards, size.quotaShards};
    shape.viewSize = 30;
    LeaseFleet fleet(1, {}, shape);
    fleet.run(size.warmUp);
    const StoreUsage afterWarmUp = fleet.runner.store().usage();
    const std::uint64_t messages = fleet.runner.deliveredMessages();
    const std::uint64_t bytes = fleet.runner.deliveredBytes();
    fleet.run(size.measured);
    const StoreUsage used = fleet.runner.store().usage();
    const double seconds = std::chrono::duration<double>(size.measured).count();
    const double nodeSeconds = seconds * static_cast<double>(size.nodes);
    fmt::print("bench case=lease-fleet nodes={} shards={} orphans={} cold_reads={} cold_writes={} store_reads_per_s={:.1f} store_writes_per_s={:.2f} "
               "messages_per_node_per_s={:.3f} bytes_per_node_per_s={:.1f}\n",
               size.nodes,
               shape.layout.all().size(),
               fleet.unheldShards(),
               afterWarmUp.reads,
               afterWarmUp.writes,
               static_cast<double>(used.reads - afterWarmUp.reads) / seconds,
               static_cast<double>(used.writes - afterWarmUp.writes) / seconds,
               static_cast<double>(fleet.runner.deliveredMessages() - messages) / nodeSeconds,
               static_cast<double>(fleet.runner.deliveredBytes() - bytes) / nodeSeconds);
}

void runSchedules()
{
    std::atomic<std::uint64_t> next = 1;
    std::atomic<std::uint64_t> failed = 0;
    const auto work = [&] {
        for (std::uint64_t seed = next++; seed <= Schedules; seed = next++) {
            if (!runLeaseSchedule(seed, {}, 4min).empty()) {
                ++failed;
                fmt::print("failed schedule: lease seed {}\n", seed);
            }
        }
    };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < Threads; ++i) {
        threads.emplace_back(work);
    }
    for (std::thread &it : threads) {
        it.join();
    }
    fmt::print("bench case=lease-schedules schedules={} failed={}\n", Schedules, failed.load());
}
} // namespace

int main()
{
    measureFleet({8, 8, 40s, 60s});
    measureFleet({64, 8, 40s, 30s});
    measureFleet({512, 8, 40s, 10s});
    runSchedules();
    return 0;
}

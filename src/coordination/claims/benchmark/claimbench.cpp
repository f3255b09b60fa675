// Measures claim throughput and added latency on a store limited to 300 writes per second, with one insert per claim and with
// batches committed under a fence. Also runs randomized fault schedules.

#include "coordination/claims/test/claimschedule.h"

#include <fmt/core.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <thread>

namespace
{
using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

constexpr double WritesPerSecond = 300.0;
constexpr Duration StoreRoundTrip = 4ms;
constexpr Duration TimeStep = 1ms;
constexpr Duration MeasuredTime = 5s;
constexpr std::uint16_t Shards = 8;
constexpr std::uint64_t Schedules = 1000;
constexpr unsigned Threads = 3;

std::uint64_t countWrites(const StoreRequest &request)
{
    const auto *write = std::get_if<WriteRows>(&request);
    if (write == nullptr) {
        return 0;
    }
    return static_cast<std::uint64_t>(
        std::count_if(write->writes.begin(), write->writes.end(), [](const RowWrite &it) { return it.action != RowAction::Check; }));
}

// A store that serves writes sequentially at a rate of WritesPerSecond.
class RateLimitedStore
{
public:
    /// Returns the time at which the reply to @p request, sent at @p now, arrives.
    TimePoint replyTime(const StoreRequest &request, TimePoint now)
    {
        const std::uint64_t writes = countWrites(request);
        m_writes += writes;
        const double seconds = static_cast<double>(writes) / WritesPerSecond;
        m_freeAt = std::max(m_freeAt, now) + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        return m_freeAt + StoreRoundTrip;
    }
    StoreReply apply(const StoreRequest &request)
    {
        return m_store.apply(request);
    }
    [[nodiscard]] std::uint64_t writes() const
    {
        return m_writes;
    }

private:
    MemoryStore m_store;
    TimePoint m_freeAt{};
    std::uint64_t m_writes = 0;
};

struct Latencies {
    std::vector<Duration> values;

    void print(const char *name, double offered, std::uint64_t writes)
    {
        std::sort(values.begin(), values.end());
        const auto at = [this](double quantile) {
            const auto i = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
            return values.empty() ? 0.0 : std::chrono::duration<double, std::milli>(values[i]).count();
        };
        const double seconds = std::chrono::duration<double>(MeasuredTime).count();
        fmt::print("bench case={} offered_per_s={:.0f} granted_per_s={:.0f} store_writes_per_s={:.0f} p50_ms={:.1f} p99_ms={:.1f}\n",
                   name,
                   offered,
                   static_cast<double>(values.size()) / seconds,
                   static_cast<double>(writes) / seconds,
                   at(0.5),
                   at(0.99));
    }
};

void measureInserts(double offered)
{
    RateLimitedStore store;
    Latencies latencies;
    const StoreRequest insert = WriteRows{{{{"claims", "x"}, RowAction::Put, std::nullopt, "x"}}};
    const auto n = static_cast<std::uint64_t>(offered * std::chrono::duration<double>(MeasuredTime).count());
    for (std::uint64_t i = 0; i < n; ++i) {
        const TimePoint now{std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(i) / offered))};
        const TimePoint done = store.replyTime(insert, now);
        if (done <= TimePoint(MeasuredTime)) {
            latencies.values.push_back(done - now);
        }
    }
    latencies.print("claims-one-insert-each", offered, latencies.values.size());
}

// A claim shard of one holder, with its store request in flight.
struct SimulatedHolder {
    std::unique_ptr<ClaimShard> shard;
    std::optional<StoreRequest> request;
    TimePoint due{};
};

void stepHolder(SimulatedHolder &holder, RateLimitedStore &store, TimePoint now)
{
    if (holder.request && now >= holder.due) {
        const StoreReply reply = store.apply(*holder.request);
        holder.request.reset();
        holder.shard->handleReply(reply, now);
    }
    if (!holder.request) {
        holder.request = holder.shard->step(now);
        holder.due = holder.request ? store.replyTime(*holder.request, now) : now;
    }
}

void measureBatches(double offered)
{
    const Peer self{NodeId("holder"), Incarnation{1}, {RegionName("muc"), FailureDomainName("a")}, Endpoint("127.0.0.1", 7000)};
    const ClaimSettings settings;
    RateLimitedStore store;
    TimePoint now{};
    std::vector<SimulatedHolder> holders(Shards);
    for (std::uint16_t i = 0; i < Shards; ++i) {
        const auto clock = [&now] { return WallTime(std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch())); };
        holders[i].shard = std::make_unique<ClaimShard>(ShardId{ShardKind::Claims, i}, Fence{1}, self, settings, clock);
    }
    Latencies latencies;
    std::vector<TimePoint> submittedAt;
    const TimePoint begin = now + 1s;
    std::uint64_t writesBefore = 0;
    double due = 0.0;
    for (; now < begin + MeasuredTime; now += TimeStep) {
        if (now >= begin) {
            writesBefore = writesBefore == 0 ? store.writes() : writesBefore;
            for (due += offered * std::chrono::duration<double>(TimeStep).count(); due >= 1.0; due -= 1.0) {
                const std::uint64_t n = submittedAt.size();
                submittedAt.push_back(now);
                holders[n % Shards].shard->submit({self, {static_cast<ClaimTicket>(n), RequestId(n, n)}}, now);
            }
        }
        for (SimulatedHolder &holder : holders) {
            stepHolder(holder, store, now);
            for (const DecidedClaim &it : holder.shard->takeDecided()) {
                latencies.values.push_back(now - submittedAt[static_cast<std::size_t>(it.verdict.ticket)]);
            }
        }
    }
    latencies.print("claims-fenced-batches", offered, store.writes() - writesBefore);
}

void runSchedules()
{
    std::atomic<std::uint64_t> next = 1;
    std::atomic<std::uint64_t> failed = 0;
    const auto work = [&] {
        for (std::uint64_t seed = next++; seed <= Schedules; seed = next++) {
            const ClaimScheduleOutcome outcome =
                runClaimSchedule(seed, {.settings = {}, .leases = {}, .executesBeforeGrant = false, .killAtGrantPerMille = 20}, 60s);
            if (outcome.maxExecutions > 1 || outcome.duplicateDecisions != 0) {
                ++failed;
                fmt::print("failed schedule: claims seed {}\n", seed);
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
    fmt::print("bench case=claims-schedules schedules={} failed={}\n", Schedules, failed.load());
}
} // namespace

int main()
{
    for (const double offered : {100.0, 270.0, 600.0}) {
        measureInserts(offered);
    }
    for (const double offered : {100.0, 1000.0, 10'000.0, 40'000.0, 80'000.0}) {
        measureBatches(offered);
    }
    runSchedules();
    return 0;
}

// Measures what configuration replication costs a node and the store, and how long it takes to apply a publish on all nodes.

#include "coordination/configuration/benchmark/largeset.h"
#include "coordination/configuration/configurationreplicator.h"
#include "coordination/configuration/keysecret.h"
#include "coordination/configuration/keytable.h"
#include "coordination/configuration/publishoperation.h"
#include "coordination/configuration/routetable.h"
#include "coordination/configuration/test/replicatorfleet.h"
#include "testing/schedulerunner.h"
#include "testing/seedsweep.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <malloc.h>
#include <memory>
#include <set>
#include <vector>

using namespace banyankeel;
using namespace banyankeel::benchmark;
using namespace std::chrono_literals;
using testing::ScheduleFaults;
using testing::ScheduleRunner;

namespace
{
constexpr std::size_t FrameHeaderBytes = 5;
constexpr double ChangesPerSecond = 72'000.0 / 86'400.0;
constexpr std::size_t BytesPerMegabyte = 1'000'000;

double cpuTimeSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double usedMegabytes()
{
    return static_cast<double>(mallinfo2().uordblks) / BytesPerMegabyte;
}

template<typename Action>
double millisecondsFor(const Action &action)
{
    constexpr int Repeats = 5;
    const double begin = cpuTimeSeconds();
    for (int n = 0; n < Repeats; ++n) {
        action();
    }
    return (cpuTimeSeconds() - begin) * 1000 / Repeats;
}

void measureSet()
{
    const SetSize size;
    const double before = usedMegabytes();
    const ConfigurationSet set = largeSet(size);
    const double memory = usedMegabytes() - before;
    const SetDigest digest = digestOf(set);
    const ConfigurationChange change = typicalChange(size, 0);
    const KeyTable keys(set);
    const double withTime = millisecondsFor([&] { return set.with(change, 2); });
    const double digestTime = millisecondsFor([&] { return digestOf(set); });
    const double keyTime = millisecondsFor([&] { return KeyTable(set, &keys); });
    const double routeTime = millisecondsFor([&] { return RouteTable(set); });
    const KeySecret secret = KeySecret::generate(KeyId("desk"), OrganisationId("lufthafen"), seededRandom(1));
    const KeyTable tableWithKey(set.with({.put = {secret.key()}, .removed = {}}, 2));
    constexpr int Lookups = 10'000;
    const double lookupTime = millisecondsFor([&] {
        for (int n = 0; n < Lookups; ++n) {
            static_cast<void>(tableWithKey.lookUp(secret.text()));
        }
    });
    fmt::print("bench case=set services={} organisations={} keys={} objects={} encoded_bytes={} memory_mb={:.1f}\n",
               size.services,
               size.organisations,
               size.keys,
               set.objects().size(),
               encodeSnapshot(set, digest).size(),
               memory);
    fmt::print("bench case=set_costs with_ms={:.2f} digest_ms={:.2f} key_table_ms={:.2f} route_table_ms={:.2f} key_lookup_us={:.2f}\n",
               withTime,
               digestTime,
               keyTime,
               routeTime,
               lookupTime * 1000 / Lookups);
}

/// Nodes in several failure domains, each with a bounded view of its peers as membership provides it.
class ScaleFleet
{
public:
    ScaleFleet(std::size_t nodes, unsigned lossPerMille, const ConfigurationReplicatorSettings &settings)
        : m_runner(nodes, ScheduleFaults{.lossPerMille = lossPerMille, .shortestDelay = 50us, .longestDelay = 500us})
        , m_domains(nodes >= 512 ? 18 : 4)
        , m_regions(nodes >= 512 ? 6 : 2)
    {
        m_runner.setLatency([this](const Peer &from, const Peer &to) -> Duration {
            if (from.place.region == to.place.region) {
                return 1ms;
            }
            ++m_crossRegionMessages;
            return 8ms;
        });
        for (std::size_t n = 0; n < nodes; ++n) {
            m_peers.push_back(peerOf(n));
        }
        m_replicators.resize(nodes);
        m_applied.resize(nodes);
        for (std::size_t n = 0; n < nodes; ++n) {
            addNode(n, settings);
        }
    }

    void publish(const ConfigurationChange &change)
    {
        PublishOperation operation({.operation = OperationId(fmt::format("op{}", ++m_operations)), .author = "bench", .time = {}},
                                   m_set,
                                   change,
                                   [](const ConfigurationSet &) { return std::vector<std::string>(); });
        std::optional<StoreRequest> request = operation.start();
        while (request) {
            request = operation.advance(m_runner.store().apply(*request));
        }
        m_set = operation.set();
        m_acceptedAt = m_runner.now();
    }

    void run(Duration time)
    {
        m_runner.runUntil(m_runner.now() + time, [] {});
    }

    /// Milliseconds from the acceptance of the last publish until each node that has it applied it, sorted.
    std::vector<double> applyTimes() const
    {
        std::vector<double> times;
        for (const auto &applied : m_applied) {
            if (applied.revision == m_set.revision()) {
                times.push_back(std::chrono::duration<double, std::milli>(applied.time - m_acceptedAt).count());
            }
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    ScheduleRunner &runner()
    {
        return m_runner;
    }
    /// Number of messages sent between regions so far.
    std::uint64_t crossRegionMessages() const
    {
        return m_crossRegionMessages;
    }

private:
    struct Applied {
        Revision revision = 0;
        TimePoint time;
    };

    Peer peerOf(std::size_t n) const
    {
        const std::size_t domain = n % m_domains;
        return {NodeId(fmt::format("n{:05}", n)),
                Incarnation{1},
                {RegionName(fmt::format("r{}", domain % m_regions)), FailureDomainName(fmt::format("d{}", domain))},
                Endpoint(fmt::format("10.0.{}.{}", n / 250, n % 250 + 1), 7000)};
    }

    std::vector<Peer> viewOf(std::size_t self) const
    {
        constexpr std::size_t Own = 32;
        constexpr std::size_t Others = 20;
        std::set<std::size_t> chosen;
        const std::size_t perDomain = m_peers.size() / m_domains;
        const RandomSource &random = m_runner.random();
        for (std::size_t n = 0; n < std::min(Own, perDomain) * 2; ++n) {
            chosen.insert(self % m_domains + m_domains * uniformBelow(random, perDomain));
        }
        while (chosen.size() > Own) {
            chosen.erase(std::next(chosen.begin(), static_cast<std::ptrdiff_t>(uniformBelow(random, chosen.size()))));
        }
        for (std::size_t n = 0; n < Others; ++n) {
            chosen.insert(uniformBelow(random, m_peers.size()));
        }
        chosen.erase(self);
        std::vector<Peer> view;
        view.reserve(chosen.size());
        for (const std::size_t n : chosen) {
            view.push_back(m_peers[n]);
        }
        return view;
    }

    void addNode(std::size_t n, ConfigurationReplicatorSettings settings)
    {
        settings.self = m_peers[n];
        ConfigurationReplicatorHooks hooks;
        hooks.peers = [view = viewOf(n)] { return view; };
        hooks.applied = [this, n](const ConfigurationSet &set) { m_applied[n] = {set.revision(), m_runner.now()}; };
        m_replicators[n] = std::make_unique<ConfigurationReplicator>(settings, hooks, m_runner.random());
        m_runner.addNode(m_peers[n], {componentOf(*m_replicators[n], ConfigurationReplicator::handledTypes())});
    }

    ScheduleRunner m_runner;
    std::size_t m_domains;
    std::size_t m_regions;
    std::vector<Peer> m_peers;
    std::vector<std::unique_ptr<ConfigurationReplicator>> m_replicators;
    std::vector<Applied> m_applied;
    ConfigurationSet m_set;
    TimePoint m_acceptedAt;
    std::uint64_t m_operations = 0;
    std::uint64_t m_crossRegionMessages = 0;
};

void measureApplyTime(const char *name,
                      std::size_t nodes,
                      unsigned lossPerMille,
                      int publishes,
                      const ConfigurationReplicatorSettings &settings = testing::ReplicatorFleet::defaultSettings())
{
    ScaleFleet fleet(nodes, lossPerMille, settings);
    const SetSize size = sizeForNodes(8);
    fleet.run(3s);
    std::vector<double> times;
    std::size_t missing = 0;
    const auto messages = fleet.runner().deliveredMessages();
    const auto bytes = fleet.runner().deliveredBytes();
    const auto reads = fleet.runner().store().usage().reads;
    const auto crossRegionMessages = fleet.crossRegionMessages();
    const TimePoint begin = fleet.runner().now();
    for (int n = 0; n < publishes; ++n) {
        fleet.run(std::chrono::milliseconds(uniformBelow(fleet.runner().random(), 500)));
        fleet.publish(typicalChange(size, static_cast<std::uint64_t>(n)));
        fleet.run(1200ms);
        const std::vector<double> publishTimes = fleet.applyTimes();
        missing += nodes - publishTimes.size();
        times.insert(times.end(), publishTimes.begin(), publishTimes.end());
    }
    std::sort(times.begin(), times.end());
    const double seconds = std::chrono::duration<double>(fleet.runner().now() - begin).count();
    const double perNode = seconds * static_cast<double>(nodes);
    const auto received = static_cast<double>(fleet.runner().deliveredMessages() - messages);
    const auto receivedBytes = static_cast<double>(fleet.runner().deliveredBytes() - bytes) + received * FrameHeaderBytes;
    fmt::print("bench case={} nodes={} loss_percent={} publishes={} p50_ms={:.0f} p99_ms={:.0f} max_ms={:.0f} later_than_1200ms={} "
               "received_messages_per_s={:.1f} received_bytes_per_s={:.0f} fleet_messages_between_regions_per_s={:.1f} store_reads_per_s={:.1f}\n",
               name,
               nodes,
               lossPerMille / 10,
               publishes,
               times.empty() ? 0.0 : times[times.size() / 2],
               times.empty() ? 0.0 : times[times.size() * 99 / 100],
               times.empty() ? 0.0 : times.back(),
               missing,
               received / perNode,
               receivedBytes / perNode,
               static_cast<double>(fleet.crossRegionMessages() - crossRegionMessages) / seconds,
               static_cast<double>(fleet.runner().store().usage().reads - reads) / seconds);
}

/// The same fleet with alternatives to the default settings.
void measureAlternatives()
{
    constexpr std::size_t Nodes = 512;
    ConfigurationReplicatorSettings announceOnly = testing::ReplicatorFleet::defaultSettings();
    announceOnly.maxEagerPushBytes = 0;
    measureApplyTime("spread_announce_and_pull", Nodes, 100, 3, announceOnly);
    ConfigurationReplicatorSettings smallFanout = testing::ReplicatorFleet::defaultSettings();
    smallFanout.fanout = 2;
    measureApplyTime("spread_fanout_2", Nodes, 100, 3, smallFanout);
    ConfigurationReplicatorSettings largeFanout = testing::ReplicatorFleet::defaultSettings();
    largeFanout.fanout = 8;
    measureApplyTime("spread_fanout_8", Nodes, 100, 3, largeFanout);
}

/// Operators that read the same head and then write one after another.
void measureConcurrentPublishes(bool isRebased)
{
    constexpr int Rounds = 500;
    constexpr std::size_t Operators = 4;
    constexpr std::uint64_t Objects = 50;
    testing::MemoryStore store;
    const RandomSource random = seededRandom(1);
    ConfigurationSet set;
    std::size_t accepted = 0;
    std::size_t operations = 0;
    const ConfigurationCheck check = [](const ConfigurationSet &) { return std::vector<std::string>(); };
    for (int round = 0; round < Rounds; ++round) {
        std::vector<PublishOperation> concurrent;
        std::vector<std::optional<StoreRequest>> requests;
        for (std::size_t n = 0; n < Operators; ++n) {
            PublishSettings settings{.operation = OperationId(fmt::format("op{}", ++operations)), .author = "bench", .time = {}};
            settings.isRebased = isRebased;
            const PriorityName name(fmt::format("level-{}", uniformBelow(random, Objects)));
            const ConfigurationChange change{.put = {Priority{name, static_cast<PriorityLevel>(operations % 250)}}, .removed = {}};
            concurrent.emplace_back(settings, set, change, check);
            requests.push_back(concurrent.back().advance(store.apply(concurrent.back().start())));
        }
        for (std::size_t n = 0; n < Operators; ++n) {
            while (requests[n]) {
                requests[n] = concurrent[n].advance(store.apply(*requests[n]));
            }
            accepted += std::holds_alternative<PublishAccepted>(concurrent[n].outcome()) ? 1 : 0;
            set = concurrent[n].set().revision() > set.revision() ? concurrent[n].set() : set;
        }
    }
    fmt::print("bench case=racing_publishes rebased={} operators={} objects={} accepted_percent={:.1f} reads_per_publish={:.2f} writes_per_publish={:.2f}\n",
               isRebased ? 1 : 0,
               Operators,
               Objects,
               100.0 * static_cast<double>(accepted) / static_cast<double>(operations),
               static_cast<double>(store.usage().reads) / static_cast<double>(operations),
               static_cast<double>(store.usage().writes) / static_cast<double>(operations));
}

/// One replicator under the message load that it has in a fleet: copies of heartbeats and changes from the fanout of its peers, and its
/// share of the revision comparisons.
class SingleNode
{
public:
    explicit SingleNode(std::size_t nodes)
        : m_size(sizeForNodes(nodes))
        , m_random(seededRandom(nodes))
    {
        for (std::size_t n = 0; n < std::min<std::size_t>(nodes, 53); ++n) {
            m_peers.push_back({NodeId(fmt::format("n{:05}", n)),
                               Incarnation{1'700'000'000'000'000},
                               {RegionName("r0"), FailureDomainName(n < 33 ? "d0" : "d1")},
                               Endpoint(fmt::format("10.0.0.{}", n + 1), 7000)});
        }
        ConfigurationReplicatorSettings settings{.self = m_peers.front()};
        ConfigurationReplicatorHooks hooks;
        hooks.peers = [this] { return std::vector<Peer>(m_peers.begin() + 1, m_peers.end()); };
        hooks.applied = [this](const ConfigurationSet &set) {
            m_keys = std::make_shared<const KeyTable>(set, m_keys.get());
            m_routes = RouteTable::reuseOrBuild(set, m_routes);
        };
        m_replicator = std::make_unique<ConfigurationReplicator>(settings, hooks, m_random);
        m_set = largeSet(m_size);
        m_digest = digestOf(m_set);
        m_replicator->applyPublished({.base = 0, .changes = {ConfigurationSet().changeTo(m_set)}, .digest = m_digest}, m_now, m_out);
        m_set = ConfigurationSet();
        completeStartup();
    }

    void run(int seconds)
    {
        constexpr int TicksPerSecond = 10;
        constexpr double Copies = 4;
        for (int n = 0; n < seconds * TicksPerSecond; ++n) {
            m_now += 100ms;
            runWhenDue(m_changes, ChangesPerSecond / TicksPerSecond, [this] { change(static_cast<int>(Copies)); });
            runWhenDue(m_heartbeats, 2 / 0.75 / TicksPerSecond, [this] { heartbeat(static_cast<int>(Copies)); });
            runWhenDue(m_asks, 0.5 / TicksPerSecond, [this] { receive(digest(DigestKind::Ask)); });
            Outbox out;
            m_replicator->tick(m_now, out);
            count(out);
        }
    }

    [[nodiscard]] std::uint64_t messages() const
    {
        return m_messages;
    }
    [[nodiscard]] std::uint64_t bytes() const
    {
        return m_bytes;
    }
    [[nodiscard]] Revision revision() const
    {
        return m_replicator->current().revision();
    }

private:
    template<typename Action>
    void runWhenDue(double &credit, double fraction, const Action &action)
    {
        credit += fraction;
        while (credit >= 1) {
            credit -= 1;
            action();
        }
    }

    // Other nodes are the readers: their heartbeats keep this node from polling the store.
    void completeStartup()
    {
        heartbeat(1);
        Outbox out;
        m_replicator->tick(m_now, out);
        for (const StoreCall &call : out.storeCalls()) {
            Outbox after;
            const Row head{headKey(), HeadRow{1, m_digest}.encode(), 1};
            m_replicator->storeReplied(call.ticket, RowsRead{{head}}, m_now, after);
        }
    }

    ConfigurationDigest digest(DigestKind kind) const
    {
        return {.kind = kind,
                .revision = m_replicator->current().revision(),
                .digest = m_digest,
                .isReady = true,
                .confirmedAge = 100ms,
                .askedAt = m_now.time_since_epoch(),
                .heartbeat = std::nullopt};
    }

    void heartbeat(int copies)
    {
        ++m_sequence;
        ConfigurationDigest message = digest(DigestKind::Heartbeat);
        const std::size_t reader = 1 + m_sequence % 2;
        message.heartbeat = ReaderHeartbeat{m_peers[std::min(reader, m_peers.size() - 1)].node, Incarnation{1'700'000'000'000'000}, m_sequence, false};
        for (int n = 0; n < copies; ++n) {
            receive(message);
        }
    }

    void change(int copies)
    {
        const ConfigurationChange next = typicalChange(m_size, ++m_changeCount);
        m_digest = m_digest.after(m_replicator->current(), next);
        const ConfigurationDelta delta{.base = m_replicator->current().revision(), .changes = {next}, .digest = m_digest};
        for (int n = 0; n < copies; ++n) {
            receive(delta);
        }
    }

    template<typename Message>
    void receive(const Message &message)
    {
        Outbox out;
        const std::size_t from = 1 + uniformBelow(m_random, m_peers.size() - 1);
        const Envelope envelope = message.encode();
        m_bytes += envelope.payload.size() + FrameHeaderBytes;
        ++m_messages;
        m_replicator->receive(m_peers[from], envelope, m_now, out);
        count(out);
    }

    void count(const Outbox &out)
    {
        for (const OutgoingMessage &message : out.messages()) {
            ++m_messages;
            m_bytes += message.envelope.payload.size() + FrameHeaderBytes;
        }
    }

    SetSize m_size;
    RandomSource m_random;
    std::vector<Peer> m_peers;
    std::unique_ptr<ConfigurationReplicator> m_replicator;
    std::shared_ptr<const KeyTable> m_keys;
    std::shared_ptr<const RouteTable> m_routes;
    ConfigurationSet m_set;
    SetDigest m_digest;
    TimePoint m_now = TimePoint(1s);
    Outbox m_out;
    double m_changes = 0;
    double m_heartbeats = 0;
    double m_asks = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_changeCount = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
};

void measureOneNode(std::size_t nodes)
{
    constexpr int Seconds = 120;
    const double before = usedMegabytes();
    SingleNode node(nodes);
    node.run(10);
    const auto messages = node.messages();
    const auto bytes = node.bytes();
    const Revision revision = node.revision();
    const double begin = cpuTimeSeconds();
    node.run(Seconds);
    const double cpuSeconds = cpuTimeSeconds() - begin;
    fmt::print("bench case=spread nodes={} bytes_per_s={:.0f} messages_per_s={:.1f} cpu_percent={:.3f} memory_mb={:.1f} changes_per_s={:.2f}\n",
               nodes,
               static_cast<double>(node.bytes() - bytes) / Seconds,
               static_cast<double>(node.messages() - messages) / Seconds,
               100 * cpuSeconds / Seconds,
               usedMegabytes() - before,
               static_cast<double>(node.revision() - revision) / Seconds);
}

void measureSchedules()
{
    constexpr std::uint64_t FirstSeed = 10'001;
    constexpr std::uint64_t Seeds = 1'500;
    const auto schedule = [](std::uint64_t seed) { return testing::runReplicatorSchedule(seed, {}, testing::ReplicatorFleet::defaultSettings()); };
    const testing::SeedSweep sweep = testing::sweepSeeds(FirstSeed, Seeds, 10s, schedule);
    fmt::print("bench case=spread_schedules seeds={} violations={}\n", sweep.seeds, sweep.violations);
}
} // namespace

int main()
{
    measureSet();
    measureApplyTime("publish_to_force", 8, 0, 20);
    measureApplyTime("publish_to_force", 8, 100, 20);
    measureApplyTime("publish_to_force", 64, 0, 10);
    measureApplyTime("publish_to_force", 64, 100, 10);
    measureApplyTime("publish_to_force", 512, 0, 3);
    measureApplyTime("publish_to_force", 512, 100, 3);
    measureApplyTime("publish_to_force", 4'096, 100, 2);
    measureAlternatives();
    measureConcurrentPublishes(true);
    measureConcurrentPublishes(false);
    for (const std::size_t nodes : {8, 64, 512, 4'096, 33'000}) {
        measureOneNode(nodes);
    }
    measureSchedules();
    return 0;
}

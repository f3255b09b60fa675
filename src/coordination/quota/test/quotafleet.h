#pragma once

// A simulated fleet with random calls of one organisation, and a check of the bound on granted calls.
//
//   QuotaFleet fleet(seed, faults, shape);
//   fleet.traffic({.ratePerSecond = 35, .weights = {1, 1, 1, 1}});
//   fleet.run(60s);
//   BOOST_CHECK(fleet.isWithinBound());

#include "coordination/lease/test/leasefleet.h"
#include "coordination/quota/quotaledger.h"

#include <cmath>

namespace banyankeel::testing
{

/// Checks that at most rate * t + burst calls are granted in any interval of t seconds.
class BoundChecker
{
public:
    BoundChecker(double rate, double burst)
        : m_rate(rate)
        , m_burst(burst)
    {
    }
    /// Equivalent to a leaky bucket: the bound holds over every interval if and only if the level never exceeds the burst.
    void granted(TimePoint now)
    {
        const double elapsed = std::chrono::duration<double>(now - m_last).count();
        m_level = std::max(0.0, m_level - elapsed * m_rate) + 1.0;
        m_last = now;
        m_maxLevel = std::max(m_maxLevel, m_level);
    }
    [[nodiscard]] bool isHeld() const
    {
        constexpr double RoundingError = 1e-6;
        return m_maxLevel <= m_burst + RoundingError;
    }

private:
    double m_rate;
    double m_burst;
    double m_level = 0.0;
    double m_maxLevel = 0.0;
    TimePoint m_last{};
};

/// A single token bucket for all calls of the fleet, for comparison.
class IdealBucket
{
public:
    IdealBucket(double rate, double burst)
        : m_rate(rate)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }
    bool tryConsume(TimePoint now)
    {
        m_tokens = std::min(m_burst, m_tokens + std::chrono::duration<double>(now - m_last).count() * m_rate);
        m_last = now;
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_rate;
    double m_burst;
    double m_tokens;
    TimePoint m_last{};
};

/// Calls of one organisation, distributed over the live nodes by weight.
struct Traffic {
    double ratePerSecond = 35.0;
    std::vector<double> weights;
};

struct QuotaTestOptions {
    QuotaSettings settings;
    LeaseFleet::SettingsFactory leases;
    double rate = 50.0;
    double burst = 50.0;
};

class QuotaFleet
{
public:
    QuotaFleet(std::uint64_t seed, const ScheduleFaults &faults, FleetShape shape, QuotaTestOptions options = {})
        : m_options(std::move(options))
        , m_ledgers(shape.nodes)
        , m_paused(shape.nodes, false)
        , m_random(seededRandom(seed ^ 0x900a))
        , m_checker(m_options.rate, m_options.burst)
        , m_ideal(m_options.rate, m_options.burst)
        , m_set(setOf(m_options))
        , fleet(seed, faults, std::move(shape), m_options.leases, [this](std::size_t i, const Peer &self) { return makeComponents(i, self); })
    {
    }

    void traffic(Traffic traffic)
    {
        m_traffic = std::move(traffic);
    }
    /// Changes the distribution of the calls over the nodes.
    void redirect(std::vector<double> weights)
    {
        m_traffic.weights = std::move(weights);
    }
    void pause(std::size_t i, bool isPaused)
    {
        m_paused[i] = isPaused;
        fleet.runner.pause(fleet.id(i), isPaused);
    }
    void kill(std::size_t i)
    {
        m_paused[i] = false;
        fleet.kill(i);
    }
    void run(Duration time)
    {
        const TimePoint end = fleet.runner.now() + time;
        while (fleet.runner.now() < end) {
            generateCalls();
            fleet.run(Step);
            retryHeldCalls();
        }
    }

    [[nodiscard]] bool isWithinBound() const
    {
        return m_checker.isHeld();
    }
    /// The fraction of calls refused since resetCounts().
    [[nodiscard]] double refusedFraction() const
    {
        return m_calls == 0 ? 0.0 : static_cast<double>(m_refused) / static_cast<double>(m_calls);
    }
    /// The fraction of calls that a single bucket for the whole fleet would have refused.
    [[nodiscard]] double refusedByIdealFraction() const
    {
        return m_calls == 0 ? 0.0 : static_cast<double>(m_refusedByIdeal) / static_cast<double>(m_calls);
    }
    [[nodiscard]] std::uint64_t calls() const
    {
        return m_calls;
    }
    void resetCounts()
    {
        m_calls = 0;
        m_refused = 0;
        m_refusedByIdeal = 0;
    }
    QuotaLedger &ledger(std::size_t i)
    {
        return *m_ledgers[i];
    }
    /// The nodes that hold the shard with the account in @p region.
    [[nodiscard]] std::vector<std::size_t> holders(std::size_t region)
    {
        const ShardLayout &layout = *fleet.leases(0).layout();
        return fleet.holders(layout.quotaShard(layout.regions[region], Caller));
    }

    inline static const OrganisationId Caller{"lufthafen"};

private:
    static constexpr Duration Step = std::chrono::milliseconds(4);
    static constexpr unsigned MaxTries = 6;
    static constexpr std::size_t QuotaPart = 1;
    struct HeldCall {
        std::size_t node;
        unsigned tries;
    };

    static ConfigurationSet setOf(const QuotaTestOptions &options)
    {
        const LimitName limit("common");
        return ConfigurationSet().with({.put = {Limit{limit, options.rate, options.burst}, Organisation{Caller, limit}}, .removed = {}}, 1);
    }
    std::vector<Component> makeComponents(std::size_t i, const Peer &self)
    {
        QuotaHooks hooks;
        hooks.layout = [this, i] { return fleet.leases(i).layout(); };
        hooks.holderOf = [this, i](const ShardId &shard) { return fleet.leases(i).holderOf(shard); };
        hooks.heldFence = [this, i](const ShardId &shard, TimePoint now) { return fleet.leases(i).heldFence(shard, now); };
        m_ledgers[i] = std::make_unique<QuotaLedger>(self, m_options.settings, hooks);
        m_ledgers[i]->configure(m_set, TimePoint{});
        return {componentOf(*m_ledgers[i], QuotaLedger::handledTypes())};
    }
    void generateCalls()
    {
        const double mean = m_traffic.ratePerSecond * std::chrono::duration<double>(Step).count();
        // Draw the number of calls from a Poisson distribution.
        double product = uniformReal(m_random);
        while (product > std::exp(-mean)) {
            product *= uniformReal(m_random);
            call();
        }
    }
    void call()
    {
        double sum = 0.0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            sum += weight(i);
        }
        double point = uniformReal(m_random) * sum;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            point -= weight(i);
            if (weight(i) > 0.0 && point <= 0.0) {
                ++m_calls;
                m_refusedByIdeal += m_ideal.tryConsume(fleet.runner.now()) ? 0 : 1;
                tryTake({i, 0});
                return;
            }
        }
    }
    [[nodiscard]] double weight(std::size_t i) const
    {
        const double weight = i < m_traffic.weights.size() ? m_traffic.weights[i] : 0.0;
        return fleet.isUp(i) && !m_paused[i] ? weight : 0.0;
    }
    void tryTake(HeldCall held)
    {
        if (!fleet.isUp(held.node) || m_paused[held.node]) {
            return;
        }
        const auto take = [&](TimePoint now, Outbox &out) {
            const QuotaDecision decision = m_ledgers[held.node]->tryTake(Caller, now);
            m_ledgers[held.node]->flush(now, out);
            if (decision.isGranted()) {
                m_checker.granted(fleet.runner.now());
            } else if (decision.mayBecomeAvailable() && held.tries + 1 < MaxTries) {
                m_held.push_back({held.node, held.tries + 1});
            } else {
                ++m_refused;
            }
        };
        fleet.runner.act(fleet.id(held.node), take, QuotaPart);
    }
    void retryHeldCalls()
    {
        for (const HeldCall &it : std::exchange(m_held, {})) {
            tryTake(it);
        }
    }

    QuotaTestOptions m_options;
    std::vector<std::unique_ptr<QuotaLedger>> m_ledgers;
    std::vector<bool> m_paused;
    RandomSource m_random;
    BoundChecker m_checker;
    IdealBucket m_ideal;
    ConfigurationSet m_set;
    Traffic m_traffic;
    std::vector<HeldCall> m_held;
    std::uint64_t m_calls = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_refusedByIdeal = 0;

public:
    LeaseFleet fleet;
};

} // namespace banyankeel::testing

#pragma once

// A few nodes with random calls of organisations, and a checker of the bound on what is granted.
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

/// Checks that what is granted in any interval of t seconds is at most rate * t + burst.
class BoundChecker
{
public:
    BoundChecker(double rate, double burst)
        : m_rate(rate)
        , m_burst(burst)
    {
    }
    /// The bound holds over every interval exactly if a bucket that leaks at the rate never holds more than the burst.
    void granted(TimePoint now)
    {
        const double elapsed = std::chrono::duration<double>(now - m_last).count();
        m_level = std::max(0.0, m_level - elapsed * m_rate) + 1.0;
        m_last = now;
        m_worst = std::max(m_worst, m_level);
    }
    [[nodiscard]] bool isHeld() const
    {
        constexpr double RoundingError = 1e-6;
        return m_worst <= m_burst + RoundingError;
    }

private:
    double m_rate;
    double m_burst;
    double m_level = 0.0;
    double m_worst = 0.0;
    TimePoint m_last{};
};

/// One token bucket for all calls, as if the fleet were one node.
class IdealBucket
{
public:
    IdealBucket(double rate, double burst)
        : m_rate(rate)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }
    bool takes(TimePoint now)
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

/// Calls of one organisation, spread over the live nodes by weight.
struct Traffic {
    double ratePerSecond = 35.0;
    std::vector<double> weights;
};

struct QuotaVariant {
    QuotaSettings settings;
    LeaseFleet::SettingsFactory leases;
    double rate = 50.0;
    double burst = 50.0;
};

class QuotaFleet
{
public:
    QuotaFleet(std::uint64_t seed, const ScheduleFaults &faults, FleetShape shape, QuotaVariant variant = {})
        : m_variant(std::move(variant))
        , m_ledgers(shape.nodes)
        , m_paused(shape.nodes, false)
        , m_random(seededRandom(seed ^ 0x900a))
        , m_checker(m_variant.rate, m_variant.burst)
        , m_ideal(m_variant.rate, m_variant.burst)
        , m_set(setOf(m_variant))
        , fleet(seed, faults, std::move(shape), m_variant.leases, [this](std::size_t i, const Peer &self) { return makeParts(i, self); })
    {
    }

    void traffic(Traffic traffic)
    {
        m_traffic = std::move(traffic);
    }
    /// The same calls reach other nodes from now on.
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
            arrivals();
            fleet.run(Step);
            retryHeld();
        }
    }

    [[nodiscard]] bool isWithinBound() const
    {
        return m_checker.isHeld();
    }
    /// The part of calls that were refused since resetCounts().
    [[nodiscard]] double refusedPart() const
    {
        return m_calls == 0 ? 0.0 : static_cast<double>(m_refused) / static_cast<double>(m_calls);
    }
    /// The part that one bucket for the whole fleet would have refused.
    [[nodiscard]] double refusedByIdealPart() const
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
    /// The node whose lease covers the account in @p region.
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
    struct Held {
        std::size_t node;
        unsigned tries;
    };

    static ConfigurationSet setOf(const QuotaVariant &variant)
    {
        const LimitName limit("common");
        return ConfigurationSet().with({.put = {Limit{limit, variant.rate, variant.burst}, Organisation{Caller, limit}}, .removed = {}}, 1);
    }
    std::vector<Part> makeParts(std::size_t i, const Peer &self)
    {
        QuotaHooks hooks;
        hooks.layout = [this, i] { return fleet.leases(i).layout(); };
        hooks.holderOf = [this, i](const ShardId &shard) { return fleet.leases(i).holderOf(shard); };
        hooks.heldFence = [this, i](const ShardId &shard, TimePoint now) { return fleet.leases(i).heldFence(shard, now); };
        m_ledgers[i] = std::make_unique<QuotaLedger>(self, m_variant.settings, hooks);
        m_ledgers[i]->configure(m_set, TimePoint{});
        return {partOf(*m_ledgers[i], QuotaLedger::handledTypes())};
    }
    void arrivals()
    {
        const double mean = m_traffic.ratePerSecond * std::chrono::duration<double>(Step).count();
        // A Poisson number of calls.
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
                m_refusedByIdeal += m_ideal.takes(fleet.runner.now()) ? 0 : 1;
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
    void tryTake(Held held)
    {
        if (!fleet.isUp(held.node) || m_paused[held.node]) {
            return;
        }
        const auto take = [&](TimePoint now, Outbox &out) {
            const QuotaDecision decision = m_ledgers[held.node]->tryTake(Caller, now);
            m_ledgers[held.node]->flush(now, out);
            if (decision.isGranted()) {
                m_checker.granted(fleet.runner.now());
            } else if (decision.mayComeSoon() && held.tries + 1 < MaxTries) {
                m_held.push_back({held.node, held.tries + 1});
            } else {
                ++m_refused;
            }
        };
        fleet.runner.act(fleet.id(held.node), take, QuotaPart);
    }
    void retryHeld()
    {
        for (const Held &it : std::exchange(m_held, {})) {
            tryTake(it);
        }
    }

    QuotaVariant m_variant;
    std::vector<std::unique_ptr<QuotaLedger>> m_ledgers;
    std::vector<bool> m_paused;
    RandomSource m_random;
    BoundChecker m_checker;
    IdealBucket m_ideal;
    ConfigurationSet m_set;
    Traffic m_traffic;
    std::vector<Held> m_held;
    std::uint64_t m_calls = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_refusedByIdeal = 0;

public:
    LeaseFleet fleet;
};

} // namespace banyankeel::testing

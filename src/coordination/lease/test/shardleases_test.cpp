#include "coordination/lease/test/leaseschedule.h"
#include "state/errors.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
// Whether a fault schedule with one of the seeds leads to two holders of a shard.
bool detectsDoubleHolder(const LeaseFleet::SettingsFactory &settings, double rateSpread)
{
    constexpr std::uint64_t Seeds = 60;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        if (!runLeaseSchedule(seed, settings, 4min, rateSpread).empty()) {
            return true;
        }
    }
    return false;
}
} // namespace

BOOST_AUTO_TEST_SUITE(shardleases)

BOOST_AUTO_TEST_CASE(EveryShardHasOneHolderAfterAColdStart)
{
    LeaseFleet fleet(1, {}, {});
    fleet.run(5s);
    BOOST_CHECK_EQUAL(fleet.unheldShards(), 0U);
    BOOST_CHECK_EQUAL(fleet.shardsWithSeveralHolders(), "");
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        BOOST_CHECK(fleet.leases(i).holderOf({ShardKind::Claims, 0}).has_value());
    }
}

BOOST_AUTO_TEST_CASE(LeasesSurviveAnHourLongStoreOutage)
{
    LeaseFleet fleet(2, {}, {});
    fleet.run(30s);
    fleet.runner.setStoreDown(true);
    std::size_t worst = 0;
    fleet.run(1h, [&] { worst = std::max(worst, fleet.unheldShards()); });
    BOOST_CHECK_EQUAL(worst, 0U);
}

BOOST_AUTO_TEST_CASE(KilledHolderIsReplacedWithinSeconds)
{
    LeaseFleet fleet(3, {}, {});
    fleet.run(30s);
    fleet.kill(0);
    fleet.run(4s);
    BOOST_CHECK_EQUAL(fleet.unheldShards(), 0U);
}

BOOST_AUTO_TEST_CASE(FleetRestartReacquiresAllLeases)
{
    LeaseFleet fleet(4, {}, {});
    fleet.run(30s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.kill(i);
    }
    fleet.run(1s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.start(i);
    }
    fleet.run(15s);
    BOOST_CHECK_EQUAL(fleet.unheldShards(), 0U);
}

BOOST_AUTO_TEST_CASE(ReleaseHandsOverAllShards)
{
    LeaseFleet fleet(5, {}, {});
    fleet.run(30s);
    fleet.runner.act(fleet.id(1), [&](TimePoint now, Outbox &out) { fleet.leases(1).release(now, out); });
    fleet.run(2s);
    BOOST_CHECK(fleet.leases(1).isReleased());
    BOOST_CHECK(fleet.leases(1).heldShards(fleet.runner.localNow(fleet.id(1))).empty());
    BOOST_CHECK_EQUAL(fleet.unheldShards(), 0U);
}

BOOST_AUTO_TEST_CASE(PausedHolderIsReplacedAndDoesNotResume)
{
    LeaseFleet fleet(6, {}, {});
    fleet.run(30s);
    fleet.runner.pause(fleet.id(0), true);
    fleet.run(10s);
    fleet.runner.pause(fleet.id(0), false);
    std::string violations;
    fleet.run(60s, [&] { violations += fleet.shardsWithSeveralHolders(); });
    BOOST_CHECK_EQUAL(violations, "");
    BOOST_CHECK_EQUAL(fleet.unheldShards(), 0U);
}

BOOST_AUTO_TEST_CASE(NoShardHasTwoHoldersUnderRandomFaults)
{
    constexpr std::uint64_t Seeds = 100;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const std::string violations = runLeaseSchedule(seed, {}, 4min);
        BOOST_CHECK_MESSAGE(violations.empty(), "seed " << seed << ": " << violations);
    }
}

BOOST_AUTO_TEST_CASE(DetectsPromisesCountedFromReceipt)
{
    const auto fromReceipt = [](std::size_t) {
        LeaseSettings settings;
        settings.promiseStart = [](TimePoint, TimePoint received) { return received; };
        return settings;
    };
    BOOST_CHECK(detectsDoubleHolder(fromReceipt, 1e-3));
}

BOOST_AUTO_TEST_CASE(DetectsIgnoredClockDrift)
{
    const auto withoutDrift = [](std::size_t) {
        LeaseSettings settings;
        settings.clockDrift = 0.0;
        return settings;
    };
    BOOST_CHECK(detectsDoubleHolder(withoutDrift, 0.05));
}

BOOST_AUTO_TEST_CASE(ClockDriftWithinTheBoundIsSafe)
{
    const auto withDrift = [](std::size_t) {
        LeaseSettings settings;
        settings.clockDrift = 0.05;
        return settings;
    };
    BOOST_CHECK(!detectsDoubleHolder(withDrift, 0.05));
}

BOOST_AUTO_TEST_CASE(DetectsSuccessorThatBreaksItsPromise)
{
    const auto shortOnOdd = [](std::size_t node) {
        LeaseSettings settings;
        settings.promiseTerm = node % 2 == 1 ? 1500ms : 3000ms;
        settings.heartbeatInterval = 700ms;
        return settings;
    };
    BOOST_CHECK(detectsDoubleHolder(shortOnOdd, 1e-3));
}

BOOST_AUTO_TEST_CASE(HolderTableWithLowerFenceIsIgnored)
{
    LeaseFleet fleet(7, {}, {});
    fleet.run(5s);
    const ShardId shard{ShardKind::Claims, 0};
    const ShardHolder holder = *fleet.leases(0).holderOf(shard);
    const ShardHolder newer{shard, fleet.peer(1), Fence{9}};
    fleet.runner.act(fleet.id(0), [&](TimePoint now, Outbox &out) {
        fleet.leases(0).receive(fleet.peer(1), HolderTable{{newer}, {}}.encode(), now, out);
        fleet.leases(0).receive(fleet.peer(1), HolderTable{{holder}, {}}.encode(), now, out);
    });
    BOOST_CHECK(fleet.leases(0).holderOf(shard) == newer);
}

BOOST_AUTO_TEST_CASE(InvalidSettingsAreRejected)
{
    LeaseSettings settings;
    settings.heartbeatInterval = settings.promiseTerm;
    BOOST_CHECK_THROW(settings.check(), SettingsError);
    BOOST_CHECK_THROW((ShardLayout{{}, 1, 1, 1}.check()), ValueError);
}

BOOST_AUTO_TEST_SUITE_END()

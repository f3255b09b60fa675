#include "coordination/claims/test/claimschedule.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
// Returns the maximum number of executions of one request; checks the other results.
int runAndCheck(std::uint64_t seed, const ClaimTestOptions &options)
{
    const ClaimScheduleOutcome outcome = runClaimSchedule(seed, options);
    BOOST_CHECK_EQUAL(outcome.duplicateDecisions, 0);
    BOOST_CHECK_GT(outcome.granted, 0);
    return outcome.maxExecutions;
}

bool detectsDoubleExecution(const ClaimTestOptions &options)
{
    constexpr std::uint64_t Seeds = 60;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        if (runAndCheck(seed, options) > 1) {
            return true;
        }
    }
    return false;
}

// Lease settings that allow two nodes to hold the same shard at once.
LeaseFleet::SettingsFactory brokenLeases()
{
    return [](std::size_t) {
        LeaseSettings settings;
        settings.promiseStart = [](TimePoint, TimePoint received) { return received + 10s; };
        return settings;
    };
}

std::vector<RowWrite> withoutFenceCheck(std::vector<RowWrite> writes)
{
    std::erase_if(writes, [](const RowWrite &it) { return it.action == RowAction::Check; });
    return writes;
}
} // namespace

BOOST_AUTO_TEST_SUITE(claimcoordinator)

BOOST_AUTO_TEST_CASE(RepeatedClaimOnAnotherNodeIsADuplicate)
{
    ClaimFleet claims(1, {}, {});
    claims.fleet.run(5s);
    claims.submit(0, testRequest(1));
    claims.fleet.run(1s);
    claims.submit(1, testRequest(1));
    claims.fleet.run(1s);
    BOOST_CHECK_EQUAL(claims.results[ClaimResult::Granted], 1);
    BOOST_CHECK_EQUAL(claims.results[ClaimResult::Duplicate], 1);
}

BOOST_AUTO_TEST_CASE(MessageAndStoreReplyLossNeitherRejectsNorDuplicatesClaims)
{
    ClaimFleet claims(2, LossyClaims, {});
    claims.fleet.run(10s);
    for (std::uint64_t n = 0; n < 200; ++n) {
        claims.submit(n % 4, testRequest(n));
        claims.fleet.run(100ms);
    }
    claims.fleet.run(5s);
    BOOST_CHECK_EQUAL(claims.results[ClaimResult::Duplicate], 0);
    BOOST_CHECK_EQUAL(maxExecutions(claims), 1);
    // A few claims may time out while a shard has no holder.
    BOOST_CHECK_GE(claims.results[ClaimResult::Granted], 190);
}

BOOST_AUTO_TEST_CASE(ClaimsDuringAStoreOutageAreUnavailableAndCanBeRetried)
{
    ClaimFleet claims(3, {}, {});
    claims.fleet.run(30s);
    claims.fleet.runner.setStoreDown(true);
    for (std::uint64_t n = 0; n < 8; ++n) {
        claims.submit(n % 4, testRequest(n));
    }
    claims.fleet.run(10s);
    BOOST_CHECK_EQUAL(claims.results[ClaimResult::Unavailable], 8);
    BOOST_CHECK(claims.maxLatency <= 3200ms);
    claims.fleet.runner.setStoreDown(false);
    claims.fleet.run(10s);
    for (std::uint64_t n = 0; n < 8; ++n) {
        claims.submit((n + 1) % 4, testRequest(n));
    }
    claims.fleet.run(5s);
    BOOST_CHECK_EQUAL(claims.results[ClaimResult::Granted], 8);
}

BOOST_AUTO_TEST_CASE(ClaimsSurviveHolderFailure)
{
    ClaimFleet claims(4, {}, {});
    claims.fleet.run(30s);
    for (std::uint64_t n = 0; n < 100; ++n) {
        claims.submit(3, testRequest(n));
        claims.fleet.run(50ms);
    }
    for (std::size_t i = 0; i < 3; ++i) {
        claims.fleet.kill(i);
        claims.fleet.run(10s);
        claims.fleet.start(i);
        claims.fleet.run(20s);
    }
    for (std::uint64_t n = 0; n < 100; ++n) {
        claims.submit(0, testRequest(n));
    }
    claims.fleet.run(5s);
    BOOST_CHECK_EQUAL(claims.results[ClaimResult::Granted], 100);
    BOOST_CHECK_EQUAL(claims.results[ClaimResult::Duplicate], 100);
}

BOOST_AUTO_TEST_CASE(ClaimsExpireOnlyAfterTheirRetention)
{
    ClaimTestOptions options;
    options.settings.retention = 60s;
    options.settings.retentionMargin = 5s;
    ClaimFleet claims(5, {}, {}, options);
    claims.fleet.run(10s);
    claims.submit(0, testRequest(1));
    claims.fleet.run(55s);
    claims.submit(1, testRequest(1));
    claims.fleet.run(20s);
    BOOST_CHECK_EQUAL(claims.results[ClaimResult::Duplicate], 1);
    claims.submit(1, testRequest(1));
    claims.fleet.run(1s);
    BOOST_CHECK_EQUAL(claims.results[ClaimResult::Granted], 2);
    const auto rows = std::get<RowsRead>(claims.fleet.runner.store().apply(ListRows{"claims", "", "", 100})).rows;
    BOOST_CHECK_EQUAL(rows.size(), 1U);
}

BOOST_AUTO_TEST_CASE(SmallLogRowsAreMergedWithoutLosingClaims)
{
    ClaimFleet claims(6, {}, {});
    claims.fleet.run(10s);
    for (std::uint64_t n = 0; n < 300; ++n) {
        claims.submit(0, testRequest(n));
        claims.fleet.run(100ms);
    }
    const auto rows = std::get<RowsRead>(claims.fleet.runner.store().apply(ListRows{"claims", "", "", 1000})).rows;
    BOOST_CHECK_LT(rows.size(), 100U);
    claims.fleet.kill(0);
    claims.fleet.kill(1);
    claims.fleet.run(20s);
    for (std::uint64_t n = 0; n < 300; ++n) {
        claims.submit(2, testRequest(n));
    }
    claims.fleet.run(5s);
    BOOST_CHECK_EQUAL(claims.results[ClaimResult::Duplicate], 300);
}

BOOST_AUTO_TEST_CASE(NoRequestExecutesTwiceUnderRandomFaults)
{
    constexpr std::uint64_t Seeds = 150;
    const ClaimTestOptions options{.settings = {}, .leases = {}, .executesBeforeGrant = false, .killAtGrantPerMille = 20};
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        BOOST_CHECK_MESSAGE(runAndCheck(seed, options) <= 1, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(StoreFencePreventsDoubleExecutionWithBrokenLeases)
{
    ClaimTestOptions options;
    options.leases = brokenLeases();
    BOOST_CHECK(!detectsDoubleExecution(options));
}

BOOST_AUTO_TEST_CASE(DetectsMissingFenceCheck)
{
    ClaimTestOptions options;
    options.leases = brokenLeases();
    options.settings.transaction = withoutFenceCheck;
    BOOST_CHECK(detectsDoubleExecution(options));
}

BOOST_AUTO_TEST_CASE(DetectsExecutionBeforeGrant)
{
    ClaimTestOptions options;
    options.executesBeforeGrant = true;
    BOOST_CHECK(detectsDoubleExecution(options));
}

BOOST_AUTO_TEST_CASE(DetectsLostStoreReplyTreatedAsSuccess)
{
    ClaimTestOptions options;
    options.settings.isDurable = [](const StoreReply &reply) { return !std::holds_alternative<WriteConflict>(reply); };
    BOOST_CHECK(detectsDoubleExecution(options));
}

BOOST_AUTO_TEST_SUITE_END()

#include "coordination/retrybudget/serviceretrybudget.h"

#include "state/errors.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <utility>
#include <vector>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
const TimePoint Begin{1'000s};
const ServiceRetryBudgetSettings Settings{.ratio = 0.1, .slack = 2, .window = 10s};
} // namespace

BOOST_AUTO_TEST_SUITE(retrybudget)

BOOST_AUTO_TEST_CASE(SlackAloneAllowsAFewRetries)
{
    ServiceRetryBudget budget(Settings);
    BOOST_CHECK(budget.take(Begin));
    BOOST_CHECK(budget.take(Begin));
    BOOST_CHECK(!budget.take(Begin));
}

// Requests arrive in a block of various lengths and then almost stop; from some time on a retry is attempted at every step. The documented bound
// must hold wherever a window begins: its retries are at most the slack plus the ratio of the requests of that window, of the previous one or
// of the one half a window earlier.
BOOST_AUTO_TEST_CASE(RetriesOfAnyWindowStayWithinTheDocumentedBound)
{
    for (const auto &[block, retriesFrom] : {std::pair(10'500ms, 7s), std::pair(10'500ms, 3s), std::pair(6'000ms, 5s), std::pair(30'000ms, 0s)}) {
        ServiceRetryBudget budget(Settings);
        std::vector<TimePoint> requests;
        std::vector<TimePoint> retries;
        for (TimePoint now = Begin; now < Begin + 40s; now += 5ms) {
            const bool isInBlock = now < Begin + block;
            if (isInBlock || now.time_since_epoch() % 200ms == 0ms) {
                budget.recordRequest(now);
                requests.push_back(now);
            }
            if (now >= Begin + retriesFrom && budget.take(now)) {
                retries.push_back(now);
            }
        }
        const auto count = [](const std::vector<TimePoint> &times, TimePoint from) {
            return std::ranges::count_if(times, [from](TimePoint it) { return it >= from && it < from + 10s; });
        };
        for (TimePoint from = Begin - 10s; from < Begin + 40s; from += 50ms) {
            const auto maxRequests = std::max({count(requests, from), count(requests, from - 10s), count(requests, from - 5s)});
            BOOST_REQUIRE_LE(static_cast<double>(count(retries, from)), 0.1 * static_cast<double>(maxRequests) + 2);
        }
        // The budget must also be usable.
        BOOST_CHECK_GE(static_cast<double>(retries.size()), 0.09 * static_cast<double>(count(requests, Begin)));
    }
}

BOOST_AUTO_TEST_CASE(RequestsThatStopCanStillBeRetriedForAWhile)
{
    ServiceRetryBudget budget(Settings);
    for (TimePoint now = Begin; now < Begin + 10s; now += 10ms) {
        budget.recordRequest(now);
    }
    // For a window that begins two seconds later, four fifths of the requests are in the previous one.
    BOOST_CHECK(budget.remaining(Begin + 12s) > 0.1 * 800 - 8);
    BOOST_CHECK(budget.remaining(Begin + 40s) <= 2);
}

// A retried run makes its downstream calls again. At the downstream service these are retries as well and have to be charged.
BOOST_AUTO_TEST_CASE(CallsOfRetriedRunsUseTheBudgetOfTheDownstreamService)
{
    ServiceRetryBudget budget(Settings);
    for (int n = 0; n < 4; ++n) {
        budget.recordRequest(Begin, 0.5);
    }
    BOOST_CHECK(!budget.take(Begin));
    BOOST_CHECK(budget.take(Begin + 30s));
}

BOOST_AUTO_TEST_CASE(AnOldWindowIsForgotten)
{
    ServiceRetryBudget budget(Settings);
    BOOST_CHECK(budget.take(Begin));
    BOOST_CHECK(budget.take(Begin));
    BOOST_CHECK(!budget.take(Begin + 9s));
    BOOST_CHECK(budget.take(Begin + 30s));
}

BOOST_AUTO_TEST_CASE(InvalidSettingsThrow)
{
    BOOST_CHECK_THROW(ServiceRetryBudget({.ratio = -1, .slack = 0, .window = 1s}), ValueError);
    BOOST_CHECK_THROW(ServiceRetryBudget({.ratio = 0, .slack = 0, .window = 0s}), ValueError);
}

BOOST_AUTO_TEST_SUITE_END()

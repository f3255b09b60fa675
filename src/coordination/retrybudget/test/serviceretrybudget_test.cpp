#include "coordination/retrybudget/serviceretrybudget.h"

#include "state/errors.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
const TimePoint Begin{1'000s};
const ServiceRetryBudgetSettings Settings{.ratio = 0.1, .slack = 2, .window = 10s};
} // namespace

BOOST_AUTO_TEST_SUITE(retrybudget)

BOOST_AUTO_TEST_CASE(SlackAloneAllowsAFewRepeats)
{
    ServiceRetryBudget budget(Settings);
    BOOST_CHECK(budget.take(Begin));
    BOOST_CHECK(budget.take(Begin));
    BOOST_CHECK(!budget.take(Begin));
}

BOOST_AUTO_TEST_CASE(RepeatsOfAnyWindowStayWithinTheRatioOfItsRequests)
{
    ServiceRetryBudget budget(Settings);
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
    TimePoint now = Begin;
    // 200 requests a second for 5 s, then a tenth of that; each wants a repeat.
    for (int n = 0; n < 1'500; ++n) {
        now += n < 1'000 ? 5ms : 50ms;
        budget.noteRequest(now);
        requests.push_back(now);
        if (budget.take(now)) {
            repeats.push_back(now);
        }
        while (requests.front() < now - 10s - 600ms) {
            requests.pop_front();
        }
        while (!repeats.empty() && repeats.front() < now - 10s) {
            repeats.pop_front();
        }
        BOOST_REQUIRE_LE(static_cast<double>(repeats.size()), 0.1 * static_cast<double>(requests.size()) + 2);
    }
}

// A run that is a repeat makes its calls again: they are repeats at the service below, whoever counts them there.
BOOST_AUTO_TEST_CASE(CallsOfRepeatedRunsUseUpTheBudgetOfTheServiceBelow)
{
    ServiceRetryBudget budget(Settings);
    for (int n = 0; n < 4; ++n) {
        budget.noteInherited(0.5, Begin);
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

BOOST_AUTO_TEST_CASE(WrongSettingsAreRefused)
{
    BOOST_CHECK_THROW(ServiceRetryBudget({.ratio = -1, .slack = 0, .window = 1s}), ValueError);
    BOOST_CHECK_THROW(ServiceRetryBudget({.ratio = 0, .slack = 0, .window = 0s}), ValueError);
}

BOOST_AUTO_TEST_SUITE_END()

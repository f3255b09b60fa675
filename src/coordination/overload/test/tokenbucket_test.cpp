#include "coordination/overload/tokenbucket.h"

#include "state/errors.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace banyankeel;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(tokenbucket)

BOOST_AUTO_TEST_CASE(OverAnyTimeNoMoreThanTheRateAndTheBurstIsTaken)
{
    for (const double rate : {0.5, 2.0, 20.0, 400.0}) {
        TimePoint now{100s};
        TokenBucket bucket(rate, now);
        const double burst = std::max(1.0, rate * std::chrono::duration<double>(TokenBucket::BurstTime).count());
        int taken = 0;
        const TimePoint begin = now;
        for (; now < begin + 10s; now += 1ms) {
            while (bucket.tryTake(now)) {
                ++taken;
            }
            BOOST_REQUIRE_LE(taken, burst + rate * std::chrono::duration<double>(now - begin).count() + 1e-6);
        }
        BOOST_CHECK_GE(taken, rate * 10 - 1);
    }
}

BOOST_AUTO_TEST_CASE(ATokenIsThereAtTheTimeThatWasNamed)
{
    const TimePoint now{100s};
    TokenBucket bucket(3, now);
    BOOST_CHECK(bucket.nextTokenAt(now) == now);
    BOOST_REQUIRE(bucket.tryTake(now));
    const TimePoint next = bucket.nextTokenAt(now);
    BOOST_CHECK(next > now + 333ms);
    BOOST_CHECK(next < now + 334ms);
    BOOST_CHECK(!bucket.tryTake(next - 1ms));
    BOOST_CHECK(bucket.tryTake(next));
}

BOOST_AUTO_TEST_CASE(ASuspendedHostDoesNotAccrueMoreThanABurst)
{
    TimePoint now{100s};
    TokenBucket bucket(20, now);
    now += 60s;
    int taken = 0;
    while (bucket.tryTake(now)) {
        ++taken;
    }
    BOOST_CHECK_EQUAL(taken, 5);
}

BOOST_AUTO_TEST_CASE(ALowerRateAppliesToWhatHasAccrued)
{
    TimePoint now{100s};
    TokenBucket bucket(400, now);
    now += 1s;
    bucket.setRate(2, now);
    BOOST_CHECK(bucket.tryTake(now));
    BOOST_CHECK(!bucket.tryTake(now));
}

BOOST_AUTO_TEST_CASE(ARateThatIsNotPositiveIsRejected)
{
    BOOST_CHECK_THROW(TokenBucket(0, TimePoint{}), ValueError);
    BOOST_CHECK_THROW(TokenBucket(-1, TimePoint{}), ValueError);
    BOOST_CHECK_THROW(TokenBucket(std::numeric_limits<double>::infinity(), TimePoint{}), ValueError);
    BOOST_CHECK_THROW(TokenBucket(std::numeric_limits<double>::quiet_NaN(), TimePoint{}), ValueError);
}

BOOST_AUTO_TEST_SUITE_END()

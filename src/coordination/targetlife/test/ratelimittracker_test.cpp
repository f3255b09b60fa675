#include "coordination/targetlife/ratelimittracker.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
const TargetBoot First{"i-1", WallTime(1s)};
const TargetBoot Second{"i-1", WallTime(2s)};

struct TrackerFixture {
    TimePoint now{100s};
    RateLimitTracker limits;
};
} // namespace

BOOST_AUTO_TEST_SUITE(ratelimittracker)

BOOST_FIXTURE_TEST_CASE(ALimitHoldsForTheBootThatNamesIt, TrackerFixture)
{
    BOOST_CHECK(limits.recordAnswer(First, 20, now));
    BOOST_CHECK(limits.limitOf(First) == 20);
    BOOST_CHECK(!limits.limitOf(Second));
}

BOOST_FIXTURE_TEST_CASE(AnAnswerWrittenBeforeTheLimitWasNamedDoesNotLiftIt, TrackerFixture)
{
    limits.recordAnswer(First, 20, now);
    BOOST_CHECK(!limits.recordAnswer(First, std::nullopt, now + 100ms));
    BOOST_CHECK(limits.limitOf(First) == 20);
}

BOOST_FIXTURE_TEST_CASE(AnswersWithoutALimitLiftIt, TrackerFixture)
{
    limits.recordAnswer(First, 20, now);
    BOOST_CHECK(limits.recordAnswer(First, std::nullopt, now + 1s));
    BOOST_CHECK(!limits.limitOf(First));
    BOOST_REQUIRE(limits.last());
    BOOST_CHECK(limits.last()->boot == First);
    BOOST_CHECK(!limits.last()->ratePerSecond);
}

BOOST_FIXTURE_TEST_CASE(SmallChangesAreNotAnnouncedUntilTheyAddUp, TrackerFixture)
{
    limits.recordAnswer(First, 20, now);
    BOOST_CHECK(!limits.recordAnswer(First, 20.5, now));
    BOOST_CHECK(!limits.recordAnswer(First, 20.9, now));
    BOOST_CHECK(limits.recordAnswer(First, 21.5, now));
    BOOST_CHECK(limits.limitOf(First) == 21.5);
}

BOOST_FIXTURE_TEST_CASE(ALimitThatAnEarlierProcessRecordedHoldsUntilTheTargetAnswers, TrackerFixture)
{
    BOOST_CHECK(limits.restore({First, 20}, now));
    BOOST_CHECK(limits.limitOf(First) == 20);
    BOOST_CHECK(!limits.restore({First, 30}, now));
    BOOST_CHECK(limits.recordAnswer(First, std::nullopt, now + 1s));
    BOOST_CHECK(!limits.restore({First, 20}, now + 2s));
    BOOST_CHECK(!limits.limitOf(First));
}

BOOST_FIXTURE_TEST_CASE(ALiftedLimitIsNotRestored, TrackerFixture)
{
    BOOST_CHECK(!limits.restore({First, std::nullopt}, now));
    BOOST_CHECK(!limits.last());
}

BOOST_AUTO_TEST_SUITE_END()

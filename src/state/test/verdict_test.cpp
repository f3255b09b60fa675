#include "state/timelineevent.h"
#include "state/verdict.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;

BOOST_AUTO_TEST_SUITE(verdicts)

BOOST_AUTO_TEST_CASE(EveryReasonNameRoundTrips)
{
    for (int n = static_cast<int>(Reason::None); n <= static_cast<int>(Reason::Cancelled); ++n) {
        const auto reason = static_cast<Reason>(n);
        const auto parsed = parseReason(nameOf(reason));
        BOOST_REQUIRE(parsed.has_value());
        BOOST_CHECK(*parsed == reason);
    }
    BOOST_CHECK(!parseReason("no such reason").has_value());
}

BOOST_AUTO_TEST_CASE(EveryTimelineKindNameRoundTrips)
{
    for (int n = 0; n <= static_cast<int>(TimelineKind::MessageReceived); ++n) {
        const auto kind = static_cast<TimelineKind>(n);
        BOOST_CHECK(parseTimelineKind(nameOf(kind)) == kind);
    }
}

BOOST_AUTO_TEST_CASE(RefusalIsNotRunAndLostAnswerMayHaveRun)
{
    BOOST_CHECK(Verdict::refused(Reason::Overloaded).runState() == RunState::NotRun);
    BOOST_CHECK(Verdict::unknown(Reason::ConnectionLost).runState() == RunState::MayHaveRun);
    BOOST_CHECK(Verdict::ran().isSuccess());
}

BOOST_AUTO_TEST_SUITE_END()

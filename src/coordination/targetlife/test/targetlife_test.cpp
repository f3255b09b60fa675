#include "coordination/targetlife/targetlife.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
const WallTime Start{1'000s};

TargetReport reportOf(const std::string &name, WallTime startedAt, std::uint64_t sequence, bool isLeaving = false)
{
    return {
        .boot = {name, startedAt},
        .service = ServiceName("zertifikat"),
        .address = Endpoint("127.0.0.1", 8080),
        .slots = 16,
        .isLeaving = isLeaving,
        .sequence = sequence,
        .coldTime = Duration::zero(),
    };
}

TargetLife lifeWithoutLeavings()
{
    TargetLife life;
    life.learn({});
    return life;
}
} // namespace

BOOST_AUTO_TEST_SUITE(targetlife)

BOOST_AUTO_TEST_CASE(NothingIsServedBeforeEarlierLeavingsAreKnown)
{
    TargetLife life;
    life.reported(reportOf("t1", Start, 1));
    BOOST_CHECK(life.serving() == nullptr);
    BOOST_CHECK(life.learn({}) == TargetChange::NewBoot);
    BOOST_REQUIRE(life.serving() != nullptr);
    BOOST_CHECK_EQUAL(life.serving()->boot.name, "t1");
}

BOOST_AUTO_TEST_CASE(AnAcknowledgedLeavingSurvivesTheProcessThatAcknowledgedIt)
{
    TargetLife before = lifeWithoutLeavings();
    before.reported(reportOf("t1", Start, 1));
    BOOST_CHECK(before.reported(reportOf("t1", Start, 2, true)) == TargetChange::Leaving);

    TargetLife after;
    after.learn(before.leavings());
    after.reported(reportOf("t1", Start, 1));
    BOOST_CHECK(after.serving() == nullptr);
}

BOOST_AUTO_TEST_CASE(ALateHeartbeatDoesNotBringALeavingTargetBack)
{
    TargetLife life = lifeWithoutLeavings();
    life.reported(reportOf("t1", Start, 1));
    life.reported(reportOf("t1", Start, 3, true));
    life.reported(reportOf("t1", Start, 2));
    BOOST_CHECK(life.serving() == nullptr);
    life.reported(reportOf("t1", Start, 4));
    BOOST_CHECK(life.serving() == nullptr);
}

BOOST_AUTO_TEST_CASE(ALeavingReportThatArrivesOutOfOrderCounts)
{
    TargetLife life = lifeWithoutLeavings();
    life.reported(reportOf("t1", Start, 5));
    BOOST_CHECK(life.reported(reportOf("t1", Start, 4, true)) == TargetChange::Leaving);
    BOOST_CHECK(life.serving() == nullptr);
}

BOOST_AUTO_TEST_CASE(ANewBootUnderTheSameNameServesAgain)
{
    TargetLife life = lifeWithoutLeavings();
    life.reported(reportOf("t1", Start, 7, true));
    BOOST_CHECK(life.reported(reportOf("t1", Start + 5s, 1)) == TargetChange::NewBoot);
    BOOST_CHECK(life.serving() != nullptr);
}

BOOST_AUTO_TEST_CASE(AHeartbeatOfAnEarlierBootIsIgnored)
{
    TargetLife life = lifeWithoutLeavings();
    life.reported(reportOf("t2", Start + 5s, 1));
    BOOST_CHECK(life.reported(reportOf("t1", Start, 9)) == TargetChange::None);
    BOOST_CHECK_EQUAL(life.serving()->boot.name, "t2");
}

BOOST_AUTO_TEST_CASE(ATargetThatLeavesWithoutAReportIsNotServedAgain)
{
    TargetLife life = lifeWithoutLeavings();
    life.reported(reportOf("t1", Start, 1));
    BOOST_CHECK(life.left("t1", std::nullopt, Start + 10s) == TargetChange::Leaving);
    life.reported(reportOf("t1", Start, 2));
    BOOST_CHECK(life.serving() == nullptr);
    life.reported(reportOf("t1", Start + 20s, 1));
    BOOST_CHECK(life.serving() != nullptr);
}

BOOST_AUTO_TEST_CASE(ALeavingThatArrivesBeforeAnyHeartbeatHolds)
{
    TargetLife life = lifeWithoutLeavings();
    life.left("t1", std::nullopt, Start + 10s);
    life.reported(reportOf("t1", Start, 2));
    BOOST_CHECK(life.serving() == nullptr);
}

BOOST_AUTO_TEST_CASE(ALeavingOfAnEarlierBootDoesNotEndTheNextOne)
{
    TargetLife life = lifeWithoutLeavings();
    life.reported(reportOf("t1", Start + 5s, 1));
    BOOST_CHECK(life.left("t1", Start, Start + 6s) == TargetChange::None);
    BOOST_CHECK(life.serving() != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

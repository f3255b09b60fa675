#include "coordination/targetlife/targetlifecycle.h"

#include "protocol/targetcodec.h"

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
        .warmUpRemaining = Duration::zero(),
    };
}

TargetLifecycle lifeWithoutLeavings()
{
    TargetLifecycle life;
    life.mergeLeavings({});
    return life;
}
} // namespace

BOOST_AUTO_TEST_SUITE(targetlife)

BOOST_AUTO_TEST_CASE(NothingIsServedBeforeEarlierLeavingsAreKnown)
{
    TargetLifecycle life;
    life.handleReport(reportOf("t1", Start, 1));
    BOOST_CHECK(life.serving() == nullptr);
    BOOST_CHECK(life.mergeLeavings({}) == TargetChange::NewBoot);
    BOOST_REQUIRE(life.serving() != nullptr);
    BOOST_CHECK_EQUAL(life.serving()->boot.name, "t1");
}

BOOST_AUTO_TEST_CASE(AnAcknowledgedLeavingSurvivesTheProcessThatAcknowledgedIt)
{
    TargetLifecycle before = lifeWithoutLeavings();
    before.handleReport(reportOf("t1", Start, 1));
    BOOST_CHECK(before.handleReport(reportOf("t1", Start, 2, true)) == TargetChange::Leaving);

    TargetLifecycle after;
    after.mergeLeavings(before.departures());
    after.handleReport(reportOf("t1", Start, 1));
    BOOST_CHECK(after.serving() == nullptr);
}

BOOST_AUTO_TEST_CASE(ALateHeartbeatDoesNotBringALeavingTargetBack)
{
    TargetLifecycle life = lifeWithoutLeavings();
    life.handleReport(reportOf("t1", Start, 1));
    life.handleReport(reportOf("t1", Start, 3, true));
    life.handleReport(reportOf("t1", Start, 2));
    BOOST_CHECK(life.serving() == nullptr);
    life.handleReport(reportOf("t1", Start, 4));
    BOOST_CHECK(life.serving() == nullptr);
}

BOOST_AUTO_TEST_CASE(ALeavingReportThatArrivesOutOfOrderCounts)
{
    TargetLifecycle life = lifeWithoutLeavings();
    life.handleReport(reportOf("t1", Start, 5));
    BOOST_CHECK(life.handleReport(reportOf("t1", Start, 4, true)) == TargetChange::Leaving);
    BOOST_CHECK(life.serving() == nullptr);
}

BOOST_AUTO_TEST_CASE(ANewBootUnderTheSameNameServesAgain)
{
    TargetLifecycle life = lifeWithoutLeavings();
    life.handleReport(reportOf("t1", Start, 7, true));
    BOOST_CHECK(life.handleReport(reportOf("t1", Start + 5s, 1)) == TargetChange::NewBoot);
    BOOST_CHECK(life.serving() != nullptr);
}

BOOST_AUTO_TEST_CASE(AHeartbeatOfAnEarlierBootIsIgnored)
{
    TargetLifecycle life = lifeWithoutLeavings();
    life.handleReport(reportOf("t2", Start + 5s, 1));
    BOOST_CHECK(life.handleReport(reportOf("t1", Start, 9)) == TargetChange::None);
    BOOST_CHECK_EQUAL(life.serving()->boot.name, "t2");
}

BOOST_AUTO_TEST_CASE(ATargetThatLeavesWithoutAReportIsNotServedAgain)
{
    TargetLifecycle life = lifeWithoutLeavings();
    life.handleReport(reportOf("t1", Start, 1));
    BOOST_CHECK(life.handleLeaving("t1", std::nullopt, Start + 10s) == TargetChange::Leaving);
    life.handleReport(reportOf("t1", Start, 2));
    BOOST_CHECK(life.serving() == nullptr);
    life.handleReport(reportOf("t1", Start + 20s, 1));
    BOOST_CHECK(life.serving() != nullptr);
}

BOOST_AUTO_TEST_CASE(ALeavingThatArrivesBeforeAnyHeartbeatHolds)
{
    TargetLifecycle life = lifeWithoutLeavings();
    life.handleLeaving("t1", std::nullopt, Start + 10s);
    life.handleReport(reportOf("t1", Start, 2));
    BOOST_CHECK(life.serving() == nullptr);
}

BOOST_AUTO_TEST_CASE(ALeavingOfAnEarlierBootDoesNotEndTheNextOne)
{
    TargetLifecycle life = lifeWithoutLeavings();
    life.handleReport(reportOf("t1", Start + 5s, 1));
    BOOST_CHECK(life.handleLeaving("t1", Start, Start + 6s) == TargetChange::None);
    BOOST_CHECK(life.serving() != nullptr);
}

// The store was away when the leaving was acknowledged, and all who knew of it were killed.
BOOST_AUTO_TEST_CASE(ABootThatMayBeOlderThanTheProcessIsServedOnlyOnceTheTargetHasConfirmedIt)
{
    TargetLifecycle life(Start);
    life.mergeLeavings({});
    life.handleReport(reportOf("t1", Start - 1s, 4));
    BOOST_CHECK(life.serving() == nullptr);
    BOOST_REQUIRE(life.unconfirmed() != nullptr);
    BOOST_CHECK(life.confirm({"t1", Start - 2s}) == TargetChange::None);
    BOOST_CHECK(life.serving() == nullptr);
    BOOST_CHECK(life.confirm({"t1", Start - 1s}) == TargetChange::NewBoot);
    BOOST_CHECK(life.serving() != nullptr && life.unconfirmed() == nullptr);
}

BOOST_AUTO_TEST_CASE(ABootThatStartedAfterTheProcessNeedsNoConfirmation)
{
    TargetLifecycle life(Start);
    life.mergeLeavings({});
    BOOST_CHECK(life.handleReport(reportOf("t1", Start + 1s, 1)) == TargetChange::NewBoot);
    BOOST_CHECK(life.serving() != nullptr);
    TargetReport unknownStart = reportOf("t2", Start, 1);
    unknownStart.boot.startedAt.reset();
    life.handleReport(unknownStart);
    BOOST_CHECK(life.serving() == nullptr && life.unconfirmed() != nullptr);
}

BOOST_AUTO_TEST_CASE(AConfirmedBootThatLeavesIsNotServedAgain)
{
    TargetLifecycle life(Start);
    life.mergeLeavings({});
    life.handleReport(reportOf("t1", Start, 1));
    life.confirm({"t1", Start});
    BOOST_CHECK(life.handleReport(reportOf("t1", Start, 2, true)) == TargetChange::Leaving);
    BOOST_CHECK(life.confirm({"t1", Start}) == TargetChange::None);
    BOOST_CHECK(life.serving() == nullptr && life.unconfirmed() == nullptr);
}

// Failure: departures that a peer still remembers push out the last one, and the target that leaves gets requests again.
BOOST_AUTO_TEST_CASE(OldDeparturesThatAPeerRemembersDoNotReplaceTheLastOne)
{
    for (const bool hasStartTime : {true, false}) {
        BOOST_TEST_CONTEXT(hasStartTime)
        {
            std::vector<TargetDeparture> all;
            for (std::size_t n = 0; n <= MaxDepartures; ++n) {
                all.push_back({"t" + std::to_string(n), hasStartTime ? Start + std::chrono::seconds(n) : WallTime::max()});
            }
            TargetLifecycle life;
            life.mergeLeavings({all.begin() + 1, all.end()});
            life.mergeLeavings({all.begin(), all.end() - 1});
            BOOST_CHECK_EQUAL(life.departures().size(), MaxDepartures);
            life.handleReport(reportOf(all.back().name, Start + std::chrono::seconds(MaxDepartures), 1));
            BOOST_CHECK(life.serving() == nullptr);
        }
    }
}

BOOST_AUTO_TEST_CASE(ADepartureThatOnlyAPeerRemembersIsTheLastOne)
{
    for (const bool hasStartTime : {true, false}) {
        std::vector<TargetDeparture> all;
        for (std::size_t n = 0; n <= MaxDepartures; ++n) {
            all.push_back({"t" + std::to_string(n), hasStartTime ? Start + std::chrono::seconds(n) : WallTime::max()});
        }
        DepartureList departures;
        departures.merge({all.begin(), all.end() - 1});
        departures.merge({all.begin() + 1, all.end()});
        BOOST_CHECK(departures.all() == std::vector<TargetDeparture>(all.begin() + 1, all.end()));
    }
}

BOOST_AUTO_TEST_CASE(ADepartureThatIsAnnouncedIsKeptWhateverIsKnownOfOthers)
{
    DepartureList departures;
    for (std::size_t n = 0; n < MaxDepartures; ++n) {
        departures.add({"t" + std::to_string(n), WallTime::max()});
    }
    BOOST_CHECK(departures.add({"last", Start}));
    BOOST_CHECK(!departures.add({"last", Start}));
    BOOST_CHECK_EQUAL(departures.all().size(), MaxDepartures);
    BOOST_CHECK_EQUAL(departures.all().front().name, "last");
}

BOOST_AUTO_TEST_SUITE_END()

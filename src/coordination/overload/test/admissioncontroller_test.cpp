#include "coordination/overload/admissioncontroller.h"

#include "coordination/common/random.h"
#include "coordination/common/roothash.h"
#include "state/errors.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace banyankeel;

namespace
{
constexpr Duration Millisecond = std::chrono::milliseconds(1);

AdmissionSettings smallTarget(std::uint32_t slots)
{
    AdmissionSettings settings;
    settings.announcedSlots = slots;
    settings.connections = 4 * slots;
    settings.isCold = false;
    settings.limitRule = LimitRule::Fixed;
    settings.shortestQueue = 4;
    settings.queuePerSlot = 1;
    return settings;
}

/// Offers requests and keeps what became of them.
struct Desk {
    explicit Desk(const AdmissionSettings &settings)
        : admission(settings, now)
    {
    }
    std::uint64_t offer(const std::string &organisation, std::uint8_t priority = 0, Duration patience = std::chrono::seconds(10), std::uint16_t weight = 1)
    {
        const std::uint64_t ticket = ++last;
        const RequestId root(random(), random());
        roots.emplace(ticket, rootHash(root));
        organisations[ticket] = organisation;
        priorities[ticket] = priority;
        AdmissionActions out;
        admission.offer({AttemptTicket{ticket}, root, OrganisationId(organisation), PriorityLevel{priority}, weight, now + patience}, now, out);
        take(out);
        return ticket;
    }
    void complete(std::uint64_t ticket, Duration serviceTime = 10 * Millisecond, CompletionKind kind = CompletionKind::Succeeded)
    {
        running.erase(ticket);
        AdmissionActions out;
        admission.complete(AttemptTicket{ticket}, {serviceTime, kind}, now, out);
        take(out);
    }
    void take(const AdmissionActions &out)
    {
        for (const AttemptTicket it : out.run) {
            running.insert(static_cast<std::uint64_t>(it));
            ++runOf[organisations[static_cast<std::uint64_t>(it)]];
        }
        for (const RefusedOffer &it : out.refused) {
            refused.insert_or_assign(static_cast<std::uint64_t>(it.ticket), it.verdict);
        }
    }

    TimePoint now{std::chrono::seconds(100)};
    RandomSource random = seededRandom(5);
    AdmissionController admission;
    std::uint64_t last = 0;
    std::map<std::uint64_t, std::uint64_t> roots;
    std::map<std::uint64_t, std::string> organisations;
    std::map<std::uint64_t, std::uint8_t> priorities;
    std::map<std::string, int> runOf;
    std::set<std::uint64_t> running;
    std::map<std::uint64_t, Verdict> refused;
};
} // namespace

BOOST_AUTO_TEST_SUITE(admission)

// A service that alarms (long) and telemetry reads (short, with little time) share: the mean of both is longer than the time of a read.
BOOST_AUTO_TEST_CASE(ShortRequestIsNotRefusedBecauseLongOnesRunBesideIt)
{
    constexpr auto Long = RequestKind{1};
    constexpr auto Short = RequestKind{2};
    Desk desk(smallTarget(8));
    const auto offer = [&desk](RequestKind kind, Duration patience) {
        const AttemptTicket ticket{++desk.last};
        AdmissionActions out;
        desk.admission.offer({.ticket = ticket,
                              .root = RequestId(desk.random(), desk.random()),
                              .organisation = OrganisationId("calls"),
                              .priority = PriorityLevel{0},
                              .weight = 1,
                              .deadline = desk.now + patience,
                              .kind = kind},
                             desk.now,
                             out);
        desk.take(out);
        return static_cast<std::uint64_t>(ticket);
    };
    for (int i = 0; i < 60; ++i) {
        const std::uint64_t first = offer(Long, std::chrono::seconds(10));
        const std::uint64_t second = offer(Short, 700 * Millisecond);
        desk.complete(second, 60 * Millisecond);
        desk.complete(first, 950 * Millisecond);
    }
    const auto busy = {offer(Long, std::chrono::seconds(10)), offer(Long, std::chrono::seconds(10)), offer(Long, std::chrono::seconds(10))};
    BOOST_TEST(desk.running.size() == busy.size());
    BOOST_TEST(desk.running.contains(offer(Short, 700 * Millisecond)));
    // A long one that has as little time is still refused, not run.
    const std::uint64_t late = offer(Long, 700 * Millisecond);
    BOOST_REQUIRE(desk.refused.contains(late));
    BOOST_CHECK(desk.refused.at(late).reason() == Reason::DeadlineExpired);
}

BOOST_AUTO_TEST_CASE(NoMoreThanTheLimitRunsAtOnceAndEveryOfferEndsOnce)
{
    Desk desk(smallTarget(3));
    for (int i = 0; i < 40; ++i) {
        desk.offer("carrier");
        BOOST_TEST(desk.running.size() <= 3U);
    }
    while (!desk.running.empty()) {
        desk.complete(*desk.running.begin());
        BOOST_TEST(desk.running.size() <= 3U);
    }
    BOOST_TEST(desk.admission.isIdle());
    BOOST_TEST(desk.refused.size() + static_cast<std::size_t>(desk.runOf["carrier"]) == 40U);
    for (const auto &[ticket, verdict] : desk.refused) {
        BOOST_CHECK(verdict.runState() == RunState::NotRun);
    }
}

BOOST_AUTO_TEST_CASE(ATicketInUseIsRefusedAsWrongUse)
{
    Desk desk(smallTarget(1));
    desk.offer("carrier");
    desk.last = 0;
    BOOST_CHECK_THROW(desk.offer("carrier"), ValueError);
}

BOOST_AUTO_TEST_CASE(AHigherPriorityIsNeverShedWhileALowerOneWaitsOrRunsLater)
{
    Desk desk(smallTarget(2));
    RandomSource choice = seededRandom(9);
    std::map<std::uint64_t, std::uint8_t> waiting;
    for (int i = 0; i < 4000; ++i) {
        desk.now += Millisecond;
        const std::size_t refusedBefore = desk.refused.size();
        if (uniformBelow(choice, 3) == 0 && !desk.running.empty()) {
            desk.complete(*desk.running.begin());
        } else {
            const auto level = static_cast<std::uint8_t>(uniformBelow(choice, 3));
            waiting[desk.offer("org" + std::to_string(uniformBelow(choice, 4)), level)] = level;
        }
        for (const auto &[ticket, verdict] : desk.refused) {
            if (refusedBefore == desk.refused.size() || !waiting.contains(ticket)) {
                continue;
            }
            const std::uint8_t level = waiting[ticket];
            waiting.erase(ticket);
            const bool isLowest = std::ranges::none_of(waiting, [&](const auto &it) { return !desk.running.contains(it.first) && it.second > level; });
            BOOST_TEST(isLowest);
        }
        for (const std::uint64_t ticket : desk.running) {
            waiting.erase(ticket);
        }
    }
}

BOOST_AUTO_TEST_CASE(AnOrganisationBelowItsShareLosesNothingToOneThatFloods)
{
    Desk desk(smallTarget(4));
    int quietOffers = 0;
    for (int round = 0; round < 500; ++round) {
        desk.now += 5 * Millisecond;
        for (int i = 0; i < 20; ++i) {
            desk.offer("flood");
        }
        // Half of its share of the four slots.
        desk.offer("quiet");
        ++quietOffers;
        for (const std::uint64_t ticket : std::set<std::uint64_t>(desk.running)) {
            desk.complete(ticket);
        }
    }
    for (const auto &[ticket, verdict] : desk.refused) {
        BOOST_TEST(desk.organisations[ticket] != "quiet");
    }
    BOOST_TEST(desk.runOf["quiet"] >= quietOffers - 1);
}

BOOST_AUTO_TEST_CASE(ContendingOrganisationsGetSlotTimeByWeight)
{
    Desk desk(smallTarget(4));
    for (int round = 0; round < 2000; ++round) {
        desk.now += 5 * Millisecond;
        for (int i = 0; i < 8; ++i) {
            desk.offer("heavy", 0, std::chrono::seconds(10), 3);
            desk.offer("light", 0, std::chrono::seconds(10), 1);
        }
        for (const std::uint64_t ticket : std::set<std::uint64_t>(desk.running)) {
            desk.complete(ticket);
        }
    }
    const double ratio = static_cast<double>(desk.runOf["heavy"]) / desk.runOf["light"];
    BOOST_TEST(ratio > 2.9);
    BOOST_TEST(ratio < 3.1);
}

BOOST_AUTO_TEST_CASE(SlowRequestsCountForMoreThanQuickOnes)
{
    Desk desk(smallTarget(2));
    for (int round = 0; round < 3000; ++round) {
        desk.now += 10 * Millisecond;
        for (int i = 0; i < 4; ++i) {
            desk.offer("slow");
            desk.offer("quick");
        }
        for (const std::uint64_t ticket : std::set<std::uint64_t>(desk.running)) {
            desk.complete(ticket, desk.organisations[ticket] == "slow" ? 30 * Millisecond : 10 * Millisecond);
        }
    }
    const double ratio = static_cast<double>(desk.runOf["quick"]) / desk.runOf["slow"];
    BOOST_TEST(ratio > 2.8);
    BOOST_TEST(ratio < 3.2);
}

BOOST_AUTO_TEST_CASE(WithinAnOrganisationTheRootsWithTheHighestHashAreShed)
{
    Desk desk(smallTarget(1));
    for (int i = 0; i < 200; ++i) {
        desk.offer("carrier");
    }
    std::uint64_t lowestRefused = UINT64_MAX;
    for (const auto &[ticket, verdict] : desk.refused) {
        lowestRefused = std::min(lowestRefused, desk.roots[ticket]);
    }
    for (std::uint64_t ticket = 2; ticket <= 200; ++ticket) {
        if (!desk.refused.contains(ticket) && !desk.running.contains(ticket)) {
            BOOST_TEST(desk.roots[ticket] < lowestRefused);
        }
    }
}

BOOST_AUTO_TEST_CASE(ARequestThatCantMeetItsDeadlineIsRefusedWithoutRunning)
{
    Desk desk(smallTarget(2));
    for (int i = 0; i < 50; ++i) {
        desk.now += 100 * Millisecond;
        desk.complete(desk.offer("carrier"), 100 * Millisecond);
    }
    desk.offer("carrier");
    const std::uint64_t hopeless = desk.offer("carrier", 0, 20 * Millisecond);
    BOOST_REQUIRE(desk.refused.contains(hopeless));
    BOOST_CHECK(desk.refused.at(hopeless).reason() == Reason::DeadlineExpired);
    BOOST_CHECK(desk.refused.at(hopeless).runState() == RunState::NotRun);
}

BOOST_AUTO_TEST_CASE(AFewSlowRequestsDoNotKeepAllLaterOnesOut)
{
    Desk desk(smallTarget(2));
    desk.complete(desk.offer("carrier"), std::chrono::seconds(60));
    const std::uint64_t next = desk.offer("carrier", 0, std::chrono::seconds(1));
    BOOST_TEST(desk.running.contains(next));
}

BOOST_AUTO_TEST_CASE(ACancelledRequestThatWaitsNeverRunsAndARunningOneKeepsItsSlot)
{
    Desk desk(smallTarget(1));
    const std::uint64_t first = desk.offer("carrier");
    const std::uint64_t second = desk.offer("carrier");
    AdmissionActions out;
    BOOST_TEST(desk.admission.cancel(AttemptTicket{second}, desk.now, out));
    BOOST_TEST(!desk.admission.cancel(AttemptTicket{first}, desk.now, out));
    BOOST_TEST(desk.admission.runningCount() == 1U);
    desk.complete(first);
    BOOST_TEST(!desk.running.contains(second));
    BOOST_TEST(desk.admission.isIdle());
}

BOOST_AUTO_TEST_CASE(ADrainingTargetStartsNothingNewAndEndsWhatRuns)
{
    Desk desk(smallTarget(1));
    const std::uint64_t runs = desk.offer("carrier");
    const std::uint64_t waits = desk.offer("carrier");
    AdmissionActions out;
    desk.admission.startDraining(desk.now, out);
    desk.take(out);
    const std::uint64_t late = desk.offer("carrier");
    BOOST_CHECK(desk.refused.at(waits).reason() == Reason::Draining);
    BOOST_CHECK(desk.refused.at(late).reason() == Reason::Draining);
    BOOST_TEST(!desk.admission.isIdle());
    desk.complete(runs);
    BOOST_TEST(desk.admission.isIdle());
}

BOOST_AUTO_TEST_CASE(StateOfOrganisationsThatLeftIsDropped)
{
    Desk desk(smallTarget(4));
    for (int i = 0; i < 1000; ++i) {
        desk.complete(desk.offer("org" + std::to_string(i)));
    }
    BOOST_TEST(desk.admission.flowCount() == 1000U);
    for (int i = 0; i < 100; ++i) {
        desk.now += std::chrono::seconds(1);
        AdmissionActions out;
        desk.admission.tick(desk.now, out);
    }
    BOOST_TEST(desk.admission.flowCount() == 0U);
}

BOOST_AUTO_TEST_CASE(MoreOrganisationsThanTheTableHoldsAreStillServed)
{
    AdmissionSettings settings = smallTarget(4);
    settings.longestQueue = 8;
    settings.highestFlows = 32;
    Desk desk(settings);
    for (int i = 0; i < 500; ++i) {
        desk.complete(desk.offer("org" + std::to_string(i)));
    }
    BOOST_TEST(desk.refused.empty());
    BOOST_TEST(desk.admission.flowCount() <= 32U);
}

BOOST_AUTO_TEST_CASE(AColdTargetStartsWithAFewRequestsAndReachesItsSlots)
{
    AdmissionSettings settings = smallTarget(40);
    settings.limitRule = LimitRule::Proven;
    settings.isCold = true;
    Desk desk(settings);
    BOOST_TEST(desk.admission.limit(desk.now) <= 10U);
    for (int i = 0; i < 400 && desk.admission.limit(desk.now) < 40; ++i) {
        desk.now += 10 * Millisecond;
        for (int n = 0; n < 60; ++n) {
            desk.offer("carrier");
        }
        for (const std::uint64_t ticket : std::set<std::uint64_t>(desk.running)) {
            desk.complete(ticket);
        }
    }
    BOOST_TEST(desk.admission.limit(desk.now) >= 40U);
}

BOOST_AUTO_TEST_CASE(SettingsOutOfRangeAreNamed)
{
    AdmissionSettings settings = smallTarget(4);
    settings.announcedSlots = 0;
    BOOST_CHECK_EXCEPTION(
        Desk{settings}, SettingsError, [](const SettingsError &error) { return std::string(error.what()).find("announcedSlots") != std::string::npos; });
}

BOOST_AUTO_TEST_SUITE_END()

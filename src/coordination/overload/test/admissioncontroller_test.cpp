#include "coordination/overload/admissioncontroller.h"

#include "coordination/common/random.h"
#include "coordination/common/roothash.h"
#include "state/errors.h"
#include "testing/randomrequestid.h"

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
    settings.minQueueLength = 4;
    settings.queuePerSlot = 1;
    return settings;
}

/// Offers requests to an admission controller and records their outcomes.
struct AdmissionFixture {
    explicit AdmissionFixture(const AdmissionSettings &settings)
        : admission(settings, now)
    {
    }
    std::uint64_t offer(const std::string &organisation, std::uint8_t priority = 0, Duration timeout = std::chrono::seconds(10), std::uint16_t weight = 1)
    {
        const std::uint64_t ticket = ++lastTicket;
        const RequestId root = testing::randomRequestId(random);
        roots.emplace(ticket, rootHash(root));
        organisations[ticket] = organisation;
        priorities[ticket] = priority;
        AdmissionActions out;
        admission.offer({AttemptTicket{ticket}, root, OrganisationId(organisation), PriorityLevel{priority}, weight, now + timeout}, now, out);
        apply(out);
        return ticket;
    }
    void complete(std::uint64_t ticket, Duration serviceTime = 10 * Millisecond, CompletionKind kind = CompletionKind::Succeeded)
    {
        running.erase(ticket);
        AdmissionActions out;
        admission.complete(AttemptTicket{ticket}, {serviceTime, kind}, now, out);
        apply(out);
    }
    void apply(const AdmissionActions &out)
    {
        for (const AttemptTicket it : out.run) {
            running.insert(static_cast<std::uint64_t>(it));
            ++startedCounts[organisations[static_cast<std::uint64_t>(it)]];
        }
        for (const RefusedOffer &it : out.refused) {
            refused.insert_or_assign(static_cast<std::uint64_t>(it.ticket), it.verdict);
        }
    }

    TimePoint now{std::chrono::seconds(100)};
    RandomSource random = seededRandom(5);
    AdmissionController admission;
    std::uint64_t lastTicket = 0;
    std::map<std::uint64_t, std::uint64_t> roots;
    std::map<std::uint64_t, std::string> organisations;
    std::map<std::uint64_t, std::uint8_t> priorities;
    std::map<std::string, int> startedCounts;
    std::set<std::uint64_t> running;
    std::map<std::uint64_t, Verdict> refused;
};
} // namespace

BOOST_AUTO_TEST_SUITE(admission)

// Long alarms and short telemetry reads with tight deadlines share a service. A mean over both kinds exceeds the deadline of a read and
// would refuse it.
BOOST_AUTO_TEST_CASE(ShortRequestIsNotRefusedBecauseLongOnesRunBesideIt)
{
    constexpr auto Long = RequestKind{1};
    constexpr auto Short = RequestKind{2};
    AdmissionFixture fixture(smallTarget(8));
    const auto offer = [&fixture](RequestKind kind, Duration timeout) {
        const AttemptTicket ticket{++fixture.lastTicket};
        AdmissionActions out;
        fixture.admission.offer({.ticket = ticket,
                                 .root = testing::randomRequestId(fixture.random),
                                 .organisation = OrganisationId("calls"),
                                 .priority = PriorityLevel{0},
                                 .weight = 1,
                                 .deadline = fixture.now + timeout,
                                 .kind = kind},
                                fixture.now,
                                out);
        fixture.apply(out);
        return static_cast<std::uint64_t>(ticket);
    };
    for (int i = 0; i < 60; ++i) {
        const std::uint64_t first = offer(Long, std::chrono::seconds(10));
        const std::uint64_t second = offer(Short, 700 * Millisecond);
        fixture.complete(second, 60 * Millisecond);
        fixture.complete(first, 950 * Millisecond);
    }
    const auto busy = {offer(Long, std::chrono::seconds(10)), offer(Long, std::chrono::seconds(10)), offer(Long, std::chrono::seconds(10))};
    BOOST_TEST(fixture.running.size() == busy.size());
    BOOST_TEST(fixture.running.contains(offer(Short, 700 * Millisecond)));
    // A long request with the same deadline is still refused.
    const std::uint64_t late = offer(Long, 700 * Millisecond);
    BOOST_REQUIRE(fixture.refused.contains(late));
    BOOST_CHECK(fixture.refused.at(late).reason() == Reason::DeadlineExpired);
}

BOOST_AUTO_TEST_CASE(NoMoreThanTheLimitRunsAtOnceAndEveryOfferEndsOnce)
{
    AdmissionFixture fixture(smallTarget(3));
    for (int i = 0; i < 40; ++i) {
        fixture.offer("carrier");
        BOOST_TEST(fixture.running.size() <= 3U);
    }
    while (!fixture.running.empty()) {
        fixture.complete(*fixture.running.begin());
        BOOST_TEST(fixture.running.size() <= 3U);
    }
    BOOST_TEST(fixture.admission.isIdle());
    BOOST_TEST(fixture.refused.size() + static_cast<std::size_t>(fixture.startedCounts["carrier"]) == 40U);
    for (const auto &[ticket, verdict] : fixture.refused) {
        BOOST_CHECK(verdict.runState() == RunState::NotRun);
    }
}

BOOST_AUTO_TEST_CASE(OfferingATicketInUseThrows)
{
    AdmissionFixture fixture(smallTarget(1));
    fixture.offer("carrier");
    fixture.lastTicket = 0;
    BOOST_CHECK_THROW(fixture.offer("carrier"), ValueError);
}

BOOST_AUTO_TEST_CASE(AHigherPriorityIsNeverShedWhileALowerOneWaitsOrRunsLater)
{
    AdmissionFixture fixture(smallTarget(2));
    RandomSource choice = seededRandom(9);
    std::map<std::uint64_t, std::uint8_t> waiting;
    for (int i = 0; i < 4000; ++i) {
        fixture.now += Millisecond;
        const std::size_t refusedBefore = fixture.refused.size();
        if (uniformBelow(choice, 3) == 0 && !fixture.running.empty()) {
            fixture.complete(*fixture.running.begin());
        } else {
            const auto level = static_cast<std::uint8_t>(uniformBelow(choice, 3));
            waiting[fixture.offer("org" + std::to_string(uniformBelow(choice, 4)), level)] = level;
        }
        for (const auto &[ticket, verdict] : fixture.refused) {
            if (refusedBefore == fixture.refused.size() || !waiting.contains(ticket)) {
                continue;
            }
            const std::uint8_t level = waiting[ticket];
            waiting.erase(ticket);
            const bool isLowest = std::ranges::none_of(waiting, [&](const auto &it) { return !fixture.running.contains(it.first) && it.second > level; });
            BOOST_TEST(isLowest);
        }
        for (const std::uint64_t ticket : fixture.running) {
            waiting.erase(ticket);
        }
    }
}

BOOST_AUTO_TEST_CASE(AnOrganisationBelowItsFairShareIsNotShedForAFloodingOne)
{
    AdmissionFixture fixture(smallTarget(4));
    int quietOffers = 0;
    for (int round = 0; round < 500; ++round) {
        fixture.now += 5 * Millisecond;
        for (int i = 0; i < 20; ++i) {
            fixture.offer("flood");
        }
        // Half of its fair share of the four slots.
        fixture.offer("quiet");
        ++quietOffers;
        for (const std::uint64_t ticket : std::set<std::uint64_t>(fixture.running)) {
            fixture.complete(ticket);
        }
    }
    for (const auto &[ticket, verdict] : fixture.refused) {
        BOOST_TEST(fixture.organisations[ticket] != "quiet");
    }
    BOOST_TEST(fixture.startedCounts["quiet"] >= quietOffers - 1);
}

BOOST_AUTO_TEST_CASE(ContendingOrganisationsGetSlotTimeByWeight)
{
    AdmissionFixture fixture(smallTarget(4));
    for (int round = 0; round < 2000; ++round) {
        fixture.now += 5 * Millisecond;
        for (int i = 0; i < 8; ++i) {
            fixture.offer("heavy", 0, std::chrono::seconds(10), 3);
            fixture.offer("light", 0, std::chrono::seconds(10), 1);
        }
        for (const std::uint64_t ticket : std::set<std::uint64_t>(fixture.running)) {
            fixture.complete(ticket);
        }
    }
    const double ratio = static_cast<double>(fixture.startedCounts["heavy"]) / fixture.startedCounts["light"];
    BOOST_TEST(ratio > 2.9);
    BOOST_TEST(ratio < 3.1);
}

BOOST_AUTO_TEST_CASE(SlowRequestsCountForMoreThanQuickOnes)
{
    AdmissionFixture fixture(smallTarget(2));
    for (int round = 0; round < 3000; ++round) {
        fixture.now += 10 * Millisecond;
        for (int i = 0; i < 4; ++i) {
            fixture.offer("slow");
            fixture.offer("quick");
        }
        for (const std::uint64_t ticket : std::set<std::uint64_t>(fixture.running)) {
            fixture.complete(ticket, fixture.organisations[ticket] == "slow" ? 30 * Millisecond : 10 * Millisecond);
        }
    }
    const double ratio = static_cast<double>(fixture.startedCounts["quick"]) / fixture.startedCounts["slow"];
    BOOST_TEST(ratio > 2.8);
    BOOST_TEST(ratio < 3.2);
}

BOOST_AUTO_TEST_CASE(WithinAnOrganisationTheRootsWithTheHighestHashAreShed)
{
    AdmissionFixture fixture(smallTarget(1));
    for (int i = 0; i < 200; ++i) {
        fixture.offer("carrier");
    }
    std::uint64_t lowestRefused = UINT64_MAX;
    for (const auto &[ticket, verdict] : fixture.refused) {
        lowestRefused = std::min(lowestRefused, fixture.roots[ticket]);
    }
    for (std::uint64_t ticket = 2; ticket <= 200; ++ticket) {
        if (!fixture.refused.contains(ticket) && !fixture.running.contains(ticket)) {
            BOOST_TEST(fixture.roots[ticket] < lowestRefused);
        }
    }
}

BOOST_AUTO_TEST_CASE(ARequestThatCantMeetItsDeadlineIsRefusedWithoutRunning)
{
    AdmissionFixture fixture(smallTarget(2));
    for (int i = 0; i < 50; ++i) {
        fixture.now += 100 * Millisecond;
        fixture.complete(fixture.offer("carrier"), 100 * Millisecond);
    }
    fixture.offer("carrier");
    const std::uint64_t late = fixture.offer("carrier", 0, 20 * Millisecond);
    BOOST_REQUIRE(fixture.refused.contains(late));
    BOOST_CHECK(fixture.refused.at(late).reason() == Reason::DeadlineExpired);
    BOOST_CHECK(fixture.refused.at(late).runState() == RunState::NotRun);
}

BOOST_AUTO_TEST_CASE(AFewSlowRequestsDoNotKeepLaterOnesOut)
{
    AdmissionFixture fixture(smallTarget(2));
    fixture.complete(fixture.offer("carrier"), std::chrono::seconds(60));
    const std::uint64_t next = fixture.offer("carrier", 0, std::chrono::seconds(1));
    BOOST_TEST(fixture.running.contains(next));
}

BOOST_AUTO_TEST_CASE(ACancelledQueuedRequestNeverRunsAndARunningOneKeepsItsSlot)
{
    AdmissionFixture fixture(smallTarget(1));
    const std::uint64_t first = fixture.offer("carrier");
    const std::uint64_t second = fixture.offer("carrier");
    AdmissionActions out;
    BOOST_TEST(fixture.admission.cancel(AttemptTicket{second}, fixture.now, out));
    BOOST_TEST(!fixture.admission.cancel(AttemptTicket{first}, fixture.now, out));
    BOOST_TEST(fixture.admission.runningCount() == 1U);
    fixture.complete(first);
    BOOST_TEST(!fixture.running.contains(second));
    BOOST_TEST(fixture.admission.isIdle());
}

BOOST_AUTO_TEST_CASE(ADrainingTargetStartsNothingNewAndEndsWhatRuns)
{
    AdmissionFixture fixture(smallTarget(1));
    const std::uint64_t runs = fixture.offer("carrier");
    const std::uint64_t waits = fixture.offer("carrier");
    AdmissionActions out;
    fixture.admission.startDraining(fixture.now, out);
    fixture.apply(out);
    const std::uint64_t late = fixture.offer("carrier");
    BOOST_CHECK(fixture.refused.at(waits).reason() == Reason::Draining);
    BOOST_CHECK(fixture.refused.at(late).reason() == Reason::Draining);
    BOOST_TEST(!fixture.admission.isIdle());
    fixture.complete(runs);
    BOOST_TEST(fixture.admission.isIdle());
}

BOOST_AUTO_TEST_CASE(StateOfIdleOrganisationsIsDropped)
{
    AdmissionFixture fixture(smallTarget(4));
    for (int i = 0; i < 1000; ++i) {
        fixture.complete(fixture.offer("org" + std::to_string(i)));
    }
    BOOST_TEST(fixture.admission.flowCount() == 1000U);
    for (int i = 0; i < 100; ++i) {
        fixture.now += std::chrono::seconds(1);
        AdmissionActions out;
        fixture.admission.tick(fixture.now, out);
    }
    BOOST_TEST(fixture.admission.flowCount() == 0U);
}

BOOST_AUTO_TEST_CASE(MoreOrganisationsThanTheTableHoldsAreStillServed)
{
    AdmissionSettings settings = smallTarget(4);
    settings.maxQueueLength = 8;
    settings.maxFlows = 32;
    AdmissionFixture fixture(settings);
    for (int i = 0; i < 500; ++i) {
        fixture.complete(fixture.offer("org" + std::to_string(i)));
    }
    BOOST_TEST(fixture.refused.empty());
    BOOST_TEST(fixture.admission.flowCount() <= 32U);
}

BOOST_AUTO_TEST_CASE(AColdTargetStartsWithAFewRequestsAndReachesItsSlots)
{
    AdmissionSettings settings = smallTarget(40);
    settings.limitRule = LimitRule::KnownGood;
    settings.isCold = true;
    AdmissionFixture fixture(settings);
    BOOST_TEST(fixture.admission.limit(fixture.now) <= 10U);
    for (int i = 0; i < 400 && fixture.admission.limit(fixture.now) < 40; ++i) {
        fixture.now += 10 * Millisecond;
        for (int n = 0; n < 60; ++n) {
            fixture.offer("carrier");
        }
        for (const std::uint64_t ticket : std::set<std::uint64_t>(fixture.running)) {
            fixture.complete(ticket);
        }
    }
    BOOST_TEST(fixture.admission.limit(fixture.now) >= 40U);
}

BOOST_AUTO_TEST_CASE(SettingsOutOfRangeAreNamed)
{
    AdmissionSettings settings = smallTarget(4);
    settings.announcedSlots = 0;
    BOOST_CHECK_EXCEPTION(AdmissionFixture{settings}, SettingsError, [](const SettingsError &error) {
        return std::string(error.what()).find("announcedSlots") != std::string::npos;
    });
}

BOOST_AUTO_TEST_CASE(NoMoreRequestsStartThanTheRateLimitAllows)
{
    constexpr double Rate = 20;
    constexpr int Milliseconds = 4'000;
    AdmissionFixture fixture(smallTarget(100));
    AdmissionActions out;
    fixture.admission.setRateLimit(Rate, fixture.now, out);
    std::size_t started = 0;
    for (int ms = 0; ms < Milliseconds; ++ms) {
        fixture.now += Millisecond;
        fixture.offer("carrier");
        AdmissionActions due;
        if (const std::optional<TimePoint> next = fixture.admission.nextStartAt(fixture.now); next && *next <= fixture.now + Millisecond) {
            fixture.now = std::max(fixture.now, *next);
            fixture.admission.tick(fixture.now, due);
            fixture.apply(due);
        }
        for (const std::uint64_t it : std::set<std::uint64_t>(fixture.running)) {
            ++started;
            fixture.complete(it);
        }
    }
    const double seconds = Milliseconds / 1000.0;
    BOOST_CHECK_LE(static_cast<double>(started), Rate * seconds + std::max(1.0, Rate * std::chrono::duration<double>(TokenBucket::BurstTime).count()) + 1);
    BOOST_CHECK_GE(static_cast<double>(started), 0.9 * Rate * seconds);
    BOOST_CHECK(!fixture.refused.empty());
}

BOOST_AUTO_TEST_CASE(ARateLimitLowersTheConcurrencyThatIsReported)
{
    constexpr std::uint32_t Slots = 100;
    AdmissionFixture fixture(smallTarget(Slots));
    for (int n = 0; n < 50; ++n) {
        const std::uint64_t ticket = fixture.offer("carrier");
        fixture.now += 10 * Millisecond;
        fixture.complete(ticket, 200 * Millisecond);
    }
    BOOST_CHECK_EQUAL(fixture.admission.limit(fixture.now), Slots);
    AdmissionActions out;
    fixture.admission.setRateLimit(20, fixture.now, out);
    BOOST_CHECK_EQUAL(fixture.admission.limit(fixture.now), 4);
    fixture.admission.setRateLimit(std::nullopt, fixture.now, out);
    BOOST_CHECK_EQUAL(fixture.admission.limit(fixture.now), Slots);
}

BOOST_AUTO_TEST_CASE(ARateLimitOfZeroLetsARequestThroughNowAndThen)
{
    AdmissionFixture fixture(smallTarget(10));
    AdmissionActions out;
    fixture.admission.setRateLimit(0, fixture.now, out);
    fixture.complete(fixture.offer("carrier"));
    BOOST_CHECK(fixture.running.empty());
    const std::uint64_t second = fixture.offer("carrier");
    BOOST_CHECK(!fixture.running.contains(second));
    fixture.now += std::chrono::seconds(2);
    AdmissionActions due;
    fixture.admission.tick(fixture.now, due);
    fixture.apply(due);
    BOOST_CHECK(fixture.running.contains(second));
}

BOOST_AUTO_TEST_SUITE_END()

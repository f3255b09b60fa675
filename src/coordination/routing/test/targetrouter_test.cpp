#include "coordination/routing/targetrouter.h"

#include "coordination/common/roothash.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace banyankeel;

namespace
{
const TimePoint Start{std::chrono::seconds(100)};
const ServiceName Service("archiv");

TargetRecord makeRecord(const std::string &node,
                        const std::string &region,
                        const std::string &domain,
                        TargetState state = TargetState::Serving,
                        std::uint64_t version = 1,
                        std::uint64_t incarnation = 1)
{
    const Peer peer{NodeId(node), Incarnation{incarnation}, {RegionName(region), FailureDomainName(domain)}, Endpoint("127.0.0.1", 7000)};
    return {peer, Service, state, 10, 100, version};
}

RoutingSettings makeSettings()
{
    return {NodeId("own"), {RegionName("muc"), FailureDomainName("m1")}};
}

RoutingRequest makeRequest(std::uint64_t root = 1)
{
    return {Service, PriorityLevel{1}, RequestId(root, root * 77), OrganisationId("carrier"), 500};
}

/// Three targets in the router's region, one of them in its failure domain, and one in another region.
struct RouterFixture {
    RouterFixture()
    {
        router.update(makeRecord("here", "muc", "m1"), Start);
        router.update(makeRecord("near1", "muc", "m2"), Start);
        router.update(makeRecord("near2", "muc", "m2"), Start);
        router.update(makeRecord("far", "nue", "n1"), Start);
    }
    std::string nodeFor(const RoutingRequest &request, TimePoint now)
    {
        const RoutingDecision decision = router.choose(request, now);
        return decision.choice ? decision.choice->peer.node.text() : std::string();
    }
    TargetChoice begin(const RoutingRequest &request, TimePoint now)
    {
        const RoutingDecision decision = router.choose(request, now);
        BOOST_REQUIRE(decision.choice.has_value());
        router.recordAttemptStart(*decision.choice, now);
        return *decision.choice;
    }
    void fail(const std::string &node, int times, TimePoint now)
    {
        RoutingRequest request = makeRequest();
        for (const char *it : {"here", "near1", "near2", "far"}) {
            if (node != it) {
                request.exclude.push_back(NodeId(it));
            }
        }
        for (int i = 0; i < times; ++i) {
            const RoutingDecision decision = router.choose(request, now);
            if (decision.choice) {
                router.recordAttemptStart(*decision.choice, now);
                router.recordAttemptEnd(*decision.choice, {Verdict::unknown(Reason::ConnectionLost), std::chrono::milliseconds(1)}, std::nullopt, now);
            }
        }
    }

    TargetRouter router{makeSettings(), seededRandom(3), Start};
};
} // namespace

BOOST_AUTO_TEST_SUITE(routing)

BOOST_AUTO_TEST_CASE(TheNearestTargetWithSpareCapacityIsChosen)
{
    RouterFixture fixture;
    std::set<std::string> seen;
    for (int i = 0; i < 10; ++i) {
        seen.insert(fixture.begin(makeRequest(), Start).peer.node.text());
    }
    BOOST_TEST(seen.size() == 1U);
    BOOST_TEST(seen.contains("here"));
    for (int i = 0; i < 20; ++i) {
        seen.insert(fixture.begin(makeRequest(), Start).peer.node.text());
    }
    BOOST_TEST(seen.contains("near1"));
    BOOST_TEST(seen.contains("near2"));
    BOOST_TEST(!seen.contains("far"));
}

BOOST_AUTO_TEST_CASE(ADrainingTargetIsNeverChosen)
{
    RouterFixture fixture;
    fixture.router.update(makeRecord("here", "muc", "m1", TargetState::Draining, 2), Start);
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(fixture.nodeFor(makeRequest(i), Start) != "here");
    }
}

BOOST_AUTO_TEST_CASE(AnOlderAnnouncementDoesNotBringADrainedTargetBack)
{
    RouterFixture fixture;
    fixture.router.update(makeRecord("here", "muc", "m1", TargetState::Draining, 2), Start);
    fixture.router.update(makeRecord("here", "muc", "m1", TargetState::Serving, 1), Start);
    BOOST_TEST(fixture.nodeFor(makeRequest(), Start) != "here");
    fixture.router.update(makeRecord("here", "muc", "m1", TargetState::Gone, 3), Start);
    fixture.router.update(makeRecord("here", "muc", "m1", TargetState::Serving, 2), Start);
    BOOST_TEST(fixture.nodeFor(makeRequest(), Start) != "here");
    fixture.router.update(makeRecord("here", "muc", "m1", TargetState::Serving, 1, 2), Start);
    BOOST_TEST(fixture.nodeFor(makeRequest(), Start) == "here");
}

BOOST_AUTO_TEST_CASE(AnAttemptOfAnEarlierIncarnationDoesNotChangeTheCountsOfTheNext)
{
    RouterFixture fixture;
    const TargetChoice old = fixture.begin(makeRequest(), Start);
    fixture.router.update(makeRecord("here", "muc", "m1", TargetState::Serving, 1, 2), Start);
    fixture.begin(makeRequest(), Start);
    fixture.router.recordAttemptEnd(old, {Verdict::ran(), std::chrono::milliseconds(1)}, std::nullopt, Start);
    BOOST_TEST(fixture.router.inFlight(NodeId("here")) == 1U);
}

BOOST_AUTO_TEST_CASE(AFailingTargetIsEjectedProbedAndRestored)
{
    RouterFixture fixture;
    fixture.fail("here", 5, Start);
    BOOST_TEST(fixture.router.isEjected(NodeId("here"), Start));
    BOOST_TEST(fixture.nodeFor(makeRequest(), Start) != "here");
    const TimePoint later = Start + std::chrono::milliseconds(1100);
    const TargetChoice probe = fixture.begin(makeRequest(), later);
    BOOST_TEST(probe.peer.node.text() == "here");
    BOOST_TEST(fixture.nodeFor(makeRequest(), later) != "here");
    fixture.router.recordAttemptEnd(probe, {Verdict::ran(), std::chrono::milliseconds(1)}, std::nullopt, later);
    BOOST_TEST(fixture.nodeFor(makeRequest(), later) == "here");
}

BOOST_AUTO_TEST_CASE(NoMoreThanHalfOfTheTargetsAreEjected)
{
    RouterFixture fixture;
    for (const char *it : {"here", "near1", "near2", "far"}) {
        fixture.fail(it, 10, Start);
    }
    int ejected = 0;
    for (const char *it : {"here", "near1", "near2", "far"}) {
        ejected += fixture.router.isEjected(NodeId(it), Start) ? 1 : 0;
    }
    BOOST_TEST(ejected == 2);
    BOOST_TEST(!fixture.nodeFor(makeRequest(), Start).empty());
}

BOOST_AUTO_TEST_CASE(RefusalsForLoadDoNotEject)
{
    RouterFixture fixture;
    for (int i = 0; i < 50; ++i) {
        const TargetChoice choice = fixture.begin(makeRequest(), Start);
        fixture.router.recordAttemptEnd(choice, {Verdict::refused(Reason::Overloaded), std::chrono::milliseconds(1)}, std::nullopt, Start);
    }
    BOOST_TEST(!fixture.router.isEjected(NodeId("here"), Start));
}

BOOST_AUTO_TEST_CASE(TrafficToOtherRegionsStaysWithinTheLinkBudget)
{
    RoutingSettings settings = makeSettings();
    settings.interRegionBytesPerSecond = 10'000;
    TargetRouter router(settings, seededRandom(3), Start);
    router.update(makeRecord("far", "nue", "n1"), Start);
    std::size_t sent = 0;
    for (int i = 0; i < 10'000; ++i) {
        const TimePoint now = Start + std::chrono::milliseconds(i);
        const RoutingDecision decision = router.choose(makeRequest(), now);
        if (decision.choice) {
            router.recordAttemptStart(*decision.choice, now);
            router.recordAttemptEnd(*decision.choice, {Verdict::ran(), std::chrono::milliseconds(1), 1'500}, std::nullopt, now);
            sent += 2'000;
        }
    }
    // 10 s of the rate, plus the burst of 0.5 s and one request.
    BOOST_TEST(sent <= 107'000U);
    BOOST_TEST(sent >= 90'000U);
}

BOOST_AUTO_TEST_CASE(AHintRefusesOnlyRootsFarAboveItAndExpires)
{
    RoutingSettings settings = makeSettings();
    TargetRouter router(settings, seededRandom(3), Start);
    router.update(makeRecord("here", "muc", "m1"), Start);
    const RoutingDecision first = router.choose(makeRequest(), Start);
    router.recordAttemptStart(*first.choice, Start);
    router.recordAttemptEnd(*first.choice, {Verdict::refused(Reason::Overloaded), {}}, AdmissionHint{PriorityLevel{1}, 0.05, 5, 10}, Start);
    int passedFarBeyond = 0;
    for (std::uint64_t i = 1; i <= 1000; ++i) {
        const double share = rootShare(makeRequest(i).root);
        const bool isPassed = router.choose(makeRequest(i), Start).choice.has_value();
        BOOST_TEST((isPassed || share > 0.05));
        passedFarBeyond += isPassed && share > 0.5 ? 1 : 0;
    }
    // One probe is let through.
    BOOST_TEST(passedFarBeyond <= 1);
    RoutingRequest other = makeRequest();
    other.organisation = OrganisationId("other");
    for (std::uint64_t i = 1; i <= 100; ++i) {
        other.root = RequestId(i, i * 77);
        BOOST_TEST(router.choose(other, Start).choice.has_value());
        BOOST_TEST(router.choose(makeRequest(i), Start + std::chrono::seconds(2)).choice.has_value());
    }
}

BOOST_AUTO_TEST_CASE(ARestrictedRootHasTheSameCandidatesOnEveryNode)
{
    std::map<std::uint64_t, std::set<std::string>> candidates;
    for (const char *domain : {"m1", "m2"}) {
        RoutingSettings settings = makeSettings();
        settings.place.failureDomain = FailureDomainName(domain);
        TargetRouter router(settings, seededRandom(domain[1]), Start);
        for (int i = 0; i < 8; ++i) {
            router.update(makeRecord("t" + std::to_string(i), "muc", i % 2 == 0 ? "m1" : "m2"), Start);
        }
        for (std::uint64_t root = 1; root <= 200; ++root) {
            RoutingRequest request = makeRequest(root);
            request.restrictToRootCandidates = true;
            for (int attempt = 0; attempt < 8; ++attempt) {
                const RoutingDecision decision = router.choose(request, Start);
                if (decision.choice) {
                    candidates[root].insert(decision.choice->peer.node.text());
                    request.exclude.push_back(decision.choice->peer.node);
                }
            }
        }
    }
    for (const auto &[root, nodes] : candidates) {
        BOOST_TEST(nodes.size() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(ARestrictedRootKeepsItsExecutionLimitWhenATargetLeaves)
{
    TargetRouter router(makeSettings(), seededRandom(3), Start);
    for (int i = 0; i < 8; ++i) {
        router.update(makeRecord("t" + std::to_string(i), "muc", "m1"), Start);
    }
    std::map<std::uint64_t, std::set<std::string>> used;
    const auto ask = [&] {
        for (std::uint64_t root = 1; root <= 200; ++root) {
            RoutingRequest request = makeRequest(root);
            request.restrictToRootCandidates = true;
            for (int attempt = 0; attempt < 4; ++attempt) {
                const RoutingDecision decision = router.choose(request, Start);
                if (decision.choice) {
                    used[root].insert(decision.choice->peer.node.text());
                    request.exclude.push_back(decision.choice->peer.node);
                }
            }
        }
    };
    ask();
    router.update(makeRecord("t3", "muc", "m1", TargetState::Gone, 2), Start);
    ask();
    for (const auto &[root, nodes] : used) {
        BOOST_TEST(nodes.size() <= 3U);
    }
}

BOOST_AUTO_TEST_CASE(AServiceWithoutTargetsIsRefusedWithNoTarget)
{
    TargetRouter router(makeSettings(), seededRandom(3), Start);
    const RoutingDecision decision = router.choose(makeRequest(), Start);
    BOOST_TEST(!decision.choice.has_value());
    BOOST_CHECK(decision.verdict.reason() == Reason::NoTarget);
    BOOST_CHECK(decision.verdict.runState() == RunState::NotRun);
}

namespace
{
/// A target in the router's failure domain, one in another failure domain and one in another region, with Placement::ShortestTime.
struct ShortestTimeFixture {
    ShortestTimeFixture()
    {
        router.update(makeRecord("here", "muc", "m1"), Start);
        router.update(makeRecord("near", "muc", "m2"), Start);
        router.update(makeRecord("far", "nue", "n1"), Start);
    }
    static RoutingSettings settings()
    {
        RoutingSettings found = makeSettings();
        found.placement = Placement::ShortestTime;
        return found;
    }
    std::string nodeFor(TimePoint now, std::size_t bytes = 500)
    {
        RoutingRequest request = makeRequest();
        request.bytes = bytes;
        const RoutingDecision decision = router.choose(request, now);
        return decision.choice ? decision.choice->peer.node.text() : std::string();
    }
    /// Sends one attempt to each target, which answers with the latency given in @p times.
    void learn(const std::map<std::string, Duration> &times, TimePoint now)
    {
        for (std::size_t n = 0; n < times.size(); ++n) {
            RoutingRequest request = makeRequest();
            for (const std::string &it : learned) {
                request.exclude.push_back(NodeId(it));
            }
            const RoutingDecision decision = router.choose(request, now);
            BOOST_REQUIRE(decision.choice.has_value());
            const std::string node = decision.choice->peer.node.text();
            learned.insert(node);
            router.recordAttemptStart(*decision.choice, now);
            router.recordAttemptEnd(*decision.choice, {.verdict = Verdict::ran(), .latency = times.at(node)}, std::nullopt, now);
        }
    }

    std::set<std::string> learned;
    TargetRouter router{settings(), seededRandom(3), Start};
};
} // namespace

BOOST_AUTO_TEST_CASE(AmongTargetsOfSimilarLatencyTheNearestIsChosen)
{
    using namespace std::chrono_literals;
    ShortestTimeFixture fixture;
    fixture.learn({{"here", 120ms}, {"near", 100ms}, {"far", 60ms}}, Start);
    BOOST_CHECK_EQUAL(fixture.nodeFor(Start), "here");
}

BOOST_AUTO_TEST_CASE(AFasterTargetFartherAwayIsPreferredToASlowOne)
{
    using namespace std::chrono_literals;
    ShortestTimeFixture fixture;
    fixture.learn({{"here", 900ms}, {"near", 120ms}, {"far", 100ms}}, Start);
    BOOST_CHECK_EQUAL(fixture.nodeFor(Start), "near");
    // A slow measurement decays, so the target is tried again later.
    BOOST_CHECK_EQUAL(fixture.nodeFor(Start + 10s), "here");
}

BOOST_AUTO_TEST_CASE(AnotherRegionMustSaveMoreThanThePenaltyForDistanceAndBodySize)
{
    using namespace std::chrono_literals;
    ShortestTimeFixture fixture;
    fixture.learn({{"here", 900ms}, {"near", 900ms}, {"far", 200ms}}, Start);
    BOOST_CHECK_EQUAL(fixture.nodeFor(Start), "far");
    BOOST_CHECK_EQUAL(fixture.nodeFor(Start, 360'000), "here");
}

BOOST_AUTO_TEST_CASE(ANewTargetIsTriedAtOnce)
{
    using namespace std::chrono_literals;
    ShortestTimeFixture fixture;
    fixture.learn({{"here", 120ms}, {"near", 120ms}, {"far", 120ms}}, Start);
    fixture.router.update(makeRecord("joined", "muc", "m1"), Start + 1s);
    BOOST_CHECK_EQUAL(fixture.nodeFor(Start + 1s), "joined");
}

BOOST_AUTO_TEST_CASE(AnUnreachableTargetIsNotChosenUntilItIsReachable)
{
    using namespace std::chrono_literals;
    ShortestTimeFixture fixture;
    fixture.learn({{"here", 100ms}, {"near", 100ms}, {"far", 100ms}}, Start);
    fixture.router.setReachable(NodeId("here"), false);
    BOOST_CHECK_EQUAL(fixture.nodeFor(Start), "near");
    fixture.router.setReachable(NodeId("here"), true);
    BOOST_CHECK_EQUAL(fixture.nodeFor(Start), "here");
}

BOOST_AUTO_TEST_SUITE_END()

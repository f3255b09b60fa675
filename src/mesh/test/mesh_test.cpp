#include "mesh/test/meshfleet.h"
#include "mesh/test/meshrequests.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(mesh)

BOOST_AUTO_TEST_CASE(NodesThatRegisterAtTheSameTimeFindEachOther)
{
    MeshFleet fleet({"alpha", "beta"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.sendHeartbeat(1);
    BOOST_CHECK(fleet.requestUntil(0, getRequest("/b/1", "r1"), "200").ends_with("target-1"));
    BOOST_CHECK(fleet.requestUntil(1, getRequest("/a/1", "r2"), "200").ends_with("target-0"));
}

BOOST_AUTO_TEST_CASE(ANodeWithoutAConfigurationRefusesWithRetryAfter)
{
    MeshFleet fleet({"alpha"});
    const std::string answer = fleet.request(0, getRequest("/a/1", "r1"));
    BOOST_CHECK(answer.starts_with("HTTP/1.1 503"));
    BOOST_CHECK(answer.find("Retry-After: 0.500") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ATargetSeesTheOrganisationAndNeverTheKey)
{
    MeshFleet fleet({"alpha", "beta"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(1);
    fleet.requestUntil(0, getRequest("/b/1", "r1") + "Organisation: another\r\nCaller: another\r\nExpected: another\r\nX-Own: kept\r\n", "200");
    const std::vector<SeenRequest> seen = fleet.seenRequests();
    const std::vector<HttpHeader> &headers = seen.back().request.headers;
    BOOST_CHECK(findHeader(headers, "Organisation") == "carrier");
    BOOST_CHECK(findHeader(headers, "Caller") == "alpha");
    BOOST_CHECK(findHeader(headers, "Expected") == "target-1");
    BOOST_CHECK(findHeader(headers, "X-Own") == "kept");
    BOOST_CHECK(!findHeader(headers, "Authorization"));
    BOOST_CHECK_EQUAL(std::ranges::count(headers, "Organisation", &HttpHeader::name), 1);
}

BOOST_AUTO_TEST_CASE(ATargetSeesTheNameOfAnOrganisationAsItIsAndNothingThatItForges)
{
    const std::vector<std::pair<std::string, std::string>> names{
        {"North Airport", "North Airport"},
        {"M\u00fcnchen", "M\u00fcnchen"},
        {"100% \"sure\"", "100% \"sure\""},
        {"a\r\nCaller: another", "a%0D%0ACaller: another"},
        {" a ", "%20a%20"},
    };
    MeshFleet fleet({"alpha"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    for (const auto &[name, value] : names) {
        fleet.publish([&name = name](MeshObjects &it) { it.organisations = {{OrganisationId::verbatim(name), {"k1"}, std::nullopt, 0, 0}}; });
        const std::string expected = value;
        const auto isSeen = [&] {
            fleet.requestUntil(0, getRequest("/a/1", "r"), "200");
            return findHeader(fleet.seenRequests().back().request.headers, "Organisation") == expected;
        };
        while (!isSeen()) {
            std::this_thread::sleep_for(10ms);
        }
        BOOST_CHECK(findHeader(fleet.seenRequests().back().request.headers, "Caller") == "alpha");
    }
}

// Failure: a request with more headers than the node of its target reads ends the requests of all others between the two nodes.
BOOST_AUTO_TEST_CASE(ARequestWithManyHeadersIsServedAndEndsNoOther)
{
    MeshFleet fleet({"alpha", "beta"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(1);
    fleet.requestUntil(0, getRequest("/b/1", "r1"), "200");
    const std::size_t seenBefore = fleet.seenRequests().size();
    std::optional<std::pair<SeenRequest, HttpResponder>> held;
    fleet.setTargetHandler([&held](const SeenRequest &seen, const HttpResponder &respond) {
        if (seen.request.target == "/orders/held") {
            held.emplace(seen, respond);
        } else {
            respond(signedResponse(seen, 200));
        }
    });
    RawConnection caller(fleet.callerEndpoint(0));
    caller.write(getRequest("/orders/held", "held") + "Connection: close\r\n\r\n");
    fleet.waitUntilSeen(seenBefore + 1);
    std::string many = getRequest("/b/2", "many");
    for (int n = 0; n < 300; ++n) {
        many += "X-" + std::to_string(n) + ": \r\n";
    }
    BOOST_CHECK(fleet.request(0, many).starts_with("HTTP/1.1 200"));
    fleet.run([&held] { held->second(signedResponse(held->first, 200)); });
    BOOST_CHECK(caller.readToEnd().starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(AWithdrawnKeyStopsWorkingOnAnOpenConnection)
{
    MeshFleet fleet({"alpha"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.requestUntil(0, getRequest("/a/1", "r1"), "200");
    RawConnection connection(fleet.callerEndpoint(0));
    connection.write(getRequest("/a/1", "r2") + "\r\n");
    BOOST_CHECK(connection.readUntil("target-0").starts_with("HTTP/1.1 200"));
    fleet.publish([](MeshObjects &it) { it.organisations.front().keys = {"k2"}; });
    fleet.requestUntil(0, getRequest("/a/1", "r3"), "401");
    connection.write(getRequest("/a/1", "r4") + "\r\n");
    BOOST_CHECK(connection.readUntil("\r\n\r\n").starts_with("HTTP/1.1 401"));
}

BOOST_AUTO_TEST_CASE(ANodeThatTheStoreTurnsAwayHearsOfAConfigurationFromAPeer)
{
    MeshFleet fleet({"alpha", "beta"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.sendHeartbeat(1);
    fleet.requestUntil(1, getRequest("/a/1", "r1"), "200");
    fleet.run([&] { fleet.store().setUnavailable("node-1", true); });
    fleet.publish([](MeshObjects &it) { it.routes.push_back(route("new", "alpha")); });
    BOOST_CHECK(fleet.requestUntil(1, getRequest("/new/1", "r2"), "200").ends_with("target-0"));
}

// Failure: a row that can't be read counts as none, and each process that starts spends the retries of a whole window again.
BOOST_AUTO_TEST_CASE(ANodeThatCantReadItsOwnRowKnowsThatItHasRunBefore)
{
    MeshFleet fleet({"alpha"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.requestUntil(0, getRequest("/a/1", "r1"), "200");
    fleet.kill(0);
    fleet.run([&] { fleet.store().put({"hosts", "node-0"}, "of a later version"); });
    fleet.start(0);
    fleet.sendHeartbeat(0);
    fleet.requestUntil(0, getRequest("/a/1", "r2"), "200");
    fleet.setTargetHandler([](const SeenRequest &seen, const HttpResponder &respond) {
        HttpResponse response = signedResponse(seen, 503);
        response.headers.push_back({"Not-Run", "1"});
        respond(std::move(response));
    });
    fleet.request(0, getRequest("/a/1", "rejected"));
    BOOST_CHECK_EQUAL(countOf(fleet.seenRequests(), "rejected"), 1U);
}

BOOST_AUTO_TEST_CASE(AnAcknowledgedLeavingSurvivesTheNodeByTheStore)
{
    MeshFleet fleet({"alpha"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.requestUntil(0, getRequest("/a/1", "r1"), "200");
    fleet.sendHeartbeat(0, true);
    fleet.restart(0);
    fleet.sendHeartbeat(0);
    fleet.requestUntil(0, getRequest("/none/1", "r2"), "404");
    BOOST_CHECK(fleet.request(0, getRequest("/a/1", "r3")).starts_with("HTTP/1.1 503"));
    BOOST_CHECK_EQUAL(countOf(fleet.seenRequests(), "r3"), 0);
}

BOOST_AUTO_TEST_CASE(AnAcknowledgedLeavingSurvivesTheNodeByItsPeersWhereTheStoreIsAway)
{
    MeshFleet fleet({"alpha", "beta"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.requestUntil(1, getRequest("/a/1", "r1"), "200");
    fleet.run([&] { fleet.store().setUnavailable("node-0", true); });
    fleet.deregisterTarget(0);
    fleet.restart(0);
    fleet.sendHeartbeat(0);
    // The configuration also comes from the peer.
    fleet.requestUntil(0, getRequest("/none/1", "r2"), "404");
    BOOST_CHECK(fleet.request(0, getRequest("/a/1", "r3")).starts_with("HTTP/1.1 503"));
    BOOST_CHECK_EQUAL(countOf(fleet.seenRequests(), "r3"), 0);
}

BOOST_AUTO_TEST_CASE(ADepartureThatTheStoreCouldNotTakeIsWrittenWhenItIsBack)
{
    MeshFleet fleet({"alpha", "beta"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.requestUntil(1, getRequest("/a/1", "r1"), "200");
    fleet.run([&] { fleet.store().setUnavailable("node-0", true); });
    fleet.sendHeartbeat(0, true);
    const auto writes = [&] { return fleet.run([&] { return fleet.store().writesOf("node-0"); }); };
    const std::uint64_t before = writes();
    fleet.run([&] { fleet.store().setUnavailable("node-0", false); });
    const auto deadline = std::chrono::steady_clock::now() + 10s;
    while (writes() == before && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(20ms);
    }
    // No process is left that remembers it.
    fleet.kill(0);
    fleet.kill(1);
    fleet.start(0);
    fleet.start(1);
    fleet.sendHeartbeat(0);
    fleet.waitUntilConnected();
    for (int n = 0; n < 50; ++n) {
        fleet.request(1, getRequest("/a/1", "r2"));
        std::this_thread::sleep_for(10ms);
    }
    BOOST_CHECK_EQUAL(countOf(fleet.seenRequests(), "r2"), 0);
}

BOOST_AUTO_TEST_CASE(ARequestMovesFromALeavingTargetToAnother)
{
    MeshFleet fleet({"alpha", "alpha", "beta"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.sendHeartbeat(1);
    fleet.requestUntil(2, getRequest("/a/1", "r0"), "200");
    fleet.sendHeartbeat(0, true);
    for (int n = 0; n < 20; ++n) {
        BOOST_CHECK(fleet.request(2, getRequest("/a/1", "r" + std::to_string(n + 1))).ends_with("target-1"));
    }
}

BOOST_AUTO_TEST_CASE(ARequestThatMayHaveRunIsRepeatedOnlyWhereItMayRunTwice)
{
    MeshFleet fleet({"beta", "beta", "alpha"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.sendHeartbeat(1);
    fleet.requestUntil(2, getRequest("/b/1", "r0"), "200");
    fleet.setTargetHandler([](const SeenRequest &seen, const HttpResponder &respond) {
        // Without a signature it is unknown whether the request ran.
        HttpResponse answer = signedResponse(seen, 200);
        std::erase_if(answer.headers, [](const HttpHeader &it) { return it.name == "Signature"; });
        respond(std::move(answer));
    });
    BOOST_CHECK(fleet.request(2, getRequest("/b/1", "safe")).starts_with("HTTP/1.1 502"));
    BOOST_CHECK(fleet.request(2, getRequest("/orders/1", "order")).starts_with("HTTP/1.1 502"));
    BOOST_CHECK_EQUAL(countOf(fleet.seenRequests(), "safe"), 2);
    BOOST_CHECK_EQUAL(countOf(fleet.seenRequests(), "order"), 1);
}

BOOST_AUTO_TEST_CASE(ARefusalThatSaysNotRunMovesAnOrderToAnotherTarget)
{
    MeshFleet fleet({"beta", "beta", "alpha"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.sendHeartbeat(1);
    fleet.requestUntil(2, getRequest("/b/1", "r0"), "200");
    const auto isFirst = std::make_shared<bool>(true);
    fleet.setTargetHandler([isFirst](const SeenRequest &seen, const HttpResponder &respond) {
        if (std::exchange(*isFirst, false)) {
            respond({.status = 503, .headers = {{"Not-Run", "1"}}, .body = {}});
            return;
        }
        respond(signedResponse(seen, 200));
    });
    BOOST_CHECK(fleet.request(2, getRequest("/orders/1", "order")).starts_with("HTTP/1.1 200"));
    BOOST_CHECK_EQUAL(countOf(fleet.seenRequests(), "order"), 2);
}

BOOST_AUTO_TEST_CASE(AnErrorResponseOfTheTargetIsForwardedUnchanged)
{
    MeshFleet fleet({"alpha"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.requestUntil(0, getRequest("/a/1", "r0"), "200");
    fleet.setTargetHandler([](const SeenRequest &seen, const HttpResponder &respond) { respond(signedResponse(seen, 500)); });
    const std::string answer = fleet.request(0, getRequest("/a/1", "r1"));
    BOOST_CHECK(answer.starts_with("HTTP/1.1 500"));
    BOOST_CHECK(answer.find("Signature: s") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesEndsTheWorkAtTheTarget)
{
    MeshFleet fleet({"alpha", "beta"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(1);
    fleet.requestUntil(0, getRequest("/b/1", "r0"), "200");
    const auto left = std::make_shared<std::promise<void>>();
    fleet.setTargetHandler([left](const SeenRequest &, const HttpResponder &respond) { respond.whenClientLeaves([left] { left->set_value(); }); });
    const std::size_t before = fleet.seenRequests().size();
    RawConnection connection(fleet.callerEndpoint(0));
    connection.write(getRequest("/b/1", "r1") + "\r\n");
    fleet.waitUntilSeen(before + 1);
    connection.close();
    left->get_future().wait();
}

BOOST_AUTO_TEST_CASE(ARequestWhoseTimeIsOverInTheQueueIsAnsweredAsNotRun)
{
    MeshFleet fleet({"alpha", "beta"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(1);
    fleet.requestUntil(0, getRequest("/b/1", "r0"), "200");
    fleet.setTargetHandler([](const SeenRequest &, const HttpResponder &) {});
    std::vector<std::unique_ptr<RawConnection>> busy;
    const std::size_t before = fleet.seenRequests().size();
    // As many as the node lets its target run at once.
    constexpr std::size_t UsableSlots = 7;
    for (std::size_t n = 0; n < UsableSlots; ++n) {
        busy.push_back(std::make_unique<RawConnection>(fleet.callerEndpoint(0)));
        busy.back()->write(getRequest("/b/1", "busy" + std::to_string(n)) + "\r\n");
    }
    fleet.waitUntilSeen(before + UsableSlots);
    for (int n = 0; n < 5; ++n) {
        const std::string id = "order" + std::to_string(n);
        const std::string answer = fleet.request(0, getRequest("/orders/1", id, "90"));
        BOOST_CHECK_MESSAGE(answer.starts_with("HTTP/1.1 503"), answer);
        BOOST_CHECK_EQUAL(countOf(fleet.seenRequests(), id), 0);
    }
}

BOOST_AUTO_TEST_CASE(AKilledNodeIsFoundAgain)
{
    MeshFleet fleet({"alpha", "beta"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(1);
    fleet.requestUntil(0, getRequest("/b/1", "r0"), "200");
    fleet.restart(1);
    fleet.sendHeartbeat(1);
    BOOST_CHECK(fleet.requestUntil(0, getRequest("/b/1", "r1"), "200").ends_with("target-1"));
}

BOOST_AUTO_TEST_CASE(ARestartedNodeServesItsTargetBeforeTheNextHeartbeat)
{
    MeshFleet fleet({"alpha"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.requestUntil(0, getRequest("/a/1", "r0"), "200");
    fleet.restart(0);
    BOOST_CHECK(fleet.requestUntil(0, getRequest("/a/1", "r1"), "200").ends_with("target-0"));
}

// The store was away, so that only the processes knew; all of them are killed. The target itself still says that it leaves.
BOOST_AUTO_TEST_CASE(AnAcknowledgedLeavingHoldsAfterAllNodesAreKilledWhileTheStoreIsAway)
{
    MeshFleet fleet({"alpha", "beta"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.requestUntil(1, getRequest("/a/1", "r0"), "200");
    const auto setStoreAway = [&fleet](bool isAway) {
        fleet.run([&] {
            fleet.store().setUnavailable("node-0", isAway);
            fleet.store().setUnavailable("node-1", isAway);
        });
    };
    setStoreAway(true);
    fleet.setTargetHealth(0, 503);
    fleet.deregisterTarget(0);
    fleet.kill(0);
    fleet.kill(1);
    setStoreAway(false);
    fleet.start(0);
    fleet.start(1);
    // A late heartbeat from before the departure.
    fleet.sendHeartbeat(0);
    fleet.sendHeartbeat(1);
    fleet.requestUntil(0, getRequest("/b/1", "r1"), "200");
    std::this_thread::sleep_for(500ms);
    for (int n = 0; n < 10; ++n) {
        const std::string id = "late" + std::to_string(n);
        BOOST_CHECK(fleet.request(static_cast<std::size_t>(n % 2), getRequest("/a/1", id)).starts_with("HTTP/1.1 503"));
        BOOST_CHECK_EQUAL(countOf(fleet.seenRequests(), id), 0U);
    }
}

BOOST_AUTO_TEST_CASE(ATargetThatIsBusyWhenItsNodeStartsIsServedOnceItsHealthCheckIsAnswered)
{
    MeshFleet fleet({"alpha"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.requestUntil(0, getRequest("/a/1", "r0"), "200");
    fleet.setTargetHealth(0, 503);
    fleet.restart(0);
    fleet.sendHeartbeat(0);
    std::this_thread::sleep_for(400ms);
    fleet.setTargetHealth(0, 200);
    fleet.sendHeartbeat(0);
    BOOST_CHECK(fleet.requestUntil(0, getRequest("/a/1", "r1"), "200").ends_with("target-0"));
}

BOOST_AUTO_TEST_SUITE_END()

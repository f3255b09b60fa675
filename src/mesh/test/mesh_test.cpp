#include "mesh/test/meshfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
const std::string Head = "Host: hr.example\r\nRemaining: 5000\r\nAuthorization: Key k1\r\n";

std::string getRequest(const std::string &path, const std::string &id)
{
    return "GET " + path + " HTTP/1.1\r\nRequest: " + id + "\r\n" + Head;
}

MeshRoute route(const std::string &name, const std::string &service, Repeatability repeatability = Repeatability::Idempotent)
{
    return {
        .name = RouteName(name),
        .host = "hr.example",
        .pathPrefix = "/" + name + "/",
        .repeatability = repeatability,
        .timeLimit = 5s,
        .targetLatency = 1s,
        .priority = PriorityLevel{1},
        .services = {{ServiceName(service), 1}},
        .maxAttempts = 2,
        .isAnonymous = false,
    };
}

void addOrganisation(MeshObjects &objects)
{
    objects.organisations = {{OrganisationId("carrier"), {"k1"}, std::nullopt, 0, 0}};
}

/// Publishes the routes whose service is part of the fleet.
void publishRoutes(MeshFleet &fleet)
{
    fleet.publish([](MeshObjects &it) {
        it.routes = {route("a", "alpha"), route("b", "beta"), route("orders", "beta", Repeatability::AtMostOnce)};
        std::erase_if(it.routes, [&it](const MeshRoute &route) {
            return std::ranges::find(it.services, route.services.front().service, &MeshService::name) == it.services.end();
        });
        addOrganisation(it);
    });
}

HttpResponse signedResponse(const SeenRequest &seen, int status)
{
    return {.status = status,
            .headers = {{"Request", std::string(findHeader(seen.request.headers, "Request").value_or(""))}, {"Signature", "s"}},
            .body = seen.target};
}

std::size_t countOf(const std::vector<SeenRequest> &seen, const std::string &id)
{
    return static_cast<std::size_t>(std::ranges::count_if(seen, [&](const SeenRequest &it) { return findHeader(it.request.headers, "Request") == id; }));
}
} // namespace

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

BOOST_AUTO_TEST_SUITE_END()

// Hosts that are gone and whose address another host has taken.

#include "mesh/meshpeers.h"
#include "mesh/test/meshfleet.h"
#include "mesh/test/meshrequests.h"
#include "protocol/callmessages.h"
#include "transport/peernetwork.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
const Place OwnPlace{RegionName("muc"), FailureDomainName("muc-a")};

/// A peer that sends one request to a node, and waits for the answer.
CallAnswer call(const MeshFleet &fleet, const ServiceName &service)
{
    std::promise<CallAnswer> answered;
    std::future<CallAnswer> answer = answered.get_future();
    const Peer self{NodeId("peer"), Incarnation{1}, OwnPlace, freeLoopback()};
    PeerNetwork network(PeerNetworkSettings{.self = self, .secret = fleet.secret(), .threads = 1},
                        PeerNetworkHooks{
                            .message =
                                [&answered](const Peer &, const Envelope &envelope) {
                                    if (envelope.type == MessageType::CallAnswer) {
                                        answered.set_value(CallAnswer::decode(envelope));
                                    }
                                },
                            .lost = [](const Endpoint &, bool) {},
                            .refused = [](const std::string &, const std::string &) {},
                            .malformed = [](const Peer &, const std::string &) {},
                        });
    network.start();
    CallRequest request{.attempt = AttemptId{7},
                        .context = {.root = RequestId(3, 4),
                                    .hasStableRoot = false,
                                    .organisation = OrganisationId("carrier"),
                                    .key = KeyId("none"),
                                    .priority = PriorityLevel{1},
                                    .remaining = 5s,
                                    .retryBudget = 0,
                                    .depth = 0},
                        .service = service,
                        .route = RouteName("a"),
                        .claim = std::nullopt,
                        .repeatId = std::nullopt,
                        .targetIncarnation = {},
                        .http = {.method = "GET", .target = "/a/1", .headers = {{"Host", "hr.example"}, {"Request", "direct-" + service.text()}}, .body = {}}};
    network.send(fleet.peerEndpoint(0), request.encode());
    CallAnswer found = answer.get();
    network.stop();
    return found;
}

Peer peerAt(const std::string &name, std::uint64_t incarnation, std::uint16_t port)
{
    return {NodeId(name), Incarnation{incarnation}, OwnPlace, Endpoint("127.0.0.1", port)};
}
} // namespace

BOOST_AUTO_TEST_SUITE(reusedaddress)

// The sender believes that the host before, of another service, is still at this address.
BOOST_AUTO_TEST_CASE(ATargetRunsNoRequestForAnotherServiceThanItsOwn)
{
    MeshFleet fleet({"alpha"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.requestUntil(0, getRequest("/a/1", "r0"), "200");
    const CallAnswer refused = call(fleet, ServiceName("beta"));
    BOOST_CHECK(refused.verdict.runState() == RunState::NotRun);
    BOOST_CHECK(refused.verdict.reason() == Reason::NoTarget);
    BOOST_CHECK_EQUAL(countOf(fleet.seenRequests(), "direct-beta"), 0U);
    const CallAnswer served = call(fleet, ServiceName("alpha"));
    BOOST_CHECK_MESSAGE(served.verdict.isSuccess(), nameOf(served.verdict.reason()));
}

BOOST_AUTO_TEST_CASE(OfTwoNodesAtOneAddressTheLaterOneIsThere)
{
    MeshPeers peers(NodeId("self"), OwnPlace);
    BOOST_CHECK(peers.addFromRoster(peerAt("before", 5, 100), TimePoint(1s)));
    BOOST_CHECK(peers.findOtherAt(peerAt("after", 6, 100)) != nullptr);
    BOOST_CHECK(peers.addFromRoster(peerAt("after", 6, 100), TimePoint(1s)));
    BOOST_CHECK(peers.find(NodeId("before")) == nullptr);
    BOOST_CHECK(!peers.addFromRoster(peerAt("before", 5, 100), TimePoint(2s)));
    BOOST_REQUIRE(peers.find(Endpoint("127.0.0.1", 100)) != nullptr);
    BOOST_CHECK(peers.find(Endpoint("127.0.0.1", 100))->peer.node == NodeId("after"));
    BOOST_CHECK(peers.findOtherAt(peerAt("after", 7, 100)) == nullptr);
    peers.remove(NodeId("after"));
    BOOST_CHECK(peers.find(Endpoint("127.0.0.1", 100)) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

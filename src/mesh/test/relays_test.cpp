#include "mesh/test/meshfleet.h"
#include "mesh/test/meshrequests.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
/// Two regions of four nodes. Node 3 and node 7 have a target of the service beta, the others one of alpha.
class RelayFixture
{
public:
    RelayFixture()
        : fleet({"alpha", "alpha", "alpha", "beta", "alpha", "alpha", "alpha", "beta"}, {"muc", "muc", "muc", "muc", "nue", "nue", "nue", "nue"})
    {
        publishRoutes(fleet);
        for (std::size_t n = 0; n < Nodes; ++n) {
            fleet.sendHeartbeat(n);
        }
        fleet.waitUntilConnected();
    }

    /// The node of the region that sends most batches.
    std::size_t relayOf(std::size_t first)
    {
        std::size_t relay = first;
        double most = -1;
        for (std::size_t n = first; n < first + Nodes / 2; ++n) {
            const double sent = sentBatches(n);
            if (sent > most) {
                most = sent;
                relay = n;
            }
        }
        return relay;
    }
    double sentBatches(std::size_t node)
    {
        double sent = 0;
        for (const std::string distance : {"failure-domain", "region", "other-region"}) {
            sent += fleet.metric(node, R"(banyankeel_peer_messages_total{direction="sent",type="report-batch",distance=")" + distance + "\"}");
        }
        return sent;
    }

    static constexpr std::size_t Nodes = 8;
    MeshFleet fleet;
};
} // namespace

BOOST_AUTO_TEST_SUITE(relays)

BOOST_AUTO_TEST_CASE(NodesThatReportToRelaysOnlyHearOfAllOthers)
{
    RelayFixture it;
    // Reports between all nodes would be some hundred in this time.
    std::this_thread::sleep_for(4s);
    double reports = 0;
    for (std::size_t n = 0; n < RelayFixture::Nodes; ++n) {
        BOOST_CHECK_EQUAL(it.fleet.metric(n, "banyankeel_reachable_peers"), RelayFixture::Nodes - 1);
        reports += it.fleet.metric(n, R"(banyankeel_peer_messages_total{direction="sent",type="node-report",distance="other-region"})");
    }
    // Two relays renew their subscriptions.
    BOOST_CHECK_LE(reports, 60);
}

BOOST_AUTO_TEST_CASE(ARelayThatIsKilledIsReplacedAndNobodyElseIsLost)
{
    RelayFixture it;
    std::this_thread::sleep_for(1s);
    const std::size_t relay = it.relayOf(0);
    it.fleet.kill(relay);
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (std::chrono::steady_clock::now() < end) {
        for (std::size_t n = 0; n < RelayFixture::Nodes; ++n) {
            if (n != relay) {
                BOOST_REQUIRE_GE(it.fleet.metric(n, "banyankeel_reachable_peers"), RelayFixture::Nodes - 2);
            }
        }
        std::this_thread::sleep_for(50ms);
    }
    // A target that starts after that is heard of everywhere.
    it.fleet.start(relay);
    it.fleet.sendHeartbeat(relay);
    it.fleet.waitUntilConnected();
}

BOOST_AUTO_TEST_CASE(RelaysKilledInSeriesAreReplaced)
{
    RelayFixture it;
    std::vector<std::size_t> killed;
    for (int n = 0; n < 3; ++n) {
        std::this_thread::sleep_for(1s);
        std::size_t relay = RelayFixture::Nodes;
        double most = -1;
        for (std::size_t node = 0; node < 4; ++node) {
            if (std::ranges::find(killed, node) == killed.end() && it.sentBatches(node) > most) {
                most = it.sentBatches(node);
                relay = node;
            }
        }
        it.fleet.kill(relay);
        killed.push_back(relay);
    }
    for (const std::size_t node : killed) {
        it.fleet.start(node);
        it.fleet.sendHeartbeat(node);
    }
    it.fleet.waitUntilConnected();
}

BOOST_AUTO_TEST_CASE(ADepartureReachesTheOtherRegionAlthoughTheRelayDiesWithIt)
{
    RelayFixture it;
    std::this_thread::sleep_for(1s);
    const std::size_t relay = it.relayOf(0);
    const std::size_t leaving = relay == 3 ? 0 : 3;
    it.fleet.deregisterTarget(leaving);
    it.fleet.kill(relay);
    const std::string path = leaving == 3 ? "/b/1" : "/a/1";
    const std::string target = "target-" + std::to_string(leaving);
    for (int n = 0; n < 30; ++n) {
        const std::string answer = it.fleet.request(5, getRequest(path, "r" + std::to_string(n), "500"));
        BOOST_CHECK(!answer.ends_with(target));
    }
}

// A node that found nobody when it started goes on trying. The others know nobody, as the store turns them away.
BOOST_AUTO_TEST_CASE(ANodeThatStartedAloneFindsThoseThatComeLater)
{
    MeshFleet fleet({"alpha", "alpha", "beta"});
    publishRoutes(fleet);
    fleet.waitUntilConnected();
    for (std::size_t n = 0; n < 3; ++n) {
        fleet.kill(n);
    }
    fleet.run([&] {
        fleet.store().setUnavailable("node-1", true);
        fleet.store().setUnavailable("node-2", true);
    });
    fleet.start(0);
    std::this_thread::sleep_for(2500ms);
    fleet.start(1);
    fleet.start(2);
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (fleet.metric(2, "banyankeel_reachable_peers") < 2 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(50ms);
    }
    BOOST_CHECK_EQUAL(fleet.metric(2, "banyankeel_reachable_peers"), 2);
}

BOOST_AUTO_TEST_CASE(AllNodesStartAgainAndFindEachOther)
{
    RelayFixture it;
    for (std::size_t n = 0; n < RelayFixture::Nodes; ++n) {
        it.fleet.kill(n);
    }
    for (std::size_t n = 0; n < RelayFixture::Nodes; ++n) {
        it.fleet.start(n);
    }
    it.fleet.waitUntilConnected();
    BOOST_CHECK(it.fleet.requestUntil(0, getRequest("/b/1", "r1"), "200").find("target-") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

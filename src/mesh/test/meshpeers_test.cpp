#include "mesh/meshpeers.h"

#include "protocol/targetcodec.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
const TimePoint Begin{1'000s};
const RegionName Muc("muc");
const RegionName Nue("nue");

Peer peerOf(const std::string &node, const RegionName &region = Muc, std::uint64_t incarnation = 1)
{
    static std::uint16_t port = 1;
    return {NodeId(node), Incarnation{incarnation}, {region, FailureDomainName(region.text() + "-a")}, Endpoint("127.0.0.1", ++port)};
}

NodeReport reportOf(std::uint64_t sequence, bool isStopping = false)
{
    NodeReport report{.asksReply = false,
                      .isComplete = false,
                      .configuration = {},
                      .target = std::nullopt,
                      .departures = {},
                      .receiverDepartures = {},
                      .uses = {},
                      .isStopping = isStopping};
    report.sequence = sequence;
    return report;
}

MeshPeers peersOf(const std::vector<Peer> &peers)
{
    MeshPeers found(NodeId("self"), {Muc, FailureDomainName("muc-a")});
    for (const Peer &it : peers) {
        found.recordReport(it, reportOf(1), Begin).isReachable = true;
    }
    return found;
}
} // namespace

BOOST_AUTO_TEST_SUITE(meshpeers)

// Two relays may both pass on a report, and one may be late: each report counts once, and none of a process that has ended.
BOOST_AUTO_TEST_CASE(AReportThatComesTwiceOrTooLateIsOutdated)
{
    const Peer peer = peerOf("a", Muc, 5);
    MeshPeers peers = peersOf({peer});
    peers.recordReport(peer, reportOf(7), Begin);
    BOOST_CHECK(peers.isOutdated(peer, reportOf(7)));
    BOOST_CHECK(peers.isOutdated(peer, reportOf(6)));
    BOOST_CHECK(!peers.isOutdated(peer, reportOf(8)));
    // Not one of a relay.
    BOOST_CHECK(!peers.isOutdated(peer, reportOf(0)));
    BOOST_CHECK(peers.isOutdated(peerOf("a", Muc, 4), reportOf(9)));
    BOOST_CHECK(!peers.isOutdated(peerOf("a", Muc, 6), reportOf(1)));
}

BOOST_AUTO_TEST_CASE(SilenceIsJudgedByWhatIsHeardOfTheRegion)
{
    MeshPeers peers = peersOf({peerOf("a"), peerOf("b", Nue)});
    const TimePoint now = Begin + 3s;
    const auto silent = [&](TimePoint muc, TimePoint nue) {
        std::vector<std::string> names;
        for (const KnownPeer *it : peers.findSilent({{Muc, muc}, {Nue, nue}}, now, 2s, 6s)) {
            names.push_back(it->peer.node.text());
        }
        return names;
    };
    using Names = std::vector<std::string>;
    BOOST_CHECK(silent(now, now) == (Names{"a", "b"}));
    // The relay has passed on nothing of the other region since.
    BOOST_CHECK(silent(now, Begin) == Names{"a"});
    BOOST_CHECK(silent(Begin, Begin).empty());
}

BOOST_AUTO_TEST_CASE(NodesThatStopOrAreLostRelayNothing)
{
    MeshPeers peers = peersOf({peerOf("a"), peerOf("b"), peerOf("c", Nue)});
    BOOST_CHECK_EQUAL(peers.relayCandidates(Muc, Begin, 1s).size(), 3);
    BOOST_CHECK_EQUAL(peers.relayCandidates(Nue, Begin, 1s).size(), 1);
    const Peer stopping = peers.find(NodeId("a"))->peer;
    peers.recordReport(stopping, reportOf(2, true), Begin);
    peers.find(NodeId("b"))->isReachable = false;
    BOOST_CHECK(peers.relayCandidates(Muc, Begin, 1s) == std::vector<NodeId>{NodeId("self")});
    // A node of the roster may be one until it turns out that it is not there.
    peers.addFromRoster(peerOf("d"), Begin);
    BOOST_CHECK_EQUAL(peers.relayCandidates(Muc, Begin, 1s).size(), 2);
    BOOST_CHECK_EQUAL(peers.relayCandidates(Muc, Begin + 2s, 1s).size(), 1);
}

// Failure: after many planned restarts of a host its peers tell it of more departures than it reads, and lose the connection with all that is under way.
BOOST_AUTO_TEST_CASE(OfAPeerThatHasRestartedOftenOnlyTheLastDeparturesAreKept)
{
    constexpr std::size_t Restarts = 3 * MaxDepartures;
    MeshPeers peers = peersOf({});
    Peer peer = peerOf("a");
    for (std::size_t n = 1; n <= Restarts; ++n) {
        peer.incarnation = Incarnation{n};
        NodeReport report = reportOf(1);
        report.departures = {{"boot-" + std::to_string(n), WallTime(std::chrono::seconds(n))}};
        peers.recordReport(peer, report, Begin);
    }
    const std::vector<TargetDeparture> &known = peers.find(peer.node)->departures.all();
    BOOST_CHECK_LE(known.size(), MaxDepartures);
    BOOST_CHECK_EQUAL(known.back().name, "boot-" + std::to_string(Restarts));
    NodeReport told = reportOf(1);
    told.receiverDepartures = known;
    BOOST_CHECK_NO_THROW(NodeReport::decode(told.encode()));
}

BOOST_AUTO_TEST_SUITE_END()

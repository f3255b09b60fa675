#include "coordination/fleet/relayhub.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
const TimePoint Begin{1'000s};
const RegionName North("north");
const NodeId Near("near");
const NodeId Far("far");

RelayedReport reportOf(const std::string &node)
{
    return {NodeId(node), Incarnation{1}, std::nullopt, Duration::zero(), "report of " + node};
}

LoadReport loadOf(const std::string &service, std::uint32_t slots)
{
    return {ServiceName(service), slots, 1, {}, {}, {}, {}};
}

std::vector<std::string> nodesIn(const ReportBatch &batch)
{
    std::vector<std::string> nodes;
    for (const RelayedReport &it : batch.entries) {
        nodes.push_back(it.node.text());
    }
    return nodes;
}

/// A hub with a subscriber of its region and a relay of another one.
class HubRig
{
public:
    HubRig()
    {
        hub.subscribe(Near, ReportSubscription::Fleet, now);
        hub.subscribe(Far, ReportSubscription::Region, now);
    }
    /// The nodes whose reports @p subscriber gets in the batch that is due.
    std::optional<std::vector<std::string>> flushFor(const NodeId &subscriber)
    {
        for (const OutgoingBatch &it : hub.flush(now)) {
            if (std::ranges::find(it.recipients, subscriber) != it.recipients.end()) {
                return nodesIn(it.batch);
            }
        }
        return std::nullopt;
    }

    RelayHub hub{North, {}};
    TimePoint now = Begin;
};

using Nodes = std::vector<std::string>;
} // namespace

BOOST_AUTO_TEST_SUITE(relayhub)

BOOST_AUTO_TEST_CASE(ReportsOfOtherRegionsAreNotSentBackToTheirRelay)
{
    for (const auto &[subscriber, expected] : {std::pair(Near, Nodes{"a", "b"}), std::pair(Far, Nodes{"a"})}) {
        HubRig rig;
        rig.hub.addReport(reportOf("a"), ReportOrigin::OwnRegion, false, rig.now);
        rig.hub.addReport(reportOf("b"), ReportOrigin::OtherRegion, false, rig.now);
        BOOST_CHECK(rig.flushFor(subscriber) == expected);
    }
}

BOOST_AUTO_TEST_CASE(AReportIsSentOnceAndBatchesAreSentWithoutReportsToo)
{
    HubRig rig;
    rig.hub.addReport(reportOf("a"), ReportOrigin::OwnRegion, false, rig.now);
    BOOST_CHECK(rig.flushFor(Near) == Nodes{"a"});
    rig.now += 100ms;
    BOOST_CHECK(!rig.flushFor(Near));
    rig.now += 200ms;
    BOOST_CHECK(rig.flushFor(Near) == Nodes{});
}

BOOST_AUTO_TEST_CASE(AnUrgentReportDoesNotWaitForTheNextBatch)
{
    HubRig rig;
    rig.flushFor(Near);
    rig.now += 60ms;
    rig.hub.addReport(reportOf("a"), ReportOrigin::OwnRegion, true, rig.now);
    BOOST_CHECK(rig.flushFor(Near) == Nodes{"a"});
}

BOOST_AUTO_TEST_CASE(ASubscriptionThatIsNotRenewedEnds)
{
    HubRig rig;
    rig.now += 2s;
    rig.hub.subscribe(Near, ReportSubscription::Fleet, rig.now);
    rig.now += 2s;
    BOOST_CHECK(rig.hub.hasSubscribers(rig.now));
    BOOST_CHECK(rig.flushFor(Far) == std::nullopt);
    rig.now += 2s;
    BOOST_CHECK(!rig.hub.hasSubscribers(rig.now));
}

// A subscriber that comes from a lost relay misses nothing that came while it changed.
BOOST_AUTO_TEST_CASE(TheHistoryHasTheReportsOfTheLastSecondsWithTheirAge)
{
    HubRig rig;
    rig.hub.addReport(reportOf("old"), ReportOrigin::OwnRegion, false, rig.now);
    rig.flushFor(Near);
    rig.now += 2s;
    rig.hub.addReport(reportOf("a"), ReportOrigin::OwnRegion, false, rig.now);
    rig.flushFor(Near);
    rig.now += 1s;
    rig.flushFor(Near);
    const ReportBatch history = rig.hub.history(ReportSubscription::Fleet, rig.now);
    BOOST_CHECK(nodesIn(history) == Nodes{"a"});
    BOOST_CHECK(history.entries.front().age == 1s);
}

BOOST_AUTO_TEST_CASE(TheLoadOfARegionIsSentByServiceAndThatOfOthersAsItComes)
{
    HubRig rig;
    rig.hub.recordLoad(NodeId("a"), loadOf("alpha", 4), rig.now);
    rig.hub.recordLoad(NodeId("b"), loadOf("alpha", 3), rig.now);
    rig.hub.recordLoad(NodeId("c"), loadOf("beta", 2), rig.now);
    rig.hub.addLoad({RegionName("south"), loadOf("alpha", 9)});
    const std::vector<OutgoingBatch> batches = rig.hub.flush(rig.now);
    BOOST_REQUIRE(batches.size() == 2);
    for (const OutgoingBatch &it : batches) {
        const bool isFleet = it.recipients.front() == Near;
        BOOST_REQUIRE(it.batch.loads.size() == (isFleet ? 3 : 2));
        BOOST_CHECK_EQUAL(it.batch.loads[0].load.slots, 7);
        BOOST_CHECK_EQUAL(it.batch.loads[1].load.slots, 2);
        BOOST_CHECK(!isFleet || it.batch.loads[2].region == RegionName("south"));
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include "protocol/nodereport.h"

#include "protocol/hostrow.h"
#include "protocol/test/messagechecks.h"

using namespace banyankeel;
using namespace banyankeel::testing;

BOOST_AUTO_TEST_SUITE(nodereport)

BOOST_AUTO_TEST_CASE(ACompleteReportReadsBack)
{
    const Peer peer{NodeId("host-1"), Incarnation{7}, {RegionName("north"), FailureDomainName("north-a")}, Endpoint("10.0.0.1", 7000)};
    checkReadsBack(NodeReport{
        .asksReply = true,
        .isComplete = true,
        .configuration = ConfigurationVersion{12},
        .target = TargetRecord{peer, ServiceName("archive"), TargetState::Serving, 8, 8, 3},
        .departures = {{"i-1", WallTime(std::chrono::seconds(5))}},
        .receiverDepartures = {{"i-2", WallTime::max()}},
        .uses = {{OrganisationId("amsel"), -3, 0.25}, {OrganisationId("star"), 100'000, 12.5}},
        .isStopping = false,
        .load = LoadReport{ServiceName("archive"), 8, 2.5, {}, {}, {}, {}},
        .isStoreReachable = false,
        .rateLimit = TargetRateLimit{{"i-1", WallTime(std::chrono::seconds(5))}, 18.9},
        .receiverRateLimit = TargetRateLimit{{"i-2", std::nullopt}, std::nullopt},
    });
}

BOOST_AUTO_TEST_CASE(AnIncrementalReportWithoutChangesIsSmall)
{
    const NodeReport report{
        .asksReply = false,
        .isComplete = false,
        .configuration = ConfigurationVersion{12},
        .target = std::nullopt,
        .departures = {},
        .receiverDepartures = {},
        .uses = {},
        .isStopping = false,
    };
    checkReadsBack(report);
    constexpr std::size_t MostBytes = 16;
    BOOST_TEST(report.encode().payload.size() <= MostBytes);
}

BOOST_AUTO_TEST_CASE(AConfigurationDocumentReadsBack)
{
    checkReadsBack(ConfigurationDocument{"{\"version\":\"r7\"}", 44});
}

BOOST_AUTO_TEST_CASE(AHostRowReadsBackAndOneOfAnEarlierVersionToo)
{
    const Peer peer{NodeId("host-1"), Incarnation{7}, {RegionName("north"), FailureDomainName("north-a")}, Endpoint("10.0.0.1", 7000)};
    HostRow row{peer, StoredTarget{{"i-1", WallTime(std::chrono::seconds(5))}, 8, 18.9}, {{"i-0", WallTime::max()}}};
    BOOST_CHECK(HostRow::decode(row.encode()) == row);
    row.target->ratePerSecond.reset();
    std::string earlier = row.encode();
    // The rate limit, absent, is the last byte.
    earlier.pop_back();
    BOOST_CHECK(HostRow::decode(earlier) == row);
}

BOOST_AUTO_TEST_SUITE_END()

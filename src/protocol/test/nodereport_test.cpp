#include "protocol/nodereport.h"

#include "protocol/hostrow.h"
#include "protocol/reportbatch.h"
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

// Failure: a report that has not changed for long keeps all others of its batch from their readers.
BOOST_AUTO_TEST_CASE(AnyAgeAndAnyNumberOfEntriesReadBack)
{
    const NodeId node("host-1");
    ReportBatch batch{.entries = {{node, Incarnation{7}, std::nullopt, std::chrono::hours(5), "report"}}, .loads = {}};
    BOOST_CHECK(ReportBatch::decode(batch.encode()).entries.front().age == std::chrono::hours(1));
    batch.entries.front().age = -std::chrono::seconds(1);
    BOOST_CHECK(ReportBatch::decode(batch.encode()).entries.front().age == Duration::zero());
    const LoadReport load{ServiceName("archive"), 8, 2.5, {}, {}, std::vector<RunTime>(5'000, {RequestKind{1}, 1, 1}), {}};
    batch.loads.assign(5'000, {RegionName("north"), {ServiceName("archive"), 8, 2.5, {}, {}, {}, {}}});
    batch.loads.front().load = load;
    batch.entries.assign(70'000, {node, Incarnation{7}, std::nullopt, Duration::zero(), "report"});
    BOOST_CHECK(ReportBatch::decode(batch.encode()) == batch);
}

// Failure: a name that a node has taken over from another system is refused by its peers.
BOOST_AUTO_TEST_CASE(NamesOfOtherSystemsReadBack)
{
    for (const std::string &name : std::vector<std::string>{"North Airport", "M\u00fcnchen\n", std::string(10'000, 'n'), ""}) {
        const Peer peer{NodeId::verbatim(name), Incarnation{7}, {RegionName::verbatim(name), FailureDomainName::verbatim(name)}, Endpoint("10.0.0.1", 7000)};
        const auto service = ServiceName::verbatim(name);
        const RequestFingerprint fingerprint{OrganisationId::verbatim(name), RouteName::verbatim(name), 7};
        const NodeReport report{
            .asksReply = false,
            .isComplete = true,
            .configuration = ConfigurationVersion{12},
            .target = TargetRecord{peer, service, TargetState::Serving, 8, 8, 3},
            .departures = {},
            .receiverDepartures = {},
            .uses = {{OrganisationId::verbatim(name), 1, 1}},
            .isStopping = false,
            .load = LoadReport{service, 8, 2.5, {}, {}, {}, {{service, 1, 0, 3}}},
            .crashReports = {{fingerprint, CrashReportKind::Crashed, NodeId::verbatim(name), Incarnation{3}}},
        };
        BOOST_CHECK(NodeReport::decode(report.encode()) == report);
        const ReportBatch batch{.entries = {{peer.node, peer.incarnation, peer, Duration::zero(), report.encode().payload}},
                                .loads = {{peer.place.region, *report.load}}};
        BOOST_CHECK(ReportBatch::decode(batch.encode()) == batch);
        const HostRow row{peer, std::nullopt, {}, {{fingerprint, WallTime(std::chrono::seconds(5))}}};
        BOOST_CHECK(HostRow::decode(row.encode()) == row);
    }
}

// Failure: the store takes no row of this size, so that departures are not kept.
BOOST_AUTO_TEST_CASE(LongNamesOfQuarantinedRequestsDoNotKeepAHostRowOutOfTheStore)
{
    const Peer peer{NodeId("host-1"), Incarnation{7}, {RegionName("north"), FailureDomainName("north-a")}, Endpoint("10.0.0.1", 7000)};
    HostRow row{peer, std::nullopt, {{"i-0", WallTime::max()}}};
    for (std::uint64_t n = 0; n < 64; ++n) {
        row.quarantines.push_back({{OrganisationId::verbatim(std::string(2'000, 'o')), RouteName("r"), n}, WallTime(std::chrono::seconds(5))});
    }
    const std::string bytes = row.encode();
    BOOST_CHECK_LE(bytes.size(), 48U * 1024);
    const HostRow found = HostRow::decode(bytes);
    BOOST_CHECK(found.departures == row.departures);
    BOOST_REQUIRE(!found.quarantines.empty());
    BOOST_CHECK(found.quarantines.front() == row.quarantines.front());
}

// Failure: the store takes no row with a key of this length, so that the host is never registered and others don't find it.
BOOST_AUTO_TEST_CASE(TheRowOfAHostWithALongNameHasAKeyThatTheStoreTakes)
{
    constexpr std::size_t LongestKey = 200;
    BOOST_CHECK_EQUAL(HostRow::keyOf(NodeId("host-1")).key, "host-1");
    const RowKey first = HostRow::keyOf(NodeId::verbatim(std::string(300, 'n') + "1"));
    const RowKey second = HostRow::keyOf(NodeId::verbatim(std::string(300, 'n') + "2"));
    BOOST_CHECK_LE(first.key.size(), LongestKey);
    BOOST_CHECK(first != second);
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

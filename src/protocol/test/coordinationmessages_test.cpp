#include "protocol/claimmessages.h"
#include "protocol/leasemessages.h"
#include "protocol/quotamessages.h"
#include "protocol/test/messagechecks.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace banyankeel::testing;

namespace
{
const Peer Holder{NodeId("node-1"), Incarnation{17}, {RegionName("muc"), FailureDomainName("a")}, Endpoint("127.0.0.1", 7001)};
constexpr ShardId Shard{ShardKind::Claims, 3};
} // namespace

BOOST_AUTO_TEST_SUITE(coordinationmessages)

BOOST_AUTO_TEST_CASE(LeaseMessagesReadBackAndTruncationsAreRejected)
{
    const std::vector<LeaseState> marks{{Shard, Fence{4}, 9, false}, {{ShardKind::Quota, 700}, Fence{1}, 1, true}};
    checkReadsBack(HolderTable{{{Shard, Holder, Fence{4}}}, "layout"});
    checkReadsBack(HolderTablePull{Shard});
    checkReadsBack(LeaseHeartbeat{SenderTime{12'000'000'000}, marks});
    checkReadsBack(LeasePromise{SenderTime{-5}, marks});
}

BOOST_AUTO_TEST_CASE(ClaimMessagesReadBackAndTruncationsAreRejected)
{
    const std::vector<ClaimItem> items{{ClaimTicket{1}, RequestId(1, 2)}, {ClaimTicket{99}, RequestId(3, 4)}};
    checkReadsBack(ClaimSubmission{Shard, items});
    checkReadsBack(ClaimOutcome{Shard, items});
    checkReadsBack(ClaimAnswer{{{ClaimTicket{1}, ClaimDecision::Granted}, {ClaimTicket{2}, ClaimDecision::Duplicate}}});
}

BOOST_AUTO_TEST_CASE(QuotaMessagesReadBackAndTruncationsAreRejected)
{
    const OrganisationId organisation("lufthafen");
    const QuotaRequestItem item{
        .organisation = organisation,
        .ask = QuotaRequestId{9},
        .applied = QuotaRequestId{8},
        .fence = Fence{2},
        .rate = MilliTokens{1500},
        .capacity = MilliTokens{70000},
        .kept = MilliTokens{3},
        .remaining = std::chrono::seconds(2),
        .demand = MilliTokens{1200},
        .wanted = MilliTokens{0},
    };
    checkReadsBack(QuotaRequest{{ShardKind::Quota, 3}, {item}});
    checkReadsBack(QuotaGrant{
        {ShardKind::Quota, 3}, Fence{2}, {{organisation, QuotaRequestId{9}, MilliTokens{1}, MilliTokens{2}, MilliTokens{3}, std::chrono::seconds(3)}}});
    checkReadsBack(QuotaReturn{{ShardKind::Quota, 3}, {{organisation, QuotaRequestId{9}, MilliTokens{5}}}});
}

BOOST_AUTO_TEST_CASE(ConversionToMilliTokensRoundsDown)
{
    for (const double tokens : {0.0, 0.0009, 1.0, 1.9999, 12345.6789}) {
        BOOST_CHECK_LE(toTokens(toMilliTokens(tokens)), tokens);
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include "protocol/membershipmessages.h"
#include "protocol/test/messagechecks.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace banyankeel::testing;

namespace
{
Peer samplePeer()
{
    return {NodeId("n1"), Incarnation{1'700'000'000'000'000}, {RegionName("muc"), FailureDomainName("muc-a")}, Endpoint("127.0.0.1", 7001)};
}
} // namespace

BOOST_AUTO_TEST_SUITE(membershipmessages)

BOOST_AUTO_TEST_CASE(MessagesReadBackAndTruncationsAreRejected)
{
    const MemberRumour rumour{samplePeer(), 4, MemberState::Suspect};
    const TargetRecord record{samplePeer(), ServiceName("archiv"), TargetState::Draining, 90, 630, 5};
    checkReadsBack(Probe{7, std::nullopt, {rumour}});
    checkReadsBack(Probe{7, samplePeer(), {}});
    checkReadsBack(ProbeAnswer{7, samplePeer(), {rumour, rumour}});
    checkReadsBack(ViewExchange{false, true, {rumour}});
    checkReadsBack(ViewExchange{true, false, {}});
    checkReadsBack(TargetAnnouncement{false, 3, {record}});
    checkReadsBack(TargetAnnouncement{true, 3, {}});
    checkReadsBack(DirectoryQuery{ServiceName("archiv")});
    checkReadsBack(DirectoryAnswer{ServiceName("archiv"), true, {record, record}});
}

BOOST_AUTO_TEST_CASE(HigherIncarnationThenVersionThenStateTakesPrecedence)
{
    Peer later = samplePeer();
    later.incarnation = Incarnation{1'700'000'000'000'001};
    const MemberRumour suspect{samplePeer(), 4, MemberState::Suspect};
    BOOST_CHECK((MemberRumour{later, 0, MemberState::Alive}.supersedes(suspect)));
    BOOST_CHECK((MemberRumour{samplePeer(), 5, MemberState::Alive}.supersedes(suspect)));
    BOOST_CHECK((MemberRumour{samplePeer(), 4, MemberState::Gone}.supersedes(suspect)));
    BOOST_CHECK((!MemberRumour{samplePeer(), 4, MemberState::Alive}.supersedes(suspect)));
    BOOST_CHECK(!suspect.supersedes(suspect));
}

BOOST_AUTO_TEST_SUITE_END()

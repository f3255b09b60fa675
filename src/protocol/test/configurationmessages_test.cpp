#include "protocol/configurationmessages.h"
#include "protocol/test/messagechecks.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
const Priority High{PriorityName("high"), PriorityLevel{1}};
const Priority Low{PriorityName("low"), PriorityLevel{7}};
} // namespace

BOOST_AUTO_TEST_SUITE(configurationmessages)

BOOST_AUTO_TEST_CASE(MessagesReadBackAndTruncationsAreRejected)
{
    const ReaderHeartbeat heartbeat{NodeId("n1"), Incarnation{1'700'000'000'000'000}, 9, true};
    checkReadsBack(ConfigurationDigest{DigestKind::Heartbeat, 72'000, SetDigest(1, 2), true, 30ms, Duration(5), heartbeat});
    checkReadsBack(ConfigurationDigest{DigestKind::Ask, 0, SetDigest(), false, std::nullopt, Duration(5), std::nullopt});
    checkReadsBack(ConfigurationPull{7, std::nullopt});
    checkReadsBack(ConfigurationPull{7, SnapshotPosition{9, {ObjectKind::Key, "k"}}});
    checkReadsBack(ConfigurationDelta{7, {{.put = {High}, .removed = {{ObjectKind::Key, "k"}}}, {}}, SetDigest(3, 4)});
    checkReadsBack(ConfigurationSnapshot{9, SetDigest(3, 4), true, false, {High, Low}});
}

BOOST_AUTO_TEST_CASE(DigestFollowsEachChange)
{
    const ConfigurationSet set = ConfigurationSet().with({.put = {High, Low}, .removed = {}}, 1);
    const ConfigurationChange change{
        .put = {Priority{High.name, PriorityLevel{2}}},
        .removed = {{ObjectKind::Priority, "high"}, {ObjectKind::Priority, "low"}, {ObjectKind::Key, "absent"}},
    };
    BOOST_CHECK(SetDigest().after(ConfigurationSet(), {.put = {High, Low}, .removed = {}}) == digestOf(set));
    BOOST_CHECK(digestOf(set).after(set, change) == digestOf(set.with(change, 2)));
    BOOST_CHECK(digestOf(set) != digestOf(set.with(change, 2)));
}

BOOST_AUTO_TEST_SUITE_END()

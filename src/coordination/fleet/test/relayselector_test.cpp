#include "coordination/fleet/relayselector.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
const TimePoint Begin{1'000s};
const std::vector<NodeId> Nodes{NodeId("a"), NodeId("b"), NodeId("c"), NodeId("d")};

/// A selector whose relays send batches unless they are silent.
class SelectorRig
{
public:
    void run(Duration time, const std::vector<NodeId> &silent = {})
    {
        for (const TimePoint end = now + time; now < end; now += 100ms) {
            selector.update(candidates, now);
            if (selector.current() && std::ranges::find(silent, *selector.current()) == silent.end()) {
                selector.recordBatch(*selector.current(), now);
            }
        }
    }

    RelaySelector selector{{}};
    std::vector<NodeId> candidates = Nodes;
    TimePoint now = Begin;
};
} // namespace

BOOST_AUTO_TEST_SUITE(relayselector)

BOOST_AUTO_TEST_CASE(AllNodesChooseTheFirstAndInformTheSecond)
{
    SelectorRig rig;
    rig.run(100ms);
    BOOST_CHECK(rig.selector.current() == NodeId("a"));
    BOOST_CHECK((rig.selector.reported() == std::vector<NodeId>{NodeId("a"), NodeId("b")}));
}

BOOST_AUTO_TEST_CASE(ALostRelayIsReplacedAtOnce)
{
    SelectorRig rig;
    rig.run(1s);
    rig.selector.recordLoss(NodeId("a"), rig.now);
    rig.run(100ms);
    BOOST_CHECK(rig.selector.current() == NodeId("b"));
}

BOOST_AUTO_TEST_CASE(ASilentRelayIsReplacedAndNotTriedForAWhile)
{
    SelectorRig rig;
    rig.run(1s);
    rig.run(1200ms, {NodeId("a")});
    BOOST_CHECK(rig.selector.current() == NodeId("b"));
    rig.run(1500ms, {NodeId("a")});
    BOOST_CHECK(rig.selector.current() == NodeId("b"));
}

BOOST_AUTO_TEST_CASE(RelaysThatFailInSeriesAreAllPassedOver)
{
    SelectorRig rig;
    rig.run(4s, {NodeId("a"), NodeId("b"), NodeId("c")});
    BOOST_CHECK(rig.selector.current() == NodeId("d"));
}

BOOST_AUTO_TEST_CASE(ARelayThatIsBackTakesItsPlaceOnlyAfterAWhile)
{
    SelectorRig rig;
    rig.run(1s);
    rig.candidates = {NodeId("b"), NodeId("c")};
    rig.run(1s);
    rig.candidates = Nodes;
    rig.run(2s);
    BOOST_CHECK(rig.selector.current() == NodeId("b"));
    BOOST_CHECK((rig.selector.reported() == std::vector<NodeId>{NodeId("a"), NodeId("b")}));
    rig.run(3s);
    BOOST_CHECK(rig.selector.current() == NodeId("a"));
}

BOOST_AUTO_TEST_CASE(WhereAllWerePassedOverOneIsTriedNevertheless)
{
    SelectorRig rig;
    rig.run(100ms);
    for (const NodeId &it : Nodes) {
        rig.selector.recordLoss(it, rig.now);
    }
    rig.run(100ms);
    BOOST_CHECK(rig.selector.current().has_value());
}

BOOST_AUTO_TEST_CASE(WithoutCandidatesThereIsNoRelay)
{
    SelectorRig rig;
    rig.run(100ms);
    rig.candidates.clear();
    rig.run(100ms);
    BOOST_CHECK(!rig.selector.current());
    BOOST_CHECK(rig.selector.reported().empty());
}

BOOST_AUTO_TEST_SUITE_END()

#include "coordination/fleet/loadmerger.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
const TimePoint Begin{1'000s};
const ServiceName Alpha("alpha");
const ServiceName Beta("beta");
constexpr RequestKind Root{1};
constexpr RequestKind Call{2};
} // namespace

BOOST_AUTO_TEST_SUITE(loadmerger)

BOOST_AUTO_TEST_CASE(SumsAddUpAndMeansAreWeighted)
{
    const LoadReport first{Alpha, 10, 4, {{Root, PriorityLevel{1}, 30}}, {{Root, Call, 4, 10}}, {{Root, 10, 0.5}}, {{Beta, 40, 0.5, 6}}};
    const LoadReport second{Alpha, 20, 8, {{Root, PriorityLevel{1}, 10}}, {{Root, Call, 1, 30}}, {{Root, 30, 0.1}}, {{Beta, 10, 0, 4}}};
    const std::array<const LoadReport *, 2> both{&first, &second};
    const LoadReport merged = mergeLoads(both);
    BOOST_CHECK_EQUAL(merged.slots, 30);
    BOOST_CHECK_EQUAL(merged.load, 12);
    BOOST_CHECK_EQUAL(merged.roots.front().perSecond, 40);
    BOOST_CHECK_CLOSE(merged.calls.front().calls, 1.75, 0.001);
    BOOST_CHECK_EQUAL(merged.calls.front().runs, 40);
    BOOST_CHECK_CLOSE(merged.runs.front().seconds, 0.2, 0.001);
    BOOST_CHECK_CLOSE(merged.services.front().rejectedShare, 0.4, 0.001);
    BOOST_CHECK_EQUAL(merged.services.front().repeatsLeft, 10);
}

BOOST_AUTO_TEST_CASE(ANodeIsCountedOnceAndNotAfterItHasFallenSilent)
{
    LoadMerger merger;
    merger.record(NodeId("a"), {Alpha, 10, 1, {}, {}, {}, {}}, Begin);
    merger.record(NodeId("b"), {Alpha, 10, 1, {}, {}, {}, {}}, Begin);
    merger.record(NodeId("a"), {Alpha, 5, 1, {}, {}, {}, {}}, Begin + 2s);
    BOOST_CHECK_EQUAL(merger.merged(Begin + 2s).front().slots, 15);
    BOOST_CHECK_EQUAL(merger.merged(Begin + 3s).front().slots, 5);
    BOOST_CHECK(merger.merged(Begin + 6s).empty());
}

BOOST_AUTO_TEST_SUITE_END()

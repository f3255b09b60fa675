#include "coordination/membership/test/membershipfleet.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
constexpr std::uint64_t Seeds = 150;

void checkSchedules(const MembershipFleetOptions &options)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        for (const std::string &text : runMembershipSchedule(seed, options)) {
            BOOST_ERROR("seed " << seed << ": " << text);
        }
    }
}

bool isDetected(const MembershipFleetOptions &options, const std::string &expected)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        for (const std::string &text : runMembershipSchedule(seed, options)) {
            if (text.find(expected) != std::string::npos) {
                return true;
            }
        }
    }
    return false;
}
} // namespace

BOOST_AUTO_TEST_SUITE(membership)

BOOST_AUTO_TEST_CASE(GuaranteesHoldUnderSeededFaultsInASmallFleet)
{
    checkSchedules({});
}

BOOST_AUTO_TEST_CASE(GuaranteesHoldUnderSeededFaultsWithADirectory)
{
    checkSchedules({.smallFleetLimit = 1});
}

BOOST_AUTO_TEST_CASE(CheckerDetectsThatIncarnationsAreNotCompared)
{
    MembershipFleetOptions options{.smallFleetLimit = 1};
    options.rules.supersedes = [](const TargetRecord &offered, const TargetRecord &known) { return offered != known; };
    BOOST_CHECK(isDetected(options, "an older incarnation"));
}

BOOST_AUTO_TEST_CASE(CheckerDetectsANodeThatDoesNotRefute)
{
    MembershipFleetOptions options;
    options.rules.refutes = [](const MemberRumour &) { return false; };
    BOOST_CHECK(isDetected(options, "25 s after the last fault"));
}

BOOST_AUTO_TEST_CASE(CheckerDetectsAnnouncementsThatAreNotRetransmitted)
{
    MembershipFleetOptions options;
    options.rules.retransmitsAnnouncements = [] { return false; };
    BOOST_CHECK(isDetected(options, "3 s after its drain"));
}

BOOST_AUTO_TEST_SUITE_END()

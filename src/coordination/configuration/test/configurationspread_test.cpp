#include "coordination/configuration/test/spreadfleet.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
constexpr std::uint64_t Seeds = 200;

void checkNoViolation(const std::vector<std::string> &violations, std::uint64_t seed)
{
    for (const std::string &text : violations) {
        BOOST_ERROR("seed " << seed << ": " << text);
    }
}

/// Whether some schedule shows a violation whose text has @p expected.
bool isCaught(const ReplicationRules &rules, const ConfigurationSpreadSettings &settings, const std::string &expected)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        for (const std::string &text : runSpreadSchedule(seed, rules, settings)) {
            if (text.find(expected) != std::string::npos) {
                return true;
            }
        }
    }
    return false;
}
} // namespace

BOOST_AUTO_TEST_SUITE(configurationspread)

BOOST_AUTO_TEST_CASE(PromisesHoldUnderSeededFaults)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        checkNoViolation(runSpreadSchedule(seed, {}, SpreadFleet::defaultSettings()), seed);
    }
}

BOOST_AUTO_TEST_CASE(CheckerCatchesServingWithoutHavingAsked)
{
    ReplicationRules rules;
    rules.mayServe = [](bool, Revision, Revision) { return true; };
    BOOST_CHECK(isCaught(rules, SpreadFleet::defaultSettings(), "before its restart by"));
}

BOOST_AUTO_TEST_CASE(LateMessageOfAnOldPeerDoesNotRevertANode)
{
    for (const bool isCompared : {true, false}) {
        bool hasReverted = false;
        Revision inForce = 0;
        ConfigurationSpreadHooks hooks;
        hooks.peers = [] { return std::vector<Peer>(); };
        hooks.applied = [&](const ConfigurationSet &set) {
            hasReverted = hasReverted || set.revision() <= inForce;
            inForce = set.revision();
        };
        if (!isCompared) {
            // Either of the two comparisons keeps old messages out, so that both are left out.
            hooks.rules.isNewer = [](Revision, Revision) { return true; };
            hooks.rules.isIntact = [](const SetDigest &, const SetDigest &) { return true; };
        }
        ConfigurationSpread replicator(SpreadFleet::defaultSettings(), hooks, seededRandom(1));
        const ConfigurationChange first{.put = {Priority{PriorityName("high"), PriorityLevel{1}}}, .removed = {}};
        const ConfigurationChange second{.put = {Priority{PriorityName("low"), PriorityLevel{7}}}, .removed = {}};
        const ConfigurationSet set = ConfigurationSet().with(first, 1);
        Outbox out;
        replicator.applyPublished({.base = 0, .changes = {first, second}, .digest = digestOf(set.with(second, 2))}, TimePoint(1s), out);
        const ConfigurationDelta old{.base = 0, .changes = {first}, .digest = digestOf(set)};
        replicator.receive(SpreadFleet::defaultSettings().self, old.encode(), TimePoint(2s), out);
        BOOST_CHECK_EQUAL(hasReverted, !isCompared);
    }
}

BOOST_AUTO_TEST_CASE(CheckerCatchesFreshnessCountedFromReceipt)
{
    ReplicationRules rules;
    rules.confirmedAt = [](TimePoint, TimePoint receivedAt, Duration age) { return receivedAt - age; };
    BOOST_CHECK(isCaught(rules, SpreadFleet::defaultSettings(), "for confirmed"));
}

BOOST_AUTO_TEST_CASE(DamagedDeltaIsNotApplied)
{
    for (const bool isChecked : {true, false}) {
        ConfigurationSpreadHooks hooks;
        hooks.peers = [] { return std::vector<Peer>(); };
        hooks.applied = [](const ConfigurationSet &) {};
        if (!isChecked) {
            hooks.rules.isIntact = [](const SetDigest &, const SetDigest &) { return true; };
        }
        ConfigurationSpread replicator(SpreadFleet::defaultSettings(), hooks, seededRandom(1));
        const ConfigurationChange change{.put = {Priority{PriorityName("high"), PriorityLevel{1}}}, .removed = {}};
        const ConfigurationDelta damaged{.base = 0, .changes = {change}, .digest = SetDigest(1, 2)};
        Outbox out;
        replicator.receive(SpreadFleet::defaultSettings().self, damaged.encode(), TimePoint(1s), out);
        BOOST_CHECK_EQUAL(replicator.current().revision(), isChecked ? 0U : 1U);
    }
}

BOOST_AUTO_TEST_CASE(FailureDomainWithoutTheStoreHearsOfRevisionsFromOthers)
{
    SpreadFleet fleet(7, 8, {});
    fleet.run(3s);
    for (const std::size_t n : {2U, 3U, 6U, 7U}) {
        fleet.runner().setStoreReach(fleet.name(n), false);
    }
    fleet.publish(0, {.put = {Priority{PriorityName("high"), PriorityLevel{1}}}, .removed = {}});
    fleet.run(7s);
    fleet.checkNewestEverywhere("without the store in one region");
    checkNoViolation(fleet.violations(), 7);
    BOOST_CHECK_EQUAL(fleet.accepted(), 1U);
}

BOOST_AUTO_TEST_CASE(RevisionIsInForceAlthoughTheStoreGoesDownRightAfterItsAcceptance)
{
    SpreadFleet fleet(8, 8, {});
    fleet.run(3s);
    fleet.publish(0, {.put = {Priority{PriorityName("high"), PriorityLevel{1}}}, .removed = {}});
    while (fleet.outcomes().empty()) {
        fleet.run(1ms);
    }
    fleet.runner().setStoreDown(true);
    fleet.run(7s);
    fleet.checkNewestEverywhere("7 s after the store went down");
    checkNoViolation(fleet.violations(), 8);
}

BOOST_AUTO_TEST_CASE(PausedStoreReadersAreReplacedInTime)
{
    ConfigurationSpreadSettings settings = SpreadFleet::defaultSettings();
    settings.readersPerDomain = 1;
    SpreadFleet fleet(10, 8, {}, settings);
    fleet.run(10s);
    std::size_t paused = 0;
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        if (fleet.replicator(n).isStoreReader()) {
            fleet.runner().pause(fleet.name(n), true);
            ++paused;
        }
    }
    BOOST_CHECK_EQUAL(paused, 4U);
    // A publish from outside, which no node knows of by itself.
    PublishOperation publish({.operation = OperationId("outside"), .author = "eleni", .time = {}},
                             {},
                             {.put = {Priority{PriorityName("high"), PriorityLevel{1}}}, .removed = {}},
                             [](const ConfigurationSet &) { return std::vector<std::string>(); });
    std::optional<StoreRequest> request = publish.start();
    while (request) {
        request = publish.advance(fleet.runner().store().apply(*request));
    }
    fleet.run(7s);
    std::size_t reached = 0;
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        reached += fleet.replicator(n).current().revision() == 1 ? 1 : 0;
    }
    BOOST_CHECK_EQUAL(reached, fleet.size() - paused);
    fleet.heal();
    fleet.run(7s);
    fleet.checkNewestEverywhere("7 s after the pause");
    checkNoViolation(fleet.violations(), 10);
}

BOOST_AUTO_TEST_CASE(NodeThatIsCutOffKnowsHowStaleItIs)
{
    SpreadFleet fleet(9, 6, {});
    fleet.run(10s);
    BOOST_CHECK(fleet.replicator(5).staleness(fleet.localNow(5)) < 10s);
    fleet.isolate(5, true);
    fleet.run(60s);
    BOOST_CHECK(fleet.replicator(5).staleness(fleet.localNow(5)) >= 60s);
    fleet.runner().setStoreDown(true);
    fleet.run(60s);
    BOOST_CHECK(fleet.replicator(0).staleness(fleet.localNow(0)) >= 60s);
    fleet.heal();
    fleet.run(10s);
    BOOST_CHECK(fleet.replicator(5).staleness(fleet.localNow(5)) < 20s);
}

BOOST_AUTO_TEST_CASE(CheckerCatchesSlowStoreReaders)
{
    ConfigurationSpreadSettings settings = SpreadFleet::defaultSettings();
    settings.storePollInterval = 20s;
    settings.exchangeInterval = 20s;
    settings.heartbeatInterval = 20s;
    BOOST_CHECK(isCaught({}, settings, "after its withdrawal"));
    BOOST_CHECK(isCaught({}, settings, "7 s after a grant"));
}

BOOST_AUTO_TEST_SUITE_END()

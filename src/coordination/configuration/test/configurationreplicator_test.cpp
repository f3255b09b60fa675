#include "coordination/configuration/test/replicatorfleet.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
constexpr std::uint64_t Seeds = 200;

void reportViolations(const std::vector<std::string> &violations, std::uint64_t seed)
{
    for (const std::string &text : violations) {
        BOOST_ERROR("seed " << seed << ": " << text);
    }
}

/// Whether some schedule reports a violation whose text contains @p expected.
bool isDetected(const ReplicationRules &rules, const ConfigurationReplicatorSettings &settings, const std::string &expected)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        for (const std::string &text : runReplicatorSchedule(seed, rules, settings)) {
            if (text.find(expected) != std::string::npos) {
                return true;
            }
        }
    }
    return false;
}
} // namespace

BOOST_AUTO_TEST_SUITE(configurationreplicator)

BOOST_AUTO_TEST_CASE(GuaranteesHoldUnderSeededFaults)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        reportViolations(runReplicatorSchedule(seed, {}, ReplicatorFleet::defaultSettings()), seed);
    }
}

BOOST_AUTO_TEST_CASE(CheckerDetectsServingBeforeAnyQuery)
{
    ReplicationRules rules;
    rules.mayServe = [](bool, Revision, Revision) { return true; };
    BOOST_CHECK(isDetected(rules, ReplicatorFleet::defaultSettings(), "before its restart"));
}

BOOST_AUTO_TEST_CASE(DelayedOlderDeltaDoesNotRevertNode)
{
    for (const bool isChecked : {true, false}) {
        bool hasReverted = false;
        Revision appliedRevision = 0;
        ConfigurationReplicatorHooks hooks;
        hooks.peers = [] { return std::vector<Peer>(); };
        hooks.applied = [&](const ConfigurationSet &set) {
            hasReverted = hasReverted || set.revision() <= appliedRevision;
            appliedRevision = set.revision();
        };
        if (!isChecked) {
            // Either of the two checks rejects old messages, so both are disabled.
            hooks.rules.isNewer = [](Revision, Revision) { return true; };
            hooks.rules.isIntact = [](const SetDigest &, const SetDigest &) { return true; };
        }
        ConfigurationReplicator replicator(ReplicatorFleet::defaultSettings(), hooks, seededRandom(1));
        const ConfigurationChange first{.put = {Priority{PriorityName("high"), PriorityLevel{1}}}, .removed = {}};
        const ConfigurationChange second{.put = {Priority{PriorityName("low"), PriorityLevel{7}}}, .removed = {}};
        const ConfigurationSet set = ConfigurationSet().with(first, 1);
        Outbox out;
        replicator.applyPublished({.base = 0, .changes = {first, second}, .digest = digestOf(set.with(second, 2))}, TimePoint(1s), out);
        const ConfigurationDelta olderDelta{.base = 0, .changes = {first}, .digest = digestOf(set)};
        replicator.receive(ReplicatorFleet::defaultSettings().self, olderDelta.encode(), TimePoint(2s), out);
        BOOST_CHECK_EQUAL(hasReverted, !isChecked);
    }
}

BOOST_AUTO_TEST_CASE(CheckerDetectsConfirmationCountedFromReceipt)
{
    ReplicationRules rules;
    rules.confirmedAt = [](TimePoint, TimePoint receivedAt, Duration age) { return receivedAt - age; };
    BOOST_CHECK(isDetected(rules, ReplicatorFleet::defaultSettings(), "considers revision"));
}

BOOST_AUTO_TEST_CASE(DeltaWithWrongDigestIsNotApplied)
{
    for (const bool isChecked : {true, false}) {
        ConfigurationReplicatorHooks hooks;
        hooks.peers = [] { return std::vector<Peer>(); };
        hooks.applied = [](const ConfigurationSet &) {};
        if (!isChecked) {
            hooks.rules.isIntact = [](const SetDigest &, const SetDigest &) { return true; };
        }
        ConfigurationReplicator replicator(ReplicatorFleet::defaultSettings(), hooks, seededRandom(1));
        const ConfigurationChange change{.put = {Priority{PriorityName("high"), PriorityLevel{1}}}, .removed = {}};
        const ConfigurationDelta damaged{.base = 0, .changes = {change}, .digest = SetDigest(1, 2)};
        Outbox out;
        replicator.receive(ReplicatorFleet::defaultSettings().self, damaged.encode(), TimePoint(1s), out);
        BOOST_CHECK_EQUAL(replicator.current().revision(), isChecked ? 0U : 1U);
    }
}

BOOST_AUTO_TEST_CASE(FailureDomainWithoutStoreLearnsRevisionsFromOtherDomains)
{
    ReplicatorFleet fleet(7, 8, {});
    fleet.run(3s);
    for (const std::size_t n : {2U, 3U, 6U, 7U}) {
        fleet.runner().setStoreReach(fleet.name(n), false);
    }
    fleet.publish(0, {.put = {Priority{PriorityName("high"), PriorityLevel{1}}}, .removed = {}});
    fleet.run(7s);
    fleet.checkAllNodesCurrent("without the store in one region");
    reportViolations(fleet.violations(), 7);
    BOOST_CHECK_EQUAL(fleet.acceptedRevision(), 1U);
}

BOOST_AUTO_TEST_CASE(AcceptedRevisionIsAppliedWhenStoreFailsRightAfterwards)
{
    ReplicatorFleet fleet(8, 8, {});
    fleet.run(3s);
    fleet.publish(0, {.put = {Priority{PriorityName("high"), PriorityLevel{1}}}, .removed = {}});
    while (fleet.outcomes().empty()) {
        fleet.run(1ms);
    }
    fleet.runner().setStoreDown(true);
    fleet.run(7s);
    fleet.checkAllNodesCurrent("7 s after the store went down");
    reportViolations(fleet.violations(), 8);
}

BOOST_AUTO_TEST_CASE(PausedStoreReadersAreReplaced)
{
    ConfigurationReplicatorSettings settings = ReplicatorFleet::defaultSettings();
    settings.readersPerDomain = 1;
    ReplicatorFleet fleet(10, 8, {}, settings);
    fleet.run(10s);
    std::size_t paused = 0;
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        if (fleet.replicator(n).isStoreReader()) {
            fleet.runner().pause(fleet.name(n), true);
            ++paused;
        }
    }
    BOOST_CHECK_EQUAL(paused, 4U);
    // Publish directly to the store, so that nodes learn of the revision only by reading it.
    PublishOperation publish({.operation = OperationId("outside"), .author = "eleni", .time = {}},
                             {},
                             {.put = {Priority{PriorityName("high"), PriorityLevel{1}}}, .removed = {}},
                             [](const ConfigurationSet &) { return std::vector<std::string>(); });
    std::optional<StoreRequest> request = publish.start();
    while (request) {
        request = publish.advance(fleet.runner().store().apply(*request));
    }
    fleet.run(7s);
    std::size_t updatedNodes = 0;
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        updatedNodes += fleet.replicator(n).current().revision() == 1 ? 1 : 0;
    }
    BOOST_CHECK_EQUAL(updatedNodes, fleet.size() - paused);
    fleet.endFaults();
    fleet.run(7s);
    fleet.checkAllNodesCurrent("7 s after the pause");
    reportViolations(fleet.violations(), 10);
}

BOOST_AUTO_TEST_CASE(IsolatedNodeKnowsItsStaleness)
{
    ReplicatorFleet fleet(9, 6, {});
    fleet.run(10s);
    BOOST_CHECK(fleet.replicator(5).staleness(fleet.localNow(5)) < 10s);
    fleet.isolate(5, true);
    fleet.run(60s);
    BOOST_CHECK(fleet.replicator(5).staleness(fleet.localNow(5)) >= 60s);
    fleet.runner().setStoreDown(true);
    fleet.run(60s);
    BOOST_CHECK(fleet.replicator(0).staleness(fleet.localNow(0)) >= 60s);
    fleet.endFaults();
    fleet.run(10s);
    BOOST_CHECK(fleet.replicator(5).staleness(fleet.localNow(5)) < 20s);
}

BOOST_AUTO_TEST_CASE(CheckerDetectsSlowStoreReaders)
{
    ConfigurationReplicatorSettings settings = ReplicatorFleet::defaultSettings();
    settings.storePollInterval = 20s;
    settings.exchangeInterval = 20s;
    settings.heartbeatInterval = 20s;
    BOOST_CHECK(isDetected({}, settings, "after its withdrawal"));
    BOOST_CHECK(isDetected({}, settings, "7 s after a grant"));
}

BOOST_AUTO_TEST_SUITE_END()

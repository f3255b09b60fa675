#include "coordination/common/roothash.h"
#include "coordination/overload/crashquarantine.h"
#include "coordination/overload/executionledger.h"
#include "coordination/overload/retrypolicy.h"
#include "state/errors.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace banyankeel;

namespace
{
const TimePoint Start{std::chrono::seconds(100)};

CallProgress progressOf(bool isIdempotent, std::uint16_t budget)
{
    return {isIdempotent, budget, 0, 0, 1, 1, true, true, std::chrono::seconds(1)};
}

RequestFingerprint fingerprintOf(const std::string &organisation, std::uint64_t hash)
{
    return {OrganisationId(organisation), RouteName("route"), hash};
}
} // namespace

BOOST_AUTO_TEST_SUITE(ledger)

BOOST_AUTO_TEST_CASE(ARootNeverRunsMoreOftenThanAllowedWithinTheRetention)
{
    ExecutionLedger ledger({std::chrono::minutes(10), 1000}, Start);
    const RequestId root(1, 2);
    BOOST_CHECK(ledger.begin(root, 1, Start) == LedgerResult::Granted);
    for (int minute = 0; minute < 10; ++minute) {
        BOOST_CHECK(ledger.begin(root, 1, Start + std::chrono::minutes(minute)) == LedgerResult::LimitReached);
    }
    BOOST_CHECK(ledger.begin(root, 1, Start + std::chrono::minutes(13)) == LedgerResult::Granted);
}

BOOST_AUTO_TEST_CASE(AnExecutionThatDidNotRunIsTakenBack)
{
    ExecutionLedger ledger({std::chrono::minutes(10), 1000}, Start);
    const RequestId root(1, 2);
    BOOST_CHECK(ledger.begin(root, 1, Start) == LedgerResult::Granted);
    ledger.undoBegin(root);
    BOOST_CHECK(ledger.begin(root, 1, Start) == LedgerResult::Granted);
    BOOST_CHECK(ledger.begin(root, 1, Start) == LedgerResult::LimitReached);
}

BOOST_AUTO_TEST_CASE(AFullLedgerRefusesNewRootsAndStillBoundsTheKnownOnes)
{
    ExecutionLedger ledger({std::chrono::minutes(10), 100}, Start);
    for (std::uint64_t i = 0; i < 100; ++i) {
        BOOST_CHECK(ledger.begin(RequestId(i, i), 1, Start) == LedgerResult::Granted);
    }
    BOOST_CHECK(ledger.begin(RequestId(500, 1), 1, Start) == LedgerResult::Full);
    for (std::uint64_t i = 0; i < 100; ++i) {
        BOOST_CHECK(ledger.begin(RequestId(i, i), 1, Start) == LedgerResult::LimitReached);
    }
}

BOOST_AUTO_TEST_CASE(RootsWithEqualHalvesHaveDistinctHashes)
{
    std::set<std::uint64_t> hashes;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        hashes.insert(rootHash(RequestId(i, i)));
    }
    BOOST_TEST(hashes.size() == 1000U);
}

BOOST_AUTO_TEST_CASE(ALongPauseClearsTheWholeLedger)
{
    ExecutionLedger ledger({std::chrono::minutes(10), 100}, Start);
    ledger.begin(RequestId(1, 1), 1, Start);
    BOOST_CHECK(ledger.begin(RequestId(2, 2), 1, Start + std::chrono::hours(5)) == LedgerResult::Granted);
    BOOST_TEST(ledger.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retries)

BOOST_AUTO_TEST_CASE(ANonIdempotentRequestThatMayHaveRunIsNeverRetried)
{
    RetryPolicy retries({}, Start);
    for (const Reason reason : {Reason::ConnectionLost, Reason::TargetFailed, Reason::DeadlineExpired, Reason::Overloaded, Reason::Cancelled}) {
        BOOST_TEST(!retries.decide(progressOf(false, 5), Verdict::unknown(reason), Start).isRetry);
    }
}

BOOST_AUTO_TEST_CASE(ALostAttemptCostsItsWholeGrant)
{
    RetryPolicy retries({}, Start);
    CallProgress progress = progressOf(true, 1);
    progress.granted = 1;
    const RetryDecision next = retries.decide(progress, Verdict::unknown(Reason::ConnectionLost), Start);
    BOOST_TEST(next.isRetry);
    BOOST_TEST(next.grant + next.budget == 0);
    CallProgress second = progressOf(true, next.budget);
    second.granted = next.grant;
    BOOST_TEST(!retries.decide(second, Verdict::unknown(Reason::ConnectionLost), Start).isRetry);
}

BOOST_AUTO_TEST_CASE(AnOverloadRefusalIsRetriedElsewhereOnce)
{
    RetryPolicy retries({}, Start);
    CallProgress progress = progressOf(false, 0);
    BOOST_TEST(retries.decide(progress, Verdict::refused(Reason::Overloaded), Start).isRetry);
    progress.overloadRefusals = 2;
    BOOST_TEST(!retries.decide(progress, Verdict::refused(Reason::Overloaded), Start).isRetry);
}

BOOST_AUTO_TEST_CASE(RetriesOfANodeStayUnderItsRatio)
{
    RetryPolicy retries({0.1, 10}, Start);
    int retried = 0;
    for (int i = 0; i < 10'000; ++i) {
        retries.recordCall();
        retried += retries.decide(progressOf(true, 3), Verdict::unknown(Reason::ConnectionLost), Start).isRetry ? 1 : 0;
    }
    BOOST_TEST(retried <= 1010);
}

BOOST_AUTO_TEST_CASE(ExecutionsOverAChainStayWithinTheBudgetWhateverIsLost)
{
    // Every attempt is lost after all downstream calls have run, which is the worst case for the last service of the chain.
    struct Chain {
        RetryPolicy retries{{1, 1e9}, Start};
        int executions = 0;
        std::uint16_t call(std::uint32_t hop, std::uint32_t depth, std::uint16_t budget, std::uint32_t lostHops)
        {
            const bool callsOthers = hop + 1 < depth;
            CallProgress progress = progressOf(true, budget);
            progress.callsOthers = callsOthers;
            progress.granted = RetryPolicy::grantOf(budget, callsOthers);
            progress.budget = static_cast<std::uint16_t>(budget - progress.granted);
            while (true) {
                const std::uint16_t left = callsOthers ? call(hop + 1, depth, progress.granted, lostHops) : std::uint16_t(0);
                executions += callsOthers ? 0 : 1;
                const bool isLost = ((lostHops >> hop) & 1U) != 0;
                progress.spentBelow = static_cast<std::uint16_t>(progress.granted - (callsOthers ? left : progress.granted));
                const RetryDecision next = retries.decide(progress, isLost ? Verdict::unknown(Reason::ConnectionLost) : Verdict::ran(), Start);
                if (!next.isRetry) {
                    return next.budget;
                }
                progress.granted = next.grant;
                progress.budget = next.budget;
            }
        }
    };
    for (std::uint16_t bound = 1; bound <= 6; ++bound) {
        for (std::uint32_t pattern = 0; pattern < 32; ++pattern) {
            Chain chain;
            chain.call(0, 5, RetryPolicy::budgetOfRoot(bound), pattern);
            BOOST_TEST(chain.executions >= 1);
            BOOST_TEST(chain.executions <= int(bound));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(quarantine)

BOOST_AUTO_TEST_CASE(ARequestThatCrashedTwoTargetsIsRefusedEverywhere)
{
    CrashQuarantine first({}, NodeId("first"));
    CrashQuarantine second({}, NodeId("second"));
    CrashQuarantine entry({}, NodeId("entry"));
    const RequestFingerprint culprit = fingerprintOf("carrier", 7);
    std::vector<CrashReport> reports;
    first.recordCrash({culprit, fingerprintOf("other", 8)}, Incarnation{1}, Start, reports);
    for (const CrashReport &it : reports) {
        second.merge(it, Start);
        entry.merge(it, Start);
        entry.merge(it, Start);
    }
    BOOST_TEST(!entry.isQuarantined(culprit, Start));
    reports.clear();
    BOOST_TEST(!second.begin(culprit, Start).has_value());
    second.recordCrash({culprit, fingerprintOf("third", 9)}, Incarnation{1}, Start, reports);
    BOOST_TEST(reports.size() == 1U);
    for (const CrashReport &it : reports) {
        entry.merge(CrashReport::decode(it.encode()), Start);
    }
    BOOST_TEST(entry.isQuarantined(culprit, Start));
    BOOST_TEST(!entry.isQuarantined(fingerprintOf("other", 8), Start));
    BOOST_TEST(!entry.isQuarantined(fingerprintOf("third", 9), Start));
    BOOST_CHECK(entry.begin(culprit, Start)->reason() == Reason::Quarantined);
    BOOST_TEST(!entry.isQuarantined(culprit, Start + std::chrono::minutes(11)));
}

BOOST_AUTO_TEST_CASE(SuspectsThatWereRetriedTogetherAreNotAllQuarantined)
{
    CrashQuarantine node({}, NodeId("node"));
    std::vector<CrashReport> reports;
    const RequestFingerprint culprit = fingerprintOf("carrier", 7);
    const RequestFingerprint innocent = fingerprintOf("other", 8);
    node.merge({culprit, CrashReportKind::Crashed, NodeId("first"), Incarnation{1}}, Start);
    node.merge({innocent, CrashReportKind::Crashed, NodeId("first"), Incarnation{1}}, Start);
    BOOST_TEST(!node.begin(culprit, Start).has_value());
    const std::optional<Verdict> refused = node.begin(innocent, Start);
    BOOST_REQUIRE(refused.has_value());
    BOOST_CHECK(refused->reason() == Reason::Overloaded);
    node.recordCrash({culprit}, Incarnation{1}, Start, reports);
    BOOST_TEST(node.isQuarantined(culprit, Start));
    BOOST_TEST(!node.isQuarantined(innocent, Start));
    BOOST_TEST(!node.begin(innocent, Start).has_value());
}

BOOST_AUTO_TEST_CASE(ASuccessClearsASuspectOnAllNodes)
{
    CrashQuarantine node({}, NodeId("node"));
    CrashQuarantine other({}, NodeId("other"));
    const RequestFingerprint innocent = fingerprintOf("carrier", 7);
    const CrashReport crash{innocent, CrashReportKind::Crashed, NodeId("first"), Incarnation{1}};
    node.merge(crash, Start);
    other.merge(crash, Start);
    std::vector<CrashReport> reports;
    node.begin(innocent, Start);
    node.recordSuccess(innocent, Start, reports);
    BOOST_REQUIRE(reports.size() == 1U);
    other.merge(reports.front(), Start);
    BOOST_TEST(other.size() == 0U);
}

BOOST_AUTO_TEST_CASE(TheTableIsBoundedAndKeepsQuarantinesOverSuspicions)
{
    QuarantineSettings settings;
    settings.maxEntries = 50;
    CrashQuarantine node(settings, NodeId("node"));
    const RequestFingerprint culprit = fingerprintOf("carrier", 7);
    node.merge({culprit, CrashReportKind::Crashed, NodeId("a"), Incarnation{1}}, Start);
    node.merge({culprit, CrashReportKind::Crashed, NodeId("b"), Incarnation{1}}, Start);
    for (std::uint64_t i = 100; i < 1000; ++i) {
        node.merge({fingerprintOf("carrier", i), CrashReportKind::Crashed, NodeId("a"), Incarnation{2}}, Start);
        BOOST_TEST(node.size() <= 50U);
    }
    BOOST_TEST(node.isQuarantined(culprit, Start));
}

BOOST_AUTO_TEST_CASE(AnOperatorReleaseAppliesOnAllNodes)
{
    CrashQuarantine node({}, NodeId("node"));
    CrashQuarantine other({}, NodeId("other"));
    const RequestFingerprint culprit = fingerprintOf("carrier", 7);
    for (CrashQuarantine *it : {&node, &other}) {
        it->merge({culprit, CrashReportKind::Crashed, NodeId("a"), Incarnation{1}}, Start);
        it->merge({culprit, CrashReportKind::Crashed, NodeId("b"), Incarnation{1}}, Start);
    }
    BOOST_TEST(node.list(Start).size() == 1U);
    std::vector<CrashReport> reports;
    node.release(culprit, Start, reports);
    BOOST_REQUIRE(reports.size() == 1U);
    other.merge(reports.front(), Start);
    BOOST_TEST(!node.isQuarantined(culprit, Start));
    BOOST_TEST(!other.isQuarantined(culprit, Start));
}

BOOST_AUTO_TEST_SUITE_END()

#include "mesh/boundedlog.h"
#include "mesh/calloutcome.h"
#include "mesh/refusal.h"
#include "mesh/repeatpolicy.h"
#include "mesh/splitchoice.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
const HeaderDialect Dialect{
    .requestId = "Request",
    .remainingTime = "Remaining",
    .authorization = "Authorization",
    .authorizationScheme = "Key ",
    .organisation = "Organisation",
    .callerService = "Caller",
    .expectedTarget = "Expected",
    .targetName = "Target-Name",
    .targetSignature = "Signature",
    .notRun = "Not-Run",
    .retryAfter = "Retry-After",
};

EndedAttempt attempt(const Verdict &verdict, bool isRepeatable = true)
{
    return {
        .verdict = verdict,
        .status = std::nullopt,
        .isRepeatable = isRepeatable,
        .arrivals = 1,
        .maxArrivals = 2,
        .refusals = 1,
        .overloads = 0,
        .rejections = 0,
        .remaining = 1s,
    };
}

HttpResult resultOf(int status, std::vector<HttpHeader> headers)
{
    return {HttpResponse{.status = status, .headers = std::move(headers), .body = "b"}, RunState::Ran, Reason::None, {}};
}
} // namespace

BOOST_AUTO_TEST_SUITE(decisions)

BOOST_AUTO_TEST_CASE(WhatMayHaveRunIsRepeatedOnlyWhereItMayRunTwice)
{
    BOOST_CHECK(repeatAfter(attempt(Verdict::unknown(Reason::ConnectionLost))) == RepeatKind::Rerun);
    BOOST_CHECK(repeatAfter(attempt(Verdict::unknown(Reason::ConnectionLost), false)) == RepeatKind::None);
    BOOST_CHECK(repeatAfter(attempt(Verdict::unknown(Reason::DeadlineExpired))) == RepeatKind::None);
    EndedAttempt failed = attempt(Verdict::ran(), false);
    failed.status = 500;
    BOOST_CHECK(repeatAfter(failed) == RepeatKind::None);
}

BOOST_AUTO_TEST_CASE(AFailureOfTheTargetIsRepeatedUnlessItsTimeWasOver)
{
    EndedAttempt failed = attempt(Verdict::ran());
    failed.status = 500;
    BOOST_CHECK(repeatAfter(failed) == RepeatKind::Rerun);
    failed.status = 504;
    BOOST_CHECK(repeatAfter(failed) == RepeatKind::None);
    failed.status = 404;
    BOOST_CHECK(repeatAfter(failed) == RepeatKind::None);
}

BOOST_AUTO_TEST_CASE(WhatNoTargetSawMovesFreelyAndWhatATargetRefusedCostsAnArrival)
{
    BOOST_CHECK(repeatAfter(attempt(Verdict::refused(Reason::ConnectionLost), false)) == RepeatKind::Moved);
    BOOST_CHECK(repeatAfter(attempt(Verdict::refused(Reason::Draining), false)) == RepeatKind::Moved);
    BOOST_CHECK(repeatAfter(attempt(Verdict::refused(Reason::TargetFailed), false)) == RepeatKind::Rejected);
    // Not run at any of the targets that it may be sent to: it may be sent to one of them again, a few times.
    EndedAttempt spent = attempt(Verdict::refused(Reason::TargetFailed));
    spent.arrivals = spent.maxArrivals;
    spent.rejections = spent.maxArrivals;
    BOOST_CHECK(repeatAfter(spent) == RepeatKind::Rejected);
    spent.rejections = 8;
    BOOST_CHECK(repeatAfter(spent) == RepeatKind::None);
    // What may have run at as many targets as allowed is sent nowhere any more.
    EndedAttempt ran = attempt(Verdict::unknown(Reason::ConnectionLost));
    ran.arrivals = ran.maxArrivals;
    BOOST_CHECK(repeatAfter(ran) == RepeatKind::None);
}

BOOST_AUTO_TEST_CASE(OverloadIsTriedAtOneOtherTargetAtTheMost)
{
    EndedAttempt refused = attempt(Verdict::refused(Reason::Overloaded));
    refused.overloads = 1;
    BOOST_CHECK(repeatAfter(refused) == RepeatKind::Moved);
    refused.overloads = 2;
    BOOST_CHECK(repeatAfter(refused) == RepeatKind::None);
}

BOOST_AUTO_TEST_CASE(NothingIsRepeatedWithoutTimeForIt)
{
    EndedAttempt late = attempt(Verdict::refused(Reason::ConnectionLost));
    late.remaining = 5ms;
    BOOST_CHECK(repeatAfter(late) == RepeatKind::None);
}

BOOST_AUTO_TEST_CASE(EachServiceGetsItsPartOfAnyRunOfRequests)
{
    const MeshRoute route{
        .name = RouteName("r"),
        .host = "h",
        .pathPrefix = "/",
        .repeatability = Repeatability::Idempotent,
        .timeLimit = 1s,
        .targetLatency = 1s,
        .priority = PriorityLevel{0},
        .services = {{ServiceName("a"), 90}, {ServiceName("b"), 10}},
        .maxAttempts = 1,
        .isAnonymous = false,
    };
    SplitChoice split;
    std::map<std::string, int> counts;
    for (int n = 1; n <= 1'000; ++n) {
        ++counts[split.next(route).text()];
        BOOST_REQUIRE_LE(std::abs(counts["b"] - n / 10.0), 1);
    }
}

BOOST_AUTO_TEST_CASE(OnlyASignedResponseWithoutAnEncodingIsTheTargets)
{
    BOOST_CHECK(outcomeOf(Dialect, resultOf(200, {{"Signature", "s"}})).response.has_value());
    BOOST_CHECK(outcomeOf(Dialect, resultOf(200, {})).verdict == Verdict::unknown(Reason::TargetFailed));
    BOOST_CHECK(outcomeOf(Dialect, resultOf(200, {{"Signature", "s"}, {"Content-Encoding", "gzip"}})).verdict == Verdict::unknown(Reason::TargetFailed));
    BOOST_CHECK(outcomeOf(Dialect, resultOf(503, {{"Not-Run", "1"}})).verdict == Verdict::refused(Reason::TargetFailed));
    BOOST_CHECK(outcomeOf(Dialect, resultOf(421, {})).verdict == Verdict::refused(Reason::NoTarget));
    // Nobody who has run a request to a good end says that it did not run.
    BOOST_CHECK(outcomeOf(Dialect, resultOf(200, {{"Signature", "s"}, {"Not-Run", "1"}})).response.has_value());
}

BOOST_AUTO_TEST_CASE(AResponseBelongsToTheRequestThatItNames)
{
    const HttpResponse named{.status = 200, .headers = {{"Request", "r1"}}, .body = {}};
    BOOST_CHECK(isAnswerTo(Dialect, "r1", named));
    BOOST_CHECK(!isAnswerTo(Dialect, "r2", named));
    const HttpResponse refusal{.status = 503, .headers = {{"Not-Run", "1"}}, .body = {}};
    BOOST_CHECK(isAnswerTo(Dialect, "r1", refusal));
    const HttpResponse unnamed{.status = 200, .headers = {}, .body = {}};
    BOOST_CHECK(!isAnswerTo(Dialect, "r1", unnamed));
}

BOOST_AUTO_TEST_CASE(AStatusThatSaysNotRunIsOnlyGivenToARequestThatDidNotRun)
{
    for (const Reason reason : {Reason::ConnectionLost, Reason::DeadlineExpired, Reason::TargetFailed, Reason::NoTarget, Reason::Overloaded}) {
        BOOST_CHECK_EQUAL(refusalOf(Dialect, Verdict::refused(reason), "r").status, 503);
        BOOST_CHECK_GE(refusalOf(Dialect, Verdict::unknown(reason), "r").status, 500);
        BOOST_CHECK_NE(refusalOf(Dialect, Verdict::unknown(reason), "r").status, 503);
    }
    const HttpResponse limited = refusalOf(Dialect, Verdict::refused(Reason::RateExceeded, 250ms), "r");
    BOOST_CHECK_EQUAL(limited.status, 429);
    BOOST_CHECK(findHeader(limited.headers, "Retry-After") == "0.250");
}

BOOST_AUTO_TEST_CASE(ALogLeavesOutWhatIsTooMuchAndCountsIt)
{
    BoundedLog log(2);
    const TimePoint now{100s};
    BOOST_CHECK(log.mayWrite(now));
    BOOST_CHECK(log.mayWrite(now));
    BOOST_CHECK(!log.mayWrite(now));
    BOOST_CHECK(log.mayWrite(now + 1s));
    BOOST_CHECK_EQUAL(log.takeLeftOut(), 1);
    BOOST_CHECK_EQUAL(log.takeLeftOut(), 0);
}

BOOST_AUTO_TEST_SUITE_END()

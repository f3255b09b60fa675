#include "mesh/calloutcome.h"
#include "mesh/logratelimiter.h"
#include "mesh/refusal.h"
#include "mesh/retrydecision.h"
#include "mesh/trafficsplitter.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
const HeaderDialect Headers{
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

AttemptResult attempt(const Verdict &verdict, bool isIdempotent = true)
{
    return {
        .verdict = verdict,
        .status = std::nullopt,
        .isIdempotent = isIdempotent,
        .arrivals = 1,
        .maxArrivals = 2,
        .nodeRefusals = 1,
        .overloadRefusals = 0,
        .targetRejections = 0,
        .remaining = 1s,
    };
}

HttpResult resultOf(int status, std::vector<HttpHeader> headers)
{
    return {HttpResponse{.status = status, .headers = std::move(headers), .body = "b"}, RunState::Ran, Reason::None, {}};
}
} // namespace

BOOST_AUTO_TEST_SUITE(requestdecisions)

BOOST_AUTO_TEST_CASE(ARequestThatMayHaveRunIsRetriedOnlyIfIdempotent)
{
    BOOST_CHECK(decideRetry(attempt(Verdict::unknown(Reason::ConnectionLost))) == RetryKind::Reexecute);
    BOOST_CHECK(decideRetry(attempt(Verdict::unknown(Reason::ConnectionLost), false)) == RetryKind::None);
    BOOST_CHECK(decideRetry(attempt(Verdict::unknown(Reason::DeadlineExpired))) == RetryKind::None);
    AttemptResult failed = attempt(Verdict::ran(), false);
    failed.status = 500;
    BOOST_CHECK(decideRetry(failed) == RetryKind::None);
}

BOOST_AUTO_TEST_CASE(AServerErrorIsRetriedUnlessItIsAGatewayTimeout)
{
    AttemptResult failed = attempt(Verdict::ran());
    failed.status = 500;
    BOOST_CHECK(decideRetry(failed) == RetryKind::Reexecute);
    failed.status = 504;
    BOOST_CHECK(decideRetry(failed) == RetryKind::None);
    failed.status = 404;
    BOOST_CHECK(decideRetry(failed) == RetryKind::None);
}

BOOST_AUTO_TEST_CASE(UndeliveredRequestsAreReroutedAndRejectedRequestsAreResent)
{
    BOOST_CHECK(decideRetry(attempt(Verdict::refused(Reason::ConnectionLost), false)) == RetryKind::Reroute);
    BOOST_CHECK(decideRetry(attempt(Verdict::refused(Reason::Draining), false)) == RetryKind::Reroute);
    BOOST_CHECK(decideRetry(attempt(Verdict::refused(Reason::TargetFailed), false)) == RetryKind::Resend);
    // Rejected by as many targets as allowed: it may be resent to one of them, up to a limit.
    AttemptResult spent = attempt(Verdict::refused(Reason::TargetFailed));
    spent.arrivals = spent.maxArrivals;
    spent.targetRejections = spent.maxArrivals;
    BOOST_CHECK(decideRetry(spent) == RetryKind::Resend);
    spent.targetRejections = 8;
    BOOST_CHECK(decideRetry(spent) == RetryKind::None);
    // A request that may have run at as many targets as allowed is not retried.
    AttemptResult ran = attempt(Verdict::unknown(Reason::ConnectionLost));
    ran.arrivals = ran.maxArrivals;
    BOOST_CHECK(decideRetry(ran) == RetryKind::None);
}

BOOST_AUTO_TEST_CASE(ARequestRefusedForOverloadIsReroutedOnce)
{
    AttemptResult refused = attempt(Verdict::refused(Reason::Overloaded));
    refused.overloadRefusals = 1;
    BOOST_CHECK(decideRetry(refused) == RetryKind::Reroute);
    refused.overloadRefusals = 2;
    BOOST_CHECK(decideRetry(refused) == RetryKind::None);
}

BOOST_AUTO_TEST_CASE(ARequestWithoutTimeLeftIsNotRetried)
{
    AttemptResult late = attempt(Verdict::refused(Reason::ConnectionLost));
    late.remaining = 5ms;
    BOOST_CHECK(decideRetry(late) == RetryKind::None);
}

BOOST_AUTO_TEST_CASE(EachServiceGetsItsShareOfAnyRequestSequence)
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
    TrafficSplitter splitter;
    std::map<std::string, int> counts;
    for (int n = 1; n <= 1'000; ++n) {
        ++counts[splitter.next(route).text()];
        BOOST_REQUIRE_LE(std::abs(counts["b"] - n / 10.0), 1);
    }
}

BOOST_AUTO_TEST_CASE(OnlyASignedResponseWithoutAnEncodingIsAccepted)
{
    BOOST_CHECK(classifyResult(Headers, resultOf(200, {{"Signature", "s"}})).response.has_value());
    BOOST_CHECK(classifyResult(Headers, resultOf(200, {})).verdict == Verdict::unknown(Reason::TargetFailed));
    BOOST_CHECK(classifyResult(Headers, resultOf(200, {{"Signature", "s"}, {"Content-Encoding", "gzip"}})).verdict == Verdict::unknown(Reason::TargetFailed));
    BOOST_CHECK(classifyResult(Headers, resultOf(503, {{"Not-Run", "1"}})).verdict == Verdict::refused(Reason::TargetFailed));
    BOOST_CHECK(classifyResult(Headers, resultOf(421, {})).verdict == Verdict::refused(Reason::NoTarget));
    // A successful response wins over a header that reports that the request did not run.
    BOOST_CHECK(classifyResult(Headers, resultOf(200, {{"Signature", "s"}, {"Not-Run", "1"}})).response.has_value());
}

BOOST_AUTO_TEST_CASE(AResponseIsMatchedToItsRequestById)
{
    const HttpResponse named{.status = 200, .headers = {{"Request", "r1"}}, .body = {}};
    BOOST_CHECK(isResponseTo(Headers, "r1", named));
    BOOST_CHECK(!isResponseTo(Headers, "r2", named));
    const HttpResponse refusal{.status = 503, .headers = {{"Not-Run", "1"}}, .body = {}};
    BOOST_CHECK(isResponseTo(Headers, "r1", refusal));
    const HttpResponse unnamed{.status = 200, .headers = {}, .body = {}};
    BOOST_CHECK(!isResponseTo(Headers, "r1", unnamed));
}

BOOST_AUTO_TEST_CASE(Status503IsReturnedOnlyForRequestsThatDidNotRun)
{
    for (const Reason reason : {Reason::ConnectionLost, Reason::DeadlineExpired, Reason::TargetFailed, Reason::NoTarget, Reason::Overloaded}) {
        BOOST_CHECK_EQUAL(refusalResponse(Headers, Verdict::refused(reason), "r").status, 503);
        BOOST_CHECK_GE(refusalResponse(Headers, Verdict::unknown(reason), "r").status, 500);
        BOOST_CHECK_NE(refusalResponse(Headers, Verdict::unknown(reason), "r").status, 503);
    }
    const HttpResponse limited = refusalResponse(Headers, Verdict::refused(Reason::RateExceeded, 250ms), "r");
    BOOST_CHECK_EQUAL(limited.status, 429);
    BOOST_CHECK(findHeader(limited.headers, "Retry-After") == "0.250");
}

BOOST_AUTO_TEST_CASE(ExcessLogLinesAreDroppedAndCounted)
{
    LogRateLimiter limiter(2);
    const TimePoint now{100s};
    BOOST_CHECK(limiter.tryAcquire(now));
    BOOST_CHECK(limiter.tryAcquire(now));
    BOOST_CHECK(!limiter.tryAcquire(now));
    BOOST_CHECK(limiter.tryAcquire(now + 1s));
    BOOST_CHECK_EQUAL(limiter.takeDroppedLines(), 1);
    BOOST_CHECK_EQUAL(limiter.takeDroppedLines(), 0);
}

BOOST_AUTO_TEST_SUITE_END()

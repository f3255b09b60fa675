#include "protocol/callmessages.h"
#include "state/errors.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
CallRequest sampleRequest()
{
    const CallContext context{
        .root = RequestId(7, 9),
        .hasStableRoot = true,
        .organisation = OrganisationId("lufthafen"),
        .key = KeyId("k1"),
        .priority = PriorityLevel{1},
        .remaining = 250ms,
        .retryBudget = 2,
        .depth = 3,
    };
    return {
        .attempt = AttemptId{42},
        .context = context,
        .service = ServiceName("zertifikat"),
        .route = RouteName("issue"),
        .claim = RequestId(3, 4),
        .repeatId = RequestId(5, 6),
        .targetIncarnation = Incarnation{1'700'000'000'000'000},
        .http = {.method = "POST", .target = "/certificates?crew=7", .headers = {{"Content-Type", "text/plain"}}, .body = std::string("a\0b", 3)},
    };
}
} // namespace

BOOST_AUTO_TEST_SUITE(callmessages)

BOOST_AUTO_TEST_CASE(EncodedRequestReadsBack)
{
    const CallRequest request = sampleRequest();
    BOOST_CHECK(CallRequest::decode(request.encode()) == request);
}

BOOST_AUTO_TEST_CASE(EncodedAnswerReadsBack)
{
    const CallAnswer refusal{
        .attempt = AttemptId{1},
        .verdict = Verdict::refused(Reason::Overloaded, 20ms),
        .response = std::nullopt,
        .hint = {.admittedLevel = PriorityLevel{2}, .admittedFraction = 0.25, .load = 8, .limit = 4},
        .retriesSpent = 1,
    };
    BOOST_CHECK(CallAnswer::decode(refusal.encode()) == refusal);
    const CallAnswer success{
        .attempt = AttemptId{2},
        .verdict = Verdict::ran(),
        .response = HttpResponse{.status = 200, .headers = {}, .body = "whole"},
        .hint = {},
        .retriesSpent = 0,
    };
    BOOST_CHECK(CallAnswer::decode(success.encode()) == success);
}

// Failure: a message that its sender takes for valid ends the connection of its reader, with the requests of all others on it.
BOOST_AUTO_TEST_CASE(AnyNumberOfHeadersReadsBack)
{
    for (const std::size_t count : {std::size_t{300}, std::size_t{100'000}}) {
        CallRequest request = sampleRequest();
        request.http.headers.assign(count, {"a", ""});
        BOOST_CHECK(CallRequest::decode(request.encode()) == request);
        const CallAnswer answer{
            .attempt = AttemptId{2},
            .verdict = Verdict::ran(),
            .response = HttpResponse{.status = 200, .headers = request.http.headers, .body = "whole"},
            .hint = {},
            .retriesSpent = 0,
        };
        BOOST_CHECK(CallAnswer::decode(answer.encode()) == answer);
    }
}

// Failure: a corrupt count makes a node allocate memory without end.
BOOST_AUTO_TEST_CASE(ACountBeyondTheBytesThatFollowIsRejected)
{
    CallRequest request = sampleRequest();
    request.http.headers.assign(15, {"name", "value"});
    std::string payload = request.encode().payload;
    const std::size_t at = payload.find("\x9f\xa4name");
    BOOST_REQUIRE(at != std::string::npos);
    payload.replace(at, 1, "\xdd\xff\xff\xff\xff");
    BOOST_CHECK_THROW(CallRequest::decode({MessageType::CallRequest, payload}), ProtocolError);
}

// Failure: a status that ends no request reaches the caller of another node.
BOOST_AUTO_TEST_CASE(AnAnswerWithAnInvalidStatusIsRejected)
{
    for (const int status : {0, 99, 100, 199, 600, 999}) {
        const CallAnswer answer{
            .attempt = AttemptId{2},
            .verdict = Verdict::ran(),
            .response = HttpResponse{.status = status, .headers = {}, .body = {}},
            .hint = {},
            .retriesSpent = 0,
        };
        BOOST_CHECK_THROW(CallAnswer::decode(answer.encode()), ProtocolError);
    }
}

BOOST_AUTO_TEST_CASE(EveryTruncationOfARequestIsRejected)
{
    const Envelope whole = sampleRequest().encode();
    for (std::size_t n = 0; n < whole.payload.size(); ++n) {
        const Envelope part{whole.type, whole.payload.substr(0, n)};
        BOOST_CHECK_THROW(CallRequest::decode(part), Error);
    }
    const Envelope longer{whole.type, whole.payload + "x"};
    BOOST_CHECK_THROW(CallRequest::decode(longer), ProtocolError);
}

BOOST_AUTO_TEST_SUITE_END()

#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/test/loopback.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <thread>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
constexpr std::size_t LargeBodyBytes = std::size_t{5} * 1024 * 1024;

std::string patternOf(std::size_t size)
{
    std::string bytes(size, '\0');
    for (std::size_t n = 0; n < size; ++n) {
        bytes[n] = static_cast<char>((n * 31 + n / 251) & 0xffU);
    }
    return bytes;
}

HttpRequest get(const std::string &target)
{
    return {.method = "GET", .target = target, .headers = {}, .body = {}};
}

std::future<HttpResult> ask(HttpClient &client, const Endpoint &server, HttpRequest request, Duration limit = EventLimit)
{
    auto promise = std::make_shared<std::promise<HttpResult>>();
    std::future<HttpResult> future = promise->get_future();
    client.send({server, std::move(request), limit}, [promise](HttpResult result) { promise->set_value(std::move(result)); });
    return future;
}

HttpResult result(std::future<HttpResult> future)
{
    return await(future);
}

std::size_t residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t all = 0;
    std::size_t resident = 0;
    statm >> all >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

struct EchoServer {
    explicit EchoServer(HttpServerSettings settings = {.listen = freeEndpoint()})
        : endpoint(settings.listen)
        , server(std::move(settings), [](HttpRequest request, const HttpResponder &respond) {
            respond({.status = 200, .headers = {{"Seen", request.method + " " + request.target}}, .body = std::move(request.body)});
        })
    {
        server.start();
    }

    Endpoint endpoint;
    HttpServer server;
};
} // namespace

BOOST_AUTO_TEST_SUITE(http)

BOOST_AUTO_TEST_CASE(RequestAndResponseArriveAsTheyWereSent)
{
    EchoServer echo;
    HttpClient client({});
    const HttpRequest request{.method = "POST", .target = "/a/../b?x=%20", .headers = {{"Empty", ""}}, .body = std::string("a\0b", 3)};
    const HttpResult answer = result(ask(client, echo.endpoint, request));
    BOOST_REQUIRE(answer.response);
    BOOST_CHECK(answer.runState == RunState::Ran);
    BOOST_CHECK(answer.reason == Reason::None);
    BOOST_CHECK_EQUAL(answer.response->status, 200);
    BOOST_CHECK_EQUAL(findHeader(answer.response->headers, "seen").value_or(""), "POST /a/../b?x=%20");
    BOOST_CHECK_EQUAL(answer.response->body, request.body);
}

BOOST_AUTO_TEST_CASE(LargeBodiesStayWholeInBothDirections)
{
    EchoServer echo;
    HttpClient client({});
    const std::string body = patternOf(LargeBodyBytes);
    constexpr std::size_t Requests = 4;
    std::vector<std::future<HttpResult>> answers;
    answers.reserve(Requests);
    for (std::size_t n = 0; n < Requests; ++n) {
        answers.push_back(ask(client, echo.endpoint, {.method = "PUT", .target = "/", .headers = {}, .body = body}));
    }
    for (auto &it : answers) {
        const HttpResult answer = await(it);
        BOOST_REQUIRE(answer.response);
        BOOST_CHECK(answer.response->body == body);
    }
}

BOOST_AUTO_TEST_CASE(TooLongRequestBodyIsAnsweredWith413)
{
    EchoServer echo({.listen = freeEndpoint(), .maxBodyBytes = 1000});
    HttpClient client({});
    const HttpResult answer = result(ask(client, echo.endpoint, {.method = "POST", .target = "/", .headers = {}, .body = std::string(1001, 'x')}));
    BOOST_REQUIRE(answer.response);
    BOOST_CHECK_EQUAL(answer.response->status, 413);
    BOOST_CHECK_EQUAL(findHeader(answer.response->headers, "Connection").value_or(""), "close");
}

BOOST_AUTO_TEST_CASE(TooLongResponseBodyIsNotHandedOn)
{
    EchoServer echo;
    HttpClient client({.maxBodyBytes = 1000});
    const HttpResult answer = result(ask(client, echo.endpoint, {.method = "POST", .target = "/", .headers = {}, .body = std::string(1001, 'x')}));
    BOOST_CHECK(!answer.response);
    BOOST_CHECK(answer.reason == Reason::BodyTooLarge);
    BOOST_CHECK(answer.runState == RunState::MayHaveRun);
}

BOOST_AUTO_TEST_CASE(RefusedConnectionMeansNotRun)
{
    HttpClient client({});
    const HttpResult answer = result(ask(client, freeEndpoint(), get("/")));
    BOOST_CHECK(!answer.response);
    BOOST_CHECK(answer.runState == RunState::NotRun);
    BOOST_CHECK(answer.reason == Reason::ConnectionLost);
}

BOOST_AUTO_TEST_CASE(ConnectionCutInTheMiddleOfABodyIsNoAnswer)
{
    for (const std::string head : {"Content-Length: 10\r\n\r\n12345", "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n", "\r\n12345"}) {
        RawServer raw;
        HttpClient client({});
        auto answer = ask(client, raw.endpoint(), get("/"));
        RawConnection connection = raw.accept();
        connection.readUntil("\r\n\r\n");
        connection.write("HTTP/1.1 200 OK\r\n" + head);
        connection.close();
        const HttpResult it = await(answer);
        BOOST_CHECK(!it.response);
        BOOST_CHECK(it.reason == Reason::BodyIncomplete);
        BOOST_CHECK(it.runState == RunState::MayHaveRun);
    }
}

BOOST_AUTO_TEST_CASE(ConnectionCutInTheMiddleOfAHeadIsNoAnswer)
{
    const std::string head = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t n = 0; n < head.size(); ++n) {
        BOOST_TEST_CONTEXT(head.substr(0, n))
        {
            RawServer raw;
            HttpClient client({});
            auto answer = ask(client, raw.endpoint(), get("/"));
            RawConnection connection = raw.accept();
            connection.readUntil("\r\n\r\n");
            connection.write(head.substr(0, n));
            connection.close();
            const HttpResult it = await(answer);
            BOOST_CHECK(!it.response);
            BOOST_CHECK(it.runState == RunState::MayHaveRun);
        }
    }
}

// Failure: a server in trouble sends a status that no final response has, and its caller gets it as an answer.
BOOST_AUTO_TEST_CASE(AResponseWithAnInvalidStatusIsNoAnswer)
{
    for (const std::string status : {"000", "099", "600", "999"}) {
        BOOST_TEST_CONTEXT(status)
        {
            RawServer raw;
            HttpClient client({});
            auto answer = ask(client, raw.endpoint(), get("/"));
            RawConnection connection = raw.accept();
            connection.readUntil("\r\n\r\n");
            connection.write("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 5\r\n\r\n12345");
            connection.close();
            const HttpResult it = await(answer);
            BOOST_CHECK(!it.response);
            BOOST_CHECK(it.runState == RunState::MayHaveRun);
        }
    }
}

// Failure: a server answers a long upload early, with a response that ends with the connection, and resets the connection while the upload is being written.
BOOST_AUTO_TEST_CASE(AnEarlyResponseWithoutALengthThatIsResetIsNoAnswer)
{
    RawServer raw;
    HttpClient client({});
    auto answer = ask(client, raw.endpoint(), {.method = "POST", .target = "/", .headers = {}, .body = std::string(std::size_t{8} * 1024 * 1024, 'x')});
    RawConnection connection = raw.accept();
    connection.readUntil("\r\n\r\n");
    connection.write("HTTP/1.1 200 OK\r\n\r\n12345");
    connection.reset();
    const HttpResult it = await(answer);
    BOOST_CHECK(!it.response);
    BOOST_CHECK(it.runState == RunState::MayHaveRun);
}

BOOST_AUTO_TEST_CASE(AChunkedResponseIsDeliveredWhole)
{
    RawServer raw;
    HttpClient client({});
    auto answer = ask(client, raw.endpoint(), get("/"));
    RawConnection connection = raw.accept();
    connection.readUntil("\r\n\r\n");
    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n");
    const HttpResult it = await(answer);
    BOOST_REQUIRE(it.response);
    BOOST_CHECK_EQUAL(it.response->body, "12345");
}

BOOST_AUTO_TEST_CASE(RequestIsNotSentTwiceWhenAKeptConnectionCloses)
{
    RawServer raw;
    HttpClient client({});
    auto first = ask(client, raw.endpoint(), {.method = "POST", .target = "/1", .headers = {}, .body = "x"});
    RawConnection kept = raw.accept();
    kept.readUntil("\r\n\r\nx");
    kept.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    BOOST_REQUIRE(await(first).response);

    auto second = ask(client, raw.endpoint(), {.method = "POST", .target = "/2", .headers = {}, .body = "x"});
    const std::string seen = kept.readUntil("\r\n\r\nx");
    BOOST_CHECK(seen.find("POST /2 ") == 0);
    kept.close();
    const HttpResult it = await(second);
    BOOST_CHECK(!it.response);
    BOOST_CHECK(it.runState == RunState::MayHaveRun);
    BOOST_CHECK(it.reason == Reason::ConnectionLost);
}

BOOST_AUTO_TEST_CASE(SilentServerMeansDeadlineExpiredAndMayHaveRun)
{
    RawServer raw;
    HttpClient client({});
    auto answer = ask(client, raw.endpoint(), get("/"), 50ms);
    RawConnection connection = raw.accept();
    const HttpResult it = await(answer);
    BOOST_CHECK(it.reason == Reason::DeadlineExpired);
    BOOST_CHECK(it.runState == RunState::MayHaveRun);
}

BOOST_AUTO_TEST_CASE(DeadlineExpiredWhileWaitingForAConnectionMeansNotRun)
{
    RawServer raw;
    HttpClient client({.maxConnections = 1});
    auto first = ask(client, raw.endpoint(), get("/"));
    RawConnection connection = raw.accept();
    connection.readUntil("\r\n\r\n");
    const HttpResult second = result(ask(client, raw.endpoint(), get("/"), 50ms));
    BOOST_CHECK(second.reason == Reason::DeadlineExpired);
    BOOST_CHECK(second.runState == RunState::NotRun);
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    BOOST_CHECK(await(first).response);
}

BOOST_AUTO_TEST_CASE(CancelClosesTheConnection)
{
    RawServer raw;
    HttpClient client({});
    auto promise = std::make_shared<std::promise<HttpResult>>();
    auto cancelled = promise->get_future();
    const HttpCallId id = client.send({raw.endpoint(), get("/"), EventLimit}, [promise](HttpResult it) { promise->set_value(std::move(it)); });
    RawConnection connection = raw.accept();
    connection.readUntil("\r\n\r\n");
    client.cancel(id);
    BOOST_CHECK(connection.readToEnd().empty());
    const HttpResult it = await(cancelled);
    BOOST_CHECK(it.reason == Reason::Cancelled);
    BOOST_CHECK(it.runState == RunState::MayHaveRun);
}

BOOST_AUTO_TEST_CASE(ResponderMayBeCalledAfterTheClientAndTheServerAreGone)
{
    std::promise<HttpResponder> promise;
    auto seen = promise.get_future();
    const Endpoint endpoint = freeEndpoint();
    auto server = std::make_unique<HttpServer>(HttpServerSettings{.listen = endpoint},
                                               [&promise](const HttpRequest &, HttpResponder respond) { promise.set_value(std::move(respond)); });
    server->start();
    RawConnection connection(endpoint);
    connection.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    const HttpResponder respond = await(seen);
    connection.close();
    server.reset();
    respond({.status = 200, .headers = {}, .body = "late"});
    respond({.status = 200, .headers = {}, .body = "twice"});
}

BOOST_AUTO_TEST_CASE(ServerSeesThatAClientLeft)
{
    std::promise<HttpResponder> promise;
    auto seen = promise.get_future();
    const Endpoint endpoint = freeEndpoint();
    HttpServer server({.listen = endpoint}, [&promise](const HttpRequest &, HttpResponder respond) { promise.set_value(std::move(respond)); });
    server.start();
    HttpClient client({});
    const HttpCallId id = client.send({endpoint, get("/"), EventLimit}, [](const HttpResult &) {});
    const HttpResponder respond = await(seen);
    auto left = std::make_shared<std::promise<void>>();
    auto hasLeft = left->get_future();
    respond.whenClientLeaves([left] { left->set_value(); });
    client.cancel(id);
    BOOST_CHECK_NO_THROW(await(hasLeft));
    respond({.status = 200, .headers = {}, .body = "late"});
}

BOOST_AUTO_TEST_CASE(AnsweredRequestTellsNothingOfItsClient)
{
    std::atomic<int> calls = 0;
    const Endpoint endpoint = freeEndpoint();
    auto server = std::make_unique<HttpServer>(HttpServerSettings{.listen = endpoint}, [&calls](const HttpRequest &, const HttpResponder &respond) {
        respond.whenClientLeaves([&calls] { ++calls; });
        respond({.status = 200, .headers = {}, .body = {}});
    });
    server->start();
    HttpClient client({});
    BOOST_CHECK(result(ask(client, endpoint, get("/"))).response);
    server.reset();
    BOOST_CHECK_EQUAL(calls, 0);
}

BOOST_AUTO_TEST_CASE(ConnectionsOverTheLimitAreClosed)
{
    EchoServer echo({.listen = freeEndpoint(), .maxConnections = 1});
    RawConnection first(echo.endpoint);
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    first.write(request);
    BOOST_CHECK(first.readUntil("\r\n\r\n").find("200 OK") != std::string::npos);
    RawConnection second(echo.endpoint);
    BOOST_CHECK_EQUAL(second.readToEnd(), "");
    first.write(request);
    BOOST_CHECK(first.readUntil("\r\n\r\n").find("200 OK") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(OpenConnectionIsServedAfterListeningStopped)
{
    EchoServer echo;
    RawConnection connection(echo.endpoint);
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    connection.write(request);
    BOOST_CHECK(connection.readUntil("\r\n\r\n").find("200 OK") != std::string::npos);
    echo.server.stopListening();
    BOOST_CHECK_THROW(RawConnection{echo.endpoint}, std::system_error);
    connection.write(request);
    BOOST_CHECK(connection.readUntil("\r\n\r\n").find("200 OK") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(MalformedRequestClosesItsConnectionOnly)
{
    EchoServer echo;
    HttpClient client({});
    for (const std::string bytes : {"\x01\x02\x03\r\n\r\n", "G\x01T / HTTP/1.1\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"}) {
        RawConnection damaged(echo.endpoint);
        damaged.write(bytes);
        BOOST_CHECK_EQUAL(damaged.readToEnd(), "");
        BOOST_CHECK(result(ask(client, echo.endpoint, get("/"))).response);
    }
}

// A faulty server that sent header lines until its caller closed had them all kept.
BOOST_AUTO_TEST_CASE(BytesWithoutEndAreNotKept)
{
    constexpr std::size_t SentBytes = std::size_t{256} * 1024 * 1024;
    constexpr std::size_t MaxKeptBytes = std::size_t{32} * 1024 * 1024;
    const std::string filler(1'000, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<std::string, std::string>> cases{
        {"HTTP/1.1 200 OK\r\n", "X-Filler: " + filler + "\r\n"},
        {"HTTP/1.1 200 OK\r\nX-Filler: ", filler},
        {"HTTP/1.1 200 ", filler},
        {"", "HTTP/1.1 100 Continue\r\nX-Filler: " + filler + "\r\n\r\n"},
        {"", filler},
        {"HTTP/1.1 200 OK\r\n\r\n", filler},
        {chunked, "3e8\r\n" + filler + "\r\n"},
        {chunked + "5;", filler},
        {chunked + "0\r\n", "X-Filler: " + filler + "\r\n"},
    };
    for (const auto &[begin, repeated] : cases) {
        BOOST_TEST_CONTEXT(begin << repeated.substr(0, 30))
        {
            RawServer raw;
            HttpClient client({});
            auto answer = ask(client, raw.endpoint(), get("/"), 5s);
            RawConnection connection = raw.accept();
            connection.readUntil("\r\n\r\n");
            std::string block;
            while (block.size() < 100'000) {
                block += repeated;
            }
            const std::size_t before = residentBytes();
            std::size_t kept = 0;
            connection.write(begin);
            for (std::size_t sent = 0; sent < SentBytes && connection.write(block); sent += block.size()) {
                kept = std::max(kept, residentBytes() - std::min(before, residentBytes()));
            }
            connection.close();
            BOOST_CHECK_LT(kept, MaxKeptBytes);
            BOOST_CHECK(!await(answer).response);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

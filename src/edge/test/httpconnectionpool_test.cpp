#include "edge/httpconnectionpool.h"
#include "edge/test/iocontextthread.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
// Reached only if a call hangs.
constexpr Duration HangTimeout = 20s;

/// A pool and a listening socket whose responses the test writes.
class PoolFixture
{
public:
    PoolFixture()
        : m_endpoint(freeLoopback())
        , m_acceptor(m_acceptContext, {asio::ip::make_address(m_endpoint.address()), m_endpoint.port()})
    {
        m_ioThread.run(
            [this] { m_pool = std::make_unique<HttpConnectionPool>(m_ioThread.context, HttpConnectionPoolSettings{.server = m_endpoint, .response = {}}); });
    }
    ~PoolFixture()
    {
        m_ioThread.run([this] { m_pool.reset(); });
    }

    std::future<HttpResult> send(const std::string &id, std::string body = {}, Duration limit = HangTimeout, Duration stallLimit = Duration::zero())
    {
        auto promise = std::make_shared<std::promise<HttpResult>>();
        std::future<HttpResult> result = promise->get_future();
        m_lastCallId = m_ioThread.run([&] {
            PoolCall call{
                .request = {.method = body.empty() ? "GET" : "POST", .target = "/" + id, .headers = {{"Host", "a"}}, .body = std::move(body)},
                .timeLimit = limit,
                .stallLimit = stallLimit,
                .isAnswer = [id](const HttpResponse &response) { return findHeader(response.headers, "Id").value_or(id) == id; },
                .isAmbiguous = [](const HttpResponse &response) { return !findHeader(response.headers, "Id"); },
                .repeatId = id,
            };
            return m_pool->send(std::move(call), [promise](HttpResult it) { promise->set_value(std::move(it)); });
        });
        return result;
    }
    /// Sends a call that takes its response in parts. @param parts receives them; used on the pool's thread.
    std::future<HttpResult> sendStreaming(const std::string &id, std::shared_ptr<std::string> parts, std::size_t credit)
    {
        auto promise = std::make_shared<std::promise<HttpResult>>();
        std::future<HttpResult> result = promise->get_future();
        m_lastCallId = m_ioThread.run([&] {
            PoolCall call{.request = {.method = "GET", .target = "/" + id, .headers = {{"Host", "a"}}, .body = {}}, .timeLimit = HangTimeout};
            call.stream = ResponseStream{.began = [](const HttpResponse &, std::optional<std::uint64_t>) {},
                                         .part = [parts](const std::string &bytes) { *parts += bytes; },
                                         .initialCredit = credit};
            return m_pool->send(std::move(call), [promise](HttpResult it) { promise->set_value(std::move(it)); });
        });
        return result;
    }
    void grant(std::size_t bytes)
    {
        m_ioThread.run([&] { m_pool->grant(m_lastCallId, bytes); });
    }
    template<typename Function>
    auto run(Function function)
    {
        return m_ioThread.run(std::move(function));
    }
    void cancelLast()
    {
        m_ioThread.run([this] { m_pool->cancel(m_lastCallId); });
    }
    std::unique_ptr<RawConnection> accept()
    {
        return std::make_unique<RawConnection>(m_acceptor);
    }
    HttpConnectionPoolCounts counts()
    {
        return m_ioThread.run([this] { return m_pool->counts(); });
    }

private:
    Endpoint m_endpoint;
    asio::io_context m_acceptContext;
    asio::ip::tcp::acceptor m_acceptor;
    IoContextThread m_ioThread;
    std::unique_ptr<HttpConnectionPool> m_pool;
    PoolCallId m_lastCallId{};
};

enum class Ending {
    KeepOpen,
    Close,
    Reset,
};

struct ResponseCase {
    std::string name;
    std::string bytes;
    Ending ending;
    /// The expected body. Absent if the call is expected to fail.
    std::optional<std::string> body;
    /// Whether the next call is expected to reuse the connection.
    bool isReused;
};

const std::string OkHead = "HTTP/1.1 200 OK\r\nId: 1\r\n";

const std::vector<ResponseCase> ResponseCases{
    {"sized", OkHead + "Content-Length: 5\r\n\r\nhello", Ending::KeepOpen, "hello", true},
    {"chunked", OkHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", Ending::KeepOpen, "hello", true},
    {"no length, orderly close", OkHead + "\r\nhello", Ending::Close, "hello", false},
    {"no length, reset", OkHead + "\r\nhello", Ending::Reset, std::nullopt, false},
    {"cut short", OkHead + "Content-Length: 9\r\n\r\nhello", Ending::Close, std::nullopt, false},
    {"chunks cut short", OkHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", Ending::Close, std::nullopt, false},
    {"not an HTTP response", "nonsense\r\n\r\n", Ending::KeepOpen, std::nullopt, false},
    {"closed before a byte", "", Ending::Close, std::nullopt, false},
    {"reset before a byte", "", Ending::Reset, std::nullopt, false},
    {"Connection: close", OkHead + "Connection: close\r\nContent-Length: 5\r\n\r\nhello", Ending::KeepOpen, "hello", false},
    {"Keep-Alive: timeout=0", OkHead + "Keep-Alive: timeout=0\r\nContent-Length: 5\r\n\r\nhello", Ending::KeepOpen, "hello", false},
    {"response of another call first",
     "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold" + OkHead + "Content-Length: 5\r\n\r\nhello",
     Ending::KeepOpen,
     "hello",
     true},
    {"duplicate response", OkHead + "Content-Length: 5\r\n\r\nhello" + OkHead + "Content-Length: 5\r\n\r\nhello", Ending::KeepOpen, "hello", false},
    {"bytes after the response", OkHead + "Content-Length: 5\r\n\r\nhellomore", Ending::KeepOpen, "hello", false},
    {"100 Continue first", "HTTP/1.1 100 Continue\r\n\r\n" + OkHead + "Content-Length: 5\r\n\r\nhello", Ending::KeepOpen, "hello", true},
    {"conflicting Content-Length headers", OkHead + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", Ending::KeepOpen, std::nullopt, false},
};
} // namespace

BOOST_AUTO_TEST_SUITE(httpconnectionpool)

BOOST_AUTO_TEST_CASE(OnlyCompleteResponsesAreDelivered)
{
    for (const ResponseCase &it : ResponseCases) {
        BOOST_TEST_CONTEXT(it.name)
        {
            PoolFixture pool;
            std::future<HttpResult> result = pool.send("1");
            const std::unique_ptr<RawConnection> server = pool.accept();
            server->readUntil("\r\n\r\n");
            server->write(it.bytes);
            if (it.ending == Ending::Close) {
                server->close();
            } else if (it.ending == Ending::Reset) {
                server->reset();
            }
            const HttpResult found = result.get();
            BOOST_CHECK_EQUAL(found.response.has_value(), it.body.has_value());
            BOOST_CHECK(found.runState == (it.body ? RunState::Ran : RunState::MayHaveRun));
            if (found.response && it.body) {
                BOOST_CHECK_EQUAL(found.response->body, *it.body);
            }
            std::future<HttpResult> next = pool.send("2");
            const std::string answer = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 4\r\n\r\nnext";
            if (it.isReused) {
                server->readUntil("\r\n\r\n");
                server->write(answer);
                BOOST_CHECK_EQUAL(next.get().response->body, "next");
            } else {
                const std::unique_ptr<RawConnection> other = pool.accept();
                other->readUntil("\r\n\r\n");
                other->write(answer);
                BOOST_CHECK_EQUAL(next.get().response->body, "next");
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(AResponseThatEndsAnywhereBeforeItsEndIsNotDelivered)
{
    for (const std::string &whole : {OkHead + "Content-Length: 3\r\n\r\nabc",
                                     OkHead + "Content-Length: 0\r\n\r\n",
                                     OkHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                                     "HTTP/1.1 100 Continue\r\n\r\n" + OkHead + "Content-Length: 0\r\n\r\n"}) {
        for (std::size_t n = 0; n < whole.size(); ++n) {
            BOOST_TEST_CONTEXT(whole.substr(0, n))
            {
                PoolFixture pool;
                std::future<HttpResult> result = pool.send("1");
                const std::unique_ptr<RawConnection> server = pool.accept();
                server->readUntil("\r\n\r\n");
                server->write(whole.substr(0, n));
                server->close();
                const HttpResult found = result.get();
                BOOST_CHECK(!found.response);
                BOOST_CHECK(found.runState == RunState::MayHaveRun);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(ALongResponseIsReadNoFasterThanItIsPassedOn)
{
    constexpr std::size_t Credit = std::size_t{128} * 1024;
    // More than the buffers of both sockets hold, so that the server can't write all of it at once.
    const std::string body(std::size_t{64} * 1024 * 1024, 'x');
    PoolFixture pool;
    const auto parts = std::make_shared<std::string>();
    std::future<HttpResult> result = pool.sendStreaming("1", parts, Credit);
    const std::unique_ptr<RawConnection> server = pool.accept();
    server->readUntil("\r\n\r\n");
    std::thread writer([&] { server->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body); });
    const auto received = [&] { return pool.run([&] { return parts->size(); }); };
    while (received() < Credit) {
        std::this_thread::sleep_for(1ms);
    }
    // One read may exceed the credit.
    constexpr std::size_t ReadBytes = std::size_t{32} * 1024;
    BOOST_CHECK_LE(received(), Credit + ReadBytes);
    pool.grant(body.size());
    const HttpResult found = result.get();
    writer.join();
    BOOST_REQUIRE(found.response);
    BOOST_CHECK(*parts + found.response->body == body);
}

BOOST_AUTO_TEST_CASE(ALongResponseThatBreaksOffFailsItsCall)
{
    PoolFixture pool;
    const auto parts = std::make_shared<std::string>();
    std::future<HttpResult> result = pool.sendStreaming("1", parts, StreamThresholdBytes * 4);
    const std::unique_ptr<RawConnection> server = pool.accept();
    server->readUntil("\r\n\r\n");
    server->write("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(StreamThresholdBytes, 'x'));
    server->close();
    const HttpResult found = result.get();
    BOOST_CHECK(!found.response);
    BOOST_CHECK(found.runState == RunState::MayHaveRun);
    BOOST_CHECK(found.reason == Reason::BodyIncomplete);
}

BOOST_AUTO_TEST_CASE(DuplicateResponseIsNotDeliveredToTheNextCall)
{
    PoolFixture pool;
    std::future<HttpResult> first = pool.send("1");
    const std::unique_ptr<RawConnection> server = pool.accept();
    server->readUntil("\r\n\r\n");
    server->write(OkHead + "Content-Length: 5\r\n\r\nhello");
    first.get();
    std::future<HttpResult> second = pool.send("2");
    server->readUntil("\r\n\r\n");
    server->write(OkHead + "Content-Length: 5\r\n\r\nhello" + "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 4\r\n\r\nnext");
    BOOST_CHECK_EQUAL(second.get().response->body, "next");
    BOOST_CHECK_EQUAL(pool.counts().unmatchedResponses, 1);
}

BOOST_AUTO_TEST_CASE(EarlyResponseToALargeRequestIsDeliveredAndItsConnectionClosed)
{
    PoolFixture pool;
    std::future<HttpResult> result = pool.send("1", std::string(std::size_t{32} * 1024 * 1024, 'x'));
    const std::unique_ptr<RawConnection> server = pool.accept();
    server->readUntil("\r\n\r\n");
    server->write(OkHead + "Content-Length: 5\r\n\r\nhello");
    BOOST_CHECK_EQUAL(result.get().response->body, "hello");
    // At most the rest of the request body follows before the connection is closed.
    BOOST_CHECK(server->readToEnd().find("GET") == std::string::npos);
}

// Failure: a server answers a long upload early, with a response that ends with the connection, and resets the connection while the upload is being written.
// The failed write takes the error off the socket, so that the next read ends as if the server had closed the connection in an orderly way.
BOOST_AUTO_TEST_CASE(AnEarlyResponseWithoutALengthThatIsResetIsNotComplete)
{
    for (const std::size_t bytes : {std::size_t{5}, StreamThresholdBytes * 2}) {
        PoolFixture pool;
        std::future<HttpResult> result = pool.send("1", std::string(std::size_t{32} * 1024 * 1024, 'x'));
        const std::unique_ptr<RawConnection> server = pool.accept();
        server->readUntil("\r\n\r\n");
        server->write(OkHead + "\r\n" + std::string(bytes, 'y'));
        // The response arrives before the reset.
        std::this_thread::sleep_for(50ms);
        server->reset();
        const HttpResult found = result.get();
        BOOST_CHECK(!found.response);
        BOOST_CHECK(found.runState == RunState::MayHaveRun);
        BOOST_CHECK(found.reason == Reason::BodyIncomplete);
    }
}

// Failure: a server in trouble sends a status that no final response has, which was taken for an interim response, or for one to be passed on.
BOOST_AUTO_TEST_CASE(AResponseWithAnInvalidStatusFailsItsCallAtOnce)
{
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        BOOST_TEST_CONTEXT(status)
        {
            PoolFixture pool;
            std::future<HttpResult> result = pool.send("1");
            const std::unique_ptr<RawConnection> server = pool.accept();
            server->readUntil("\r\n\r\n");
            server->write("HTTP/1.1 " + status + " Trouble\r\nId: 1\r\nContent-Length: 5\r\n\r\nhello");
            BOOST_REQUIRE(result.wait_for(5s) == std::future_status::ready);
            const HttpResult found = result.get();
            BOOST_CHECK(!found.response);
            BOOST_CHECK(found.runState == RunState::MayHaveRun);
            BOOST_CHECK(found.reason == Reason::BodyIncomplete);
        }
    }
}

// Failure: the body of such a response has no limit while its call takes the response in parts.
BOOST_AUTO_TEST_CASE(ALongResponseWithAnInvalidStatusIsNotKept)
{
    PoolFixture pool;
    const auto parts = std::make_shared<std::string>();
    std::future<HttpResult> result = pool.sendStreaming("1", parts, StreamThresholdBytes * 4);
    const std::unique_ptr<RawConnection> server = pool.accept();
    server->readUntil("\r\n\r\n");
    try {
        server->write("HTTP/1.1 000 Trouble\r\nContent-Length: 1000000\r\n\r\n" + std::string(StreamThresholdBytes, 'x'));
    } catch (const std::system_error &) {
        // The connection may be closed as soon as the status has arrived, while the body is still being written.
    }
    BOOST_REQUIRE(result.wait_for(5s) == std::future_status::ready);
    BOOST_CHECK(result.get().reason == Reason::BodyIncomplete);
    BOOST_CHECK_EQUAL(*parts, "");
}

BOOST_AUTO_TEST_CASE(CancellingACallClosesItsConnection)
{
    PoolFixture pool;
    std::future<HttpResult> result = pool.send("1");
    const std::unique_ptr<RawConnection> server = pool.accept();
    server->readUntil("\r\n\r\n");
    pool.cancelLast();
    BOOST_CHECK_EQUAL(server->readToEnd(), "");
}

BOOST_AUTO_TEST_CASE(CallWithoutAResponseFailsAtItsTimeLimit)
{
    PoolFixture pool;
    std::future<HttpResult> result = pool.send("1", {}, 20ms);
    const std::unique_ptr<RawConnection> server = pool.accept();
    const HttpResult found = result.get();
    BOOST_CHECK(!found.response);
    BOOST_CHECK(found.reason == Reason::DeadlineExpired);
}

BOOST_AUTO_TEST_CASE(CallIsReportedAsNotRunIfTheConnectionFails)
{
    IoContextThread rig;
    std::promise<HttpResult> promise;
    std::unique_ptr<HttpConnectionPool> pool;
    rig.run([&] {
        pool = std::make_unique<HttpConnectionPool>(rig.context, HttpConnectionPoolSettings{.server = freeLoopback(), .response = {}});
        pool->send({.request = {.method = "GET", .target = "/", .headers = {}, .body = {}}, .timeLimit = HangTimeout},
                   [&](HttpResult it) { promise.set_value(std::move(it)); });
    });
    const HttpResult found = promise.get_future().get();
    BOOST_CHECK(found.runState == RunState::NotRun);
    BOOST_CHECK(found.reason == Reason::ConnectionLost);
    rig.run([&] { pool.reset(); });
}

BOOST_AUTO_TEST_CASE(AResponseThatKeepsArrivingIsNotCutAtTheTimeLimit)
{
    constexpr int Parts = 100;
    PoolFixture rig;
    std::future<HttpResult> result = rig.send("1", {}, 500ms, HangTimeout);
    const std::unique_ptr<RawConnection> server = rig.accept();
    server->readUntil("\r\n\r\n");
    server->write(OkHead + "Content-Length: " + std::to_string(Parts) + "\r\n\r\n");
    for (int n = 0; n < Parts; ++n) {
        std::this_thread::sleep_for(10ms);
        server->write("x");
    }
    const HttpResult found = result.get();
    BOOST_REQUIRE(found.response);
    BOOST_CHECK_EQUAL(found.response->body, std::string(Parts, 'x'));
}

BOOST_AUTO_TEST_CASE(AResponseThatStopsArrivingIsCutAfterTheStallLimit)
{
    PoolFixture rig;
    std::future<HttpResult> result = rig.send("1", {}, 100ms, 50ms);
    const std::unique_ptr<RawConnection> server = rig.accept();
    server->readUntil("\r\n\r\n");
    server->write(OkHead + "Content-Length: 9\r\n\r\nhello");
    const HttpResult found = result.get();
    BOOST_CHECK(!found.response);
    BOOST_CHECK(found.reason == Reason::DeadlineExpired);
}

// A repeat has the id of the call that it repeats.
BOOST_AUTO_TEST_CASE(ARefusalWrittenTwiceDoesNotAnswerTheRepeatedCall)
{
    PoolFixture pool;
    const std::string refusal = "HTTP/1.1 503 Full\r\nId: 1\r\nContent-Length: 0\r\n\r\n";
    std::future<HttpResult> first = pool.send("1");
    const std::unique_ptr<RawConnection> server = pool.accept();
    server->readUntil("\r\n\r\n");
    server->write(refusal);
    BOOST_CHECK_EQUAL(first.get().response->status, 503);
    std::future<HttpResult> repeated = pool.send("1");
    const std::unique_ptr<RawConnection> other = pool.accept();
    other->readUntil("\r\n\r\n");
    server->write(refusal);
    other->write(OkHead + "Content-Length: 5\r\n\r\nhello");
    BOOST_CHECK_EQUAL(repeated.get().response->body, "hello");
}

BOOST_AUTO_TEST_CASE(AResponseThatNamesNoCallIsNotTrustedOnAKeptConnection)
{
    PoolFixture pool;
    const std::string refusal = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n";
    std::future<HttpResult> first = pool.send("1");
    const std::unique_ptr<RawConnection> server = pool.accept();
    server->readUntil("\r\n\r\n");
    server->write(refusal);
    BOOST_CHECK_EQUAL(first.get().response->status, 421);
    std::future<HttpResult> second = pool.send("2");
    server->readUntil("\r\n\r\n");
    server->write(refusal);
    const HttpResult found = second.get();
    BOOST_CHECK(!found.response);
    BOOST_CHECK(found.runState == RunState::MayHaveRun);
}

BOOST_AUTO_TEST_CASE(BytesWithoutEndEndTheCall)
{
    const std::vector<std::pair<std::string, std::string>> cases{
        {"HTTP/1.1 200 OK\r\nId: 1\r\n", "X-Filler: more\r\n"},
        {"HTTP/1.1 200 OK\r\nId: 1\r\nX-Filler: ", "more"},
        {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", std::string(1'000, 'x')},
        {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
        {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;", "filler"},
        {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: more\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n"},
        {"", "nonsense"},
    };
    for (const auto &[begin, repeated] : cases) {
        BOOST_TEST_CONTEXT(begin + repeated)
        {
            PoolFixture pool;
            std::future<HttpResult> result = pool.send("1");
            const std::unique_ptr<RawConnection> server = pool.accept();
            server->readUntil("\r\n\r\n");
            const auto flood = std::async(std::launch::async, [&, bytes = begin, part = repeated] {
                std::string block;
                while (block.size() < 65'536) {
                    block += part;
                }
                try {
                    server->write(bytes);
                    while (true) {
                        server->write(block);
                    }
                } catch (const std::system_error &) {
                    // The pool has closed the connection.
                }
            });
            const HttpResult found = result.get();
            BOOST_CHECK(!found.response);
            BOOST_CHECK(found.runState == RunState::MayHaveRun);
            BOOST_CHECK(found.reason == Reason::BodyIncomplete);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include "edge/edgeserver.h"
#include "edge/test/iocontextthread.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <vector>

using namespace banyankeel;
using namespace banyankeel::testing;

namespace
{
/// A server that echoes request bodies. Requests for "/wait" stay open until the test responds.
class EdgeServerFixture
{
public:
    EdgeServerFixture()
        : endpoint(freeLoopback())
    {
        m_ioThread.run([this] {
            m_server = std::make_unique<EdgeServer>(
                m_ioThread.context, EdgeServerSettings{.listen = endpoint}, [this](HttpRequest request, const HttpResponder &respond) {
                    if (request.target == "/wait") {
                        respond.whenClientLeaves([this] { m_disconnected.set_value(); });
                        m_responder.set_value(respond);
                        return;
                    }
                    respond({.status = 200, .headers = {{"Seen", request.method}}, .body = std::move(request.body)});
                });
            EdgeLimits limits;
            limits.message = {.headerBytes = 1000, .bodyBytes = 2000};
            m_server->setLimits(limits);
            m_server->start();
        });
    }
    ~EdgeServerFixture()
    {
        m_ioThread.run([this] { m_server.reset(); });
    }

    std::string exchange(const std::string &bytes)
    {
        RawConnection connection(endpoint);
        connection.write(bytes);
        return connection.readToEnd();
    }
    HttpResponder takeResponder()
    {
        return m_responder.get_future().get();
    }
    void waitForDisconnect()
    {
        m_disconnected.get_future().wait();
    }
    template<typename Function>
    void runOnServer(Function function)
    {
        m_ioThread.run([&] { function(*m_server); });
    }

    Endpoint endpoint;

private:
    IoContextThread m_ioThread;
    std::promise<HttpResponder> m_responder;
    std::promise<void> m_disconnected;
    std::unique_ptr<EdgeServer> m_server;
};

struct RequestCase {
    std::string name;
    std::string bytes;
    /// The expected status codes, in order, until the connection is closed.
    std::vector<std::string> statuses;
    std::string body;
};

std::vector<std::string> statusesIn(const std::string &answers)
{
    std::vector<std::string> found;
    for (std::size_t at = answers.find("HTTP/1.1 "); at != std::string::npos; at = answers.find("HTTP/1.1 ", at + 1)) {
        found.push_back(answers.substr(at + 9, 3));
    }
    return found;
}

const std::string FinalHeaders = "Host: a\r\nConnection: close\r\n";

const std::vector<RequestCase> RequestCases{
    {"sized body", "POST /a HTTP/1.1\r\n" + FinalHeaders + "Content-Length: 5\r\n\r\nhello", {"200"}, "hello"},
    {"chunked body", "POST /a HTTP/1.1\r\n" + FinalHeaders + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", {"200"}, "hello"},
    {"chunked body with trailer",
     "POST /a HTTP/1.1\r\n" + FinalHeaders + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: y\r\n\r\n",
     {"200"},
     "hello"},
    {"missing Host header", "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n", {"400"}, ""},
    {"Content-Length and chunked", "POST /a HTTP/1.1\r\n" + FinalHeaders + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", {"400"}, ""},
    {"conflicting Content-Length headers", "POST /a HTTP/1.1\r\n" + FinalHeaders + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello", {"400"}, ""},
    {"negative length", "POST /a HTTP/1.1\r\n" + FinalHeaders + "Content-Length: -5\r\n\r\nhello", {"400"}, ""},
    {"malformed chunk size", "POST /a HTTP/1.1\r\n" + FinalHeaders + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", {"400"}, ""},
    {"not an HTTP request", "what is this\r\n\r\n", {"400"}, ""},
    {"header too long", "GET /a HTTP/1.1\r\n" + FinalHeaders + "X: " + std::string(2000, 'x') + "\r\n\r\n", {"431"}, ""},
    {"header too long without end", "GET /a HTTP/1.1\r\n" + FinalHeaders + "X: " + std::string(2000, 'x'), {"431"}, ""},
    {"body too long", "POST /a HTTP/1.1\r\n" + FinalHeaders + "Content-Length: 3000\r\n\r\n", {"413"}, ""},
    {"chunks too long",
     "POST /a HTTP/1.1\r\n" + FinalHeaders + "Transfer-Encoding: chunked\r\n\r\nBB8\r\n" + std::string(3000, 'x') + "\r\n0\r\n\r\n",
     {"413"},
     ""},
    {"pipelined requests", "GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\n" + FinalHeaders + "\r\n", {"200", "200"}, ""},
    {"malformed bytes after a request", "GET /a HTTP/1.1\r\nHost: a\r\n\r\nnonsense\r\n\r\n", {"200", "400"}, ""},
    {"smuggled request in a body",
     "POST /a HTTP/1.1\r\n" + FinalHeaders + "Content-Length: 29\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n\r",
     {"200"},
     "GET /b HTTP/1.1\r\nHost: a\r\n\r\n\r"},
    {"HTTP/1.0", "GET /a HTTP/1.0\r\nHost: a\r\n\r\n", {"200"}, ""},
    {"Expect: 100-continue", "POST /a HTTP/1.1\r\n" + FinalHeaders + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n", {"100"}, ""},
};
} // namespace

BOOST_AUTO_TEST_SUITE(edgeserver)

BOOST_AUTO_TEST_CASE(RequestsAreAcceptedOrRejectedAccordingToTheirBytes)
{
    for (const RequestCase &it : RequestCases) {
        if (it.statuses.front() == "100") {
            continue;
        }
        BOOST_TEST_CONTEXT(it.name)
        {
            EdgeServerFixture server;
            const std::string answers = server.exchange(it.bytes);
            const std::vector<std::string> statuses = statusesIn(it.body.empty() ? answers : answers.substr(0, answers.find("\r\n\r\n")));
            BOOST_CHECK_EQUAL_COLLECTIONS(statuses.begin(), statuses.end(), it.statuses.begin(), it.statuses.end());
            BOOST_CHECK_EQUAL(answers.substr(answers.rfind("\r\n\r\n", answers.size() - it.body.size()) + 4), it.body);
        }
    }
}

BOOST_AUTO_TEST_CASE(ExpectContinueIsAnsweredWith100Continue)
{
    EdgeServerFixture server;
    RawConnection connection(server.endpoint);
    connection.write(RequestCases.back().bytes);
    BOOST_CHECK_EQUAL(connection.readUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
    connection.write("hello");
    BOOST_CHECK(connection.readToEnd().ends_with("\r\n\r\nhello"));
}

BOOST_AUTO_TEST_CASE(ClientDisconnectIsReportedWhileItsRequestIsHandled)
{
    EdgeServerFixture server;
    RawConnection connection(server.endpoint);
    connection.write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
    server.takeResponder();
    connection.close();
    server.waitForDisconnect();
}

BOOST_AUTO_TEST_CASE(OnlyTheFirstResponseIsSent)
{
    EdgeServerFixture server;
    RawConnection connection(server.endpoint);
    connection.write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
    const HttpResponder respond = server.takeResponder();
    server.runOnServer([&](EdgeServer &) {
        respond({.status = 200, .headers = {}, .body = "first"});
        respond({.status = 500, .headers = {}, .body = "second"});
    });
    connection.write("GET /b HTTP/1.1\r\n" + FinalHeaders + "\r\n");
    const std::vector<std::string> statuses = statusesIn(connection.readToEnd());
    BOOST_CHECK((statuses == std::vector<std::string>{"200", "200"}));
}

BOOST_AUTO_TEST_CASE(DrainingServerClosesTheConnectionAfterTheResponse)
{
    EdgeServerFixture server;
    server.runOnServer([](EdgeServer &it) { it.startDraining(); });
    const std::string answers = server.exchange("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_CHECK(answers.find("Connection: close") != std::string::npos);
    BOOST_CHECK((statusesIn(answers) == std::vector<std::string>{"200"}));
}

BOOST_AUTO_TEST_CASE(ABodyInPartsIsFramedByItsLengthOrInChunks)
{
    for (const std::optional<std::uint64_t> length : {std::optional<std::uint64_t>(6), std::optional<std::uint64_t>()}) {
        EdgeServerFixture server;
        RawConnection connection(server.endpoint);
        connection.write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
        const HttpResponder respond = server.takeResponder();
        server.runOnServer([&](EdgeServer &) {
            const ResponseBody body = respond.begin({.status = 200, .headers = {}, .body = {}}, length, {});
            body.write("abc");
            body.write("def");
            body.finish();
        });
        connection.write("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\nnext");
        const std::string answers = connection.readToEnd();
        BOOST_CHECK(answers.find(length ? "Content-Length: 6\r\n\r\nabcdefHTTP/1.1 200" : "chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\nHTTP/1.1 200")
                    != std::string::npos);
        BOOST_CHECK(answers.ends_with("next"));
    }
}

BOOST_AUTO_TEST_CASE(ABodyThatBreaksOffDoesNotLookWhole)
{
    for (const std::string version : {"1.1", "1.0"}) {
        EdgeServerFixture server;
        RawConnection connection(server.endpoint);
        connection.write("GET /wait HTTP/" + version + "\r\nHost: a\r\n\r\n");
        const HttpResponder respond = server.takeResponder();
        server.runOnServer([&](EdgeServer &) {
            const ResponseBody body = respond.begin({.status = 200, .headers = {}, .body = {}}, std::nullopt, {});
            body.write("abc");
            body.abort();
        });
        BOOST_CHECK(connection.endsWithReset());
    }
}

BOOST_AUTO_TEST_CASE(AClientThatLeavesInTheMiddleOfABodyIsReported)
{
    EdgeServerFixture server;
    RawConnection connection(server.endpoint);
    connection.write("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
    const HttpResponder respond = server.takeResponder();
    std::promise<void> left;
    server.runOnServer([&](EdgeServer &) {
        const ResponseBody body =
            respond.begin({.status = 200, .headers = {}, .body = {}}, 1'000'000, {.drained = nullptr, .clientLeft = [&] { left.set_value(); }});
        body.write("abc");
    });
    connection.readUntil("abc");
    connection.close();
    left.get_future().wait();
}

BOOST_AUTO_TEST_SUITE_END()

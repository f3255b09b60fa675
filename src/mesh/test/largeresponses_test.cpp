#include "mesh/test/meshfleet.h"
#include "mesh/test/meshrequests.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
// Longer than all buffers on its way together.
constexpr std::size_t LargeBytes = std::size_t{48} * 1024 * 1024;

HttpResponse headOf(const SeenRequest &seen)
{
    HttpResponse head = signedResponse(seen, 200);
    head.body.clear();
    return head;
}

/// Node 0 passes on what the target of node 1 responds.
class LargeResponseFixture
{
public:
    LargeResponseFixture()
        : fleet({"alpha", "beta"})
    {
        publishRoutes(fleet);
        fleet.sendHeartbeat(1);
        fleet.requestUntil(0, getRequest("/b/1", "r0"), "200");
    }

    /// Large responses for "/b/large", small ones for all other requests.
    void respondLarge()
    {
        fleet.setTargetHandler([](const SeenRequest &seen, const HttpResponder &respond) {
            HttpResponse response = signedResponse(seen, 200);
            if (seen.request.target == "/b/large") {
                response.body = std::string(LargeBytes, 'x');
            }
            respond(std::move(response));
        });
    }

    MeshFleet fleet;
};
} // namespace

BOOST_AUTO_TEST_SUITE(largeresponses)

BOOST_AUTO_TEST_CASE(ALargeResponseArrivesWhole)
{
    LargeResponseFixture it;
    it.respondLarge();
    const std::string answer = it.fleet.request(0, getRequest("/b/large", "r1"));
    BOOST_CHECK(answer.starts_with("HTTP/1.1 200"));
    BOOST_CHECK(answer.find("Content-Length: " + std::to_string(LargeBytes)) != std::string::npos);
    BOOST_CHECK(answer.ends_with(std::string(LargeBytes, 'x')));
}

BOOST_AUTO_TEST_CASE(ALargeResponseWithoutALengthArrivesWhole)
{
    LargeResponseFixture it;
    it.fleet.setTargetHandler([](const SeenRequest &seen, const HttpResponder &respond) {
        const ResponseBody body = respond.begin(headOf(seen), std::nullopt, {});
        body.write(std::string(LargeBytes, 'x'));
        body.finish();
    });
    const std::string answer = it.fleet.request(0, getRequest("/b/large", "r1"));
    BOOST_CHECK(answer.starts_with("HTTP/1.1 200"));
    BOOST_CHECK(answer.find("Transfer-Encoding: chunked") != std::string::npos);
    BOOST_CHECK(answer.ends_with("\r\n0\r\n\r\n"));
    BOOST_CHECK_EQUAL(std::ranges::count(answer.substr(answer.find("\r\n\r\n")), 'x'), LargeBytes);
}

BOOST_AUTO_TEST_CASE(AReaderThatReadsNothingFillsNoMemoryAndHoldsNobodyUp)
{
    LargeResponseFixture it;
    it.respondLarge();
    RawConnection slow(it.fleet.callerEndpoint(0));
    slow.write(getRequest("/b/large", "slow") + "\r\n");
    slow.readUntil("\r\n\r\n");
    for (int n = 0; n < 20; ++n) {
        BOOST_CHECK(it.fleet.request(0, getRequest("/b/1", "r" + std::to_string(n))).starts_with("HTTP/1.1 200"));
    }
    constexpr double MaxHeldBytes = 512 * 1024;
    BOOST_CHECK_LE(it.fleet.metric(0, "banyankeel_caller_buffered_bytes"), MaxHeldBytes);
}

BOOST_AUTO_TEST_CASE(AReaderThatLeavesEndsTheWorkAtTheTarget)
{
    LargeResponseFixture it;
    const auto left = std::make_shared<std::promise<void>>();
    const auto body = std::make_shared<ResponseBody>();
    it.fleet.setTargetHandler([left, body](const SeenRequest &seen, const HttpResponder &respond) {
        *body = respond.begin(
            headOf(seen), LargeBytes, {.drained = [body](std::size_t n) { body->write(std::string(n, 'x')); }, .clientLeft = [left] { left->set_value(); }});
        body->write(std::string(std::size_t{256} * 1024, 'x'));
    });
    RawConnection reader(it.fleet.callerEndpoint(0));
    reader.write(getRequest("/b/large", "r1") + "\r\n");
    reader.readUntil("xxxx");
    reader.close();
    left->get_future().wait();
    it.fleet.setTargetHandler(nullptr);
}

BOOST_AUTO_TEST_CASE(AResponseThatBreaksOffDoesNotLookWhole)
{
    for (const bool hasLength : {true, false}) {
        LargeResponseFixture it;
        it.fleet.setTargetHandler([hasLength](const SeenRequest &seen, const HttpResponder &respond) {
            const ResponseBody body = respond.begin(headOf(seen), hasLength ? std::optional<std::uint64_t>(LargeBytes) : std::nullopt, {});
            body.write(std::string(LargeBytes / 2, 'x'));
            body.abort();
        });
        const std::string answer = it.fleet.request(0, getRequest("/b/large", "r1"));
        const bool isWhole = answer.ends_with("\r\n0\r\n\r\n") || answer.size() >= LargeBytes;
        BOOST_CHECK(!isWhole);
    }
}

BOOST_AUTO_TEST_CASE(ALargeResponseOfALostNodeDoesNotLookWhole)
{
    LargeResponseFixture it;
    it.respondLarge();
    RawConnection reader(it.fleet.callerEndpoint(0));
    reader.write(getRequest("/b/large", "r1") + "Connection: close\r\n\r\n");
    reader.readUntil("xxxx");
    it.fleet.kill(1);
    BOOST_CHECK_LT(reader.readToEnd().size(), LargeBytes);
}

BOOST_AUTO_TEST_SUITE_END()

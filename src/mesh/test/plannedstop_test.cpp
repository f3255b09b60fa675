#include "mesh/test/meshfleet.h"
#include "mesh/test/meshrequests.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
// The shortest time in which callers learn of a stop, and some more.
constexpr Duration GracePeriod = 4s;

/// Nodes 0 and 1 with targets, and a short grace period.
class StopFixture
{
public:
    StopFixture()
        : fleet({"alpha", "beta"})
    {
        fleet.setGracePeriod(GracePeriod);
        fleet.restart(0);
        fleet.restart(1);
        publishRoutes(fleet);
        fleet.sendHeartbeat(0);
        fleet.sendHeartbeat(1);
        fleet.requestUntil(0, getRequest("/b/1", "r0"), "200");
        fleet.requestUntil(1, getRequest("/a/1", "r0"), "200");
    }
    void holdAnswers()
    {
        fleet.setTargetHandler([](const SeenRequest &, const HttpResponder &) {});
    }

    MeshFleet fleet;
};
} // namespace

BOOST_AUTO_TEST_SUITE(plannedstop)

BOOST_AUTO_TEST_CASE(WhatIsUnderWayWhenTheGraceEndsIsAnswered)
{
    StopFixture it;
    it.holdAnswers();
    const std::size_t before = it.fleet.seenRequests().size();
    RawConnection remote(it.fleet.callerEndpoint(0));
    remote.write(getRequest("/orders/1", "remote") + "\r\n");
    RawConnection local(it.fleet.callerEndpoint(0));
    local.write(getRequest("/a/1", "local") + "\r\n");
    it.fleet.waitUntilSeen(before + 2);
    std::future<void> stopped = it.fleet.stop(0);
    // It may have run, so that nothing else may be said of it.
    BOOST_CHECK(remote.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
    BOOST_CHECK(local.readUntil("\r\n\r\n").starts_with("HTTP/1.1 502"));
    stopped.get();
}

BOOST_AUTO_TEST_CASE(ALargeResponseUnderWayWhenTheGraceEndsDoesNotLookWhole)
{
    static constexpr std::size_t Bytes = 1'000'000;
    StopFixture it;
    const auto body = std::make_shared<ResponseBody>();
    it.fleet.setTargetHandler([body](const SeenRequest &seen, const HttpResponder &respond) {
        HttpResponse head = signedResponse(seen, 200);
        head.body.clear();
        *body = respond.begin(std::move(head), Bytes, {});
        body->write(std::string(Bytes / 2, 'x'));
    });
    RawConnection reader(it.fleet.callerEndpoint(0));
    reader.write(getRequest("/b/1", "r1") + "\r\n");
    reader.readUntil("xxxx");
    std::future<void> stopped = it.fleet.stop(0);
    BOOST_CHECK_LT(reader.readToEnd().size(), Bytes);
    stopped.get();
    it.fleet.setTargetHandler(nullptr);
}

BOOST_AUTO_TEST_CASE(ARequestThatComesLateInTheGraceIsTakenOnlyIfItEndsBeforeIt)
{
    StopFixture it;
    it.holdAnswers();
    RawConnection kept(it.fleet.callerEndpoint(0));
    const std::size_t before = it.fleet.seenRequests().size();
    // Keeps the process busy until the end.
    RawConnection busy(it.fleet.callerEndpoint(0));
    busy.write(getRequest("/b/1", "busy", "20000") + "\r\n");
    it.fleet.waitUntilSeen(before + 1);
    std::future<void> stopped = it.fleet.stop(0);
    std::this_thread::sleep_for(GracePeriod - 900ms);
    const std::string late = it.fleet.request(0, getRequest("/orders/1", "late"));
    BOOST_CHECK(late.starts_with("HTTP/1.1 503"));
    BOOST_CHECK(late.find("Retry-After") != std::string::npos);
    stopped.get();
    BOOST_CHECK_EQUAL(countOf(it.fleet.seenRequests(), "late"), 0);
}

BOOST_AUTO_TEST_CASE(RequestsAcceptedWhileTheNodeStopsUnderLoadAreAllAnswered)
{
    StopFixture it;
    std::atomic<bool> isStopped = false;
    std::atomic<int> sent = 0;
    std::atomic<int> answered = 0;
    constexpr int Callers = 8;
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    for (int n = 0; n < Callers; ++n) {
        callers.emplace_back([&, n] {
            for (int k = 0; !isStopped; ++k) {
                try {
                    RawConnection connection(it.fleet.callerEndpoint(0));
                    const std::string id = std::to_string(n) + "-" + std::to_string(k);
                    connection.write(getRequest(k % 2 == 0 ? "/b/1" : "/a/1", id) + "Connection: close\r\n\r\n");
                    const std::string answer = connection.readToEnd();
                    // A request that was run is answered; one that was not read at all may be sent again.
                    const bool hasRun = countOf(it.fleet.seenRequests(), id) > 0;
                    sent += hasRun ? 1 : 0;
                    answered += hasRun && answer.ends_with(k % 2 == 0 ? "target-1" : "target-0") ? 1 : 0;
                } catch (const std::system_error &) {
                    // Refused: the node no longer listens.
                    std::this_thread::sleep_for(1ms);
                }
            }
        });
    }
    it.fleet.stop(0).get();
    isStopped = true;
    for (std::thread &thread : callers) {
        thread.join();
    }
    BOOST_CHECK_GT(sent.load(), 0);
    BOOST_CHECK_EQUAL(sent.load(), answered.load());
}

BOOST_AUTO_TEST_SUITE_END()

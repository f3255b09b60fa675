#include "mesh/test/meshfleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
std::string getRequest(const std::string &id, const std::string &remaining = "300")
{
    return "GET /a/1 HTTP/1.1\r\nRequest: " + id + "\r\nHost: hr.example\r\nRemaining: " + remaining + "\r\n";
}

/// A fleet whose target of node 0 has served node 1 and adds a header to its answers from then on.
class NoticeFixture
{
public:
    explicit NoticeFixture(HttpHeader notice)
        : m_fleet({"alpha", "beta"})
        , m_notice(std::move(notice))
    {
        m_fleet.publish([](MeshObjects &it) {
            it.routes = {{RouteName("a"), "hr.example", "/a/", Repeatability::Idempotent, 5s, 1s, PriorityLevel{1}, {{ServiceName("alpha"), 1}}, 2, true}};
        });
        m_fleet.sendHeartbeat(0);
        m_fleet.requestUntil(1, getRequest("r0"), "200");
        m_fleet.setTargetHandler([this](const SeenRequest &seen, const HttpResponder &respond) {
            HttpResponse answer{.status = 200,
                                .headers = {{"Request", std::string(findHeader(seen.request.headers, "Request").value_or(""))}, {"Signature", "s"}},
                                .body = seen.target};
            if (m_hasNotice) {
                answer.headers.push_back(m_notice);
            }
            respond(std::move(answer));
        });
    }

    std::size_t arrivals()
    {
        return m_fleet.seenRequests().size();
    }
    /// Sends requests one after the other for @p time. Returns how many reached the target.
    std::size_t arrivalsDuring(Duration time)
    {
        const std::size_t before = arrivals();
        const auto end = std::chrono::steady_clock::now() + time;
        for (int n = 0; std::chrono::steady_clock::now() < end; ++n) {
            m_fleet.request(1, getRequest("n" + std::to_string(n)));
        }
        return arrivals() - before;
    }
    /// From now on the target takes requests and does not answer them.
    void holdAnswers()
    {
        m_fleet.setTargetHandler([](const SeenRequest &, const HttpResponder &) {});
    }

    MeshFleet m_fleet;
    const HttpHeader m_notice;
    std::atomic<bool> m_hasNotice = true;
};

constexpr double LimitPerSecond = 2;
/// What the target may get within @p time: its limit, half of that again, and a few requests.
double allowedArrivals(Duration time)
{
    return 1.5 * LimitPerSecond * std::chrono::duration<double>(time).count() + 5;
}
} // namespace

BOOST_AUTO_TEST_SUITE(targetnotices)

BOOST_AUTO_TEST_CASE(ATargetGetsNoMoreRequestsThanTheLimitThatItNames)
{
    NoticeFixture rig({"Rate-Limit", "2.0"});
    rig.m_fleet.requestUntil(1, getRequest("r1"), "200");
    BOOST_CHECK_LE(static_cast<double>(rig.arrivalsDuring(2s)), allowedArrivals(2s));
}

BOOST_AUTO_TEST_CASE(ATargetThatNoLongerNamesALimitGetsAllRequests)
{
    NoticeFixture rig({"Rate-Limit", "2.0"});
    rig.m_fleet.requestUntil(1, getRequest("r1"), "200");
    rig.m_hasNotice = false;
    const auto deadline = std::chrono::steady_clock::now() + 20s;
    bool isLifted = false;
    while (!isLifted && std::chrono::steady_clock::now() < deadline) {
        isLifted = static_cast<double>(rig.arrivalsDuring(1s)) > allowedArrivals(1s);
    }
    BOOST_CHECK(isLifted);
}

BOOST_AUTO_TEST_CASE(ANamedLimitHoldsFromTheFirstRequestAfterARestartOfTheNodeThatHeardIt)
{
    constexpr int Requests = 12;
    for (const bool isStoreAvailable : {true, false}) {
        NoticeFixture rig({"Rate-Limit", "2.0"});
        rig.m_fleet.requestUntil(1, getRequest("r1"), "200");
        rig.m_fleet.run([&] { rig.m_fleet.store().setUnavailable("node-0", !isStoreAvailable); });
        rig.holdAnswers();
        rig.m_fleet.restart(0);
        rig.m_fleet.sendHeartbeat(0);
        rig.m_fleet.waitUntilConnected();
        const std::size_t before = rig.arrivals();
        std::vector<std::unique_ptr<RawConnection>> callers;
        const auto began = std::chrono::steady_clock::now();
        for (int n = 0; n < Requests; ++n) {
            callers.push_back(std::make_unique<RawConnection>(rig.m_fleet.callerEndpoint(1)));
            callers.back()->write(getRequest("c" + std::to_string(n), "1000") + "\r\n");
        }
        for (const auto &it : callers) {
            it->readUntil("\r\n\r\n");
        }
        const double elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        BOOST_TEST_INFO("store available: " << isStoreAvailable);
        BOOST_CHECK_LE(static_cast<double>(rig.arrivals() - before), 2 + LimitPerSecond * elapsed);
    }
}

BOOST_AUTO_TEST_CASE(ATargetThatSaysThatItLeavesGetsNoFurtherRequests)
{
    NoticeFixture rig({"Leaving", "1"});
    rig.m_fleet.requestUntil(1, getRequest("r1"), "200");
    BOOST_CHECK_EQUAL(rig.arrivalsDuring(200ms), 0);
}

BOOST_AUTO_TEST_CASE(ALeavingNamedInAnAnswerSurvivesTheNodeThatHeardIt)
{
    for (const bool isStoreAvailable : {true, false}) {
        NoticeFixture rig({"Leaving", "1"});
        rig.m_fleet.run([&] { rig.m_fleet.store().setUnavailable("node-0", !isStoreAvailable); });
        rig.m_fleet.requestUntil(1, getRequest("r1"), "200");
        rig.m_fleet.restart(0);
        rig.m_fleet.sendHeartbeat(0);
        rig.m_fleet.waitUntilConnected();
        BOOST_TEST_INFO("store available: " << isStoreAvailable);
        BOOST_CHECK_EQUAL(rig.arrivalsDuring(500ms), 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include "mesh/meshentry.h"

#include "coordination/common/random.h"
#include "coordination/common/roothash.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <set>
#include <string>
#include <utility>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
const TimePoint StartTime{1'000s};
const ServiceName Dispatch("dispatch");
const ServiceName Monitor("monitor");
const Place LocalPlace{RegionName("north"), FailureDomainName("north-a")};
constexpr std::uint16_t MaxAttempts = 2;

HeaderDialect headers()
{
    return {
        .requestId = "Id",
        .remainingTime = "Time-Left",
        .authorization = "Authorization",
        .authorizationScheme = "Token ",
        .organisation = "Organisation",
        .callerService = "Caller",
        .expectedTarget = "Expected",
        .targetName = "Target",
        .targetSignature = "Signature",
        .notRun = "Not-Run",
        .retryAfter = "Retry-After",
    };
}

MeshRoute routeOf(const std::string &name, const ServiceName &service, bool isAnonymous)
{
    return {
        .name = RouteName(name),
        .host = "h",
        .pathPrefix = "/" + name + "/",
        .repeatability = Repeatability::Idempotent,
        .timeLimit = 5s,
        .targetLatency = 1s,
        .priority = PriorityLevel{2},
        .services = {{service, 1}},
        .maxAttempts = MaxAttempts,
        .isAnonymous = isAnonymous,
    };
}

/// An entry on a simulated clock. Three other nodes have targets, whose answers the test supplies.
class EntryRig
{
public:
    EntryRig()
        : m_rateLimiter({.window = 5s, .overshoot = 0.1, .slack = 20})
        , m_router({.ownNode = NodeId("self"), .place = LocalPlace, .placement = Placement::ShortestTime}, seededRandom(5), StartTime)
        , m_meter(Dispatch)
        , m_admission({.retryRatio = 0.2})
        , m_entry({.service = Dispatch, .self = Endpoint("127.0.0.1", 1), .retryRatio = 0.2, .retrySlack = 100, .retryWindow = 10s},
                  headers(),
                  {
                      .now = [this] { return now; },
                      .configuration = [this] { return m_configuration; },
                      .send =
                          [this](const Endpoint &to, const Envelope &message) {
                              if (message.type == MessageType::CallRequest) {
                                  sent.emplace_back(to, CallRequest::decode(message));
                              }
                              return true;
                          },
                      .runLocally = [](const CallRequest &) {},
                      .cancelLocally = [](AttemptId) {},
                      .creditLocally = [](const CallBodyCredit &) {},
                      .scheduleExpiry = [](TimePoint) {},
                      .nodeCount = [this] { return nodeCount; },
                      .mayHavePredecessor = [this] { return mayHavePredecessor; },
                      .ended = [](const EntryOutcome &) {},
                      .retryShare = [] { return 0.0; },
                      .findParentRequest = [this](std::string_view id) { return caller && id.starts_with("parent.") ? &*caller : nullptr; },
                      .isQuarantined = [](const RequestFingerprint &) { return false; },
                      .crashesOf = [](const RequestFingerprint &) { return std::uint16_t{0}; },
                  },
                  {m_router, m_rateLimiter, m_meter, m_admission})
    {
        MeshObjects objects{.version = ConfigurationVersion{1},
                            .routes = {routeOf("status", Monitor, false), routeOf("telemetry", Monitor, true), routeOf("order", Monitor, true)},
                            .services = {{Dispatch, "/", 10}, {Monitor, "/", 10}},
                            .organisations = {{OrganisationId("amsel"), {"key"}, std::nullopt, 0, 0}},
                            .limits = {}};
        objects.routes.back().repeatability = Repeatability::AtMostOnce;
        m_admission.configure(objects);
        m_configuration = std::make_shared<const MeshConfiguration>(std::move(objects));
        for (std::uint16_t n = 1; n <= 3; ++n) {
            const Peer peer{NodeId("node-" + std::to_string(n)), Incarnation{1}, LocalPlace, Endpoint("127.0.0.1", static_cast<std::uint16_t>(100 + n))};
            m_router.update(TargetRecord{peer, Monitor, TargetState::Serving, 50, 50, 1}, now);
        }
    }

    /// Sends a request. The status of its response is appended to statuses.
    void request(const std::string &id, const std::string &route, Duration limit = 5s)
    {
        HttpRequest request{.method = "GET", .target = "/" + route + "/x", .headers = {{"Host", "h"}, {"Id", id}}, .body = {}};
        request.headers.push_back({"Time-Left", std::to_string(limit / 1ms)});
        if (route == "status") {
            request.headers.push_back({"Authorization", "Token key"});
        }
        m_entry.handleRequest(std::move(request), [this](const HttpResponse &response) { statuses.push_back(response.status); });
    }
    /// Answers the last call that was sent.
    void answerLast(const Verdict &verdict)
    {
        m_entry.handleAnswer({sent.back().second.attempt, verdict, std::nullopt, {PriorityLevel{255}, 1, 1, 50}, 0});
    }
    [[nodiscard]] std::set<Endpoint> requestedTargets() const
    {
        std::set<Endpoint> found;
        for (const auto &[to, request] : sent) {
            found.insert(to);
        }
        return found;
    }
    MeshEntry &entry()
    {
        return m_entry;
    }
    RootAdmission &admission()
    {
        return m_admission;
    }

    TimePoint now = StartTime;
    std::size_t nodeCount = 1;
    bool mayHavePredecessor = false;
    std::deque<std::pair<Endpoint, CallRequest>> sent;
    std::vector<int> statuses;
    std::optional<CallRequest> caller;

private:
    MeshConfigurationPointer m_configuration;
    FleetRateLimiter m_rateLimiter;
    TargetRouter m_router;
    LoadMeter m_meter;
    RootAdmission m_admission;
    MeshEntry m_entry;
};

CallRequest callerOfPriority(std::uint8_t priority)
{
    return {.attempt = AttemptId{9},
            .context = {.root = RequestId(3, 4),
                        .hasStableRoot = false,
                        .organisation = OrganisationId("amsel"),
                        .key = KeyId("none"),
                        .priority = PriorityLevel{priority},
                        .remaining = 1s,
                        .retryBudget = 0,
                        .depth = 0},
            .service = Dispatch,
            .route = RouteName("order"),
            .claim = std::nullopt,
            .repeatId = std::nullopt,
            .targetIncarnation = {},
            .http = {},
            .repeatPercent = 100,
            .rootKind = requestKindOf(RouteName("order")),
            .rootPriority = PriorityLevel{priority}};
}
} // namespace

BOOST_AUTO_TEST_SUITE(meshentry)

// A rejected request has not run, so it may be resent to the same target, but to no more targets than the route allows.
BOOST_AUTO_TEST_CASE(ARejectedRequestIsSentAgainWithinTheTargetsOfItsRoute)
{
    EntryRig rig;
    rig.request("a", "status");
    for (int n = 0; n < 20 && rig.statuses.empty(); ++n) {
        rig.answerLast(Verdict::refused(Reason::TargetFailed));
    }
    BOOST_TEST(rig.requestedTargets().size() == MaxAttempts);
    BOOST_TEST(rig.sent.size() == 8U);
    BOOST_REQUIRE(rig.statuses.size() == 1);
    BOOST_TEST(rig.statuses[0] == 503);
}

// An order whose message never left this node has certainly not run.
BOOST_AUTO_TEST_CASE(AnOrderThatNeverLeftTheNodeMovesToAnotherTarget)
{
    EntryRig rig;
    rig.request("a", "order");
    rig.entry().handleUnsent(rig.sent.back().second.attempt);
    BOOST_TEST(rig.requestedTargets().size() == 2U);
    // The loss of its former connection no longer concerns it.
    rig.entry().handlePeerLost(rig.sent.front().first, true);
    BOOST_TEST(rig.statuses.empty());
}

// The connection to the target's node was lost after the message had left.
BOOST_AUTO_TEST_CASE(AnOrderThatMayHaveArrivedIsNotSentAgain)
{
    EntryRig rig;
    rig.request("a", "order");
    rig.entry().handlePeerLost(rig.sent.back().first, true);
    BOOST_TEST(rig.sent.size() == 1U);
    BOOST_REQUIRE(rig.statuses.size() == 1);
    BOOST_TEST(rig.statuses[0] == 502);
}

// Guards against a stopping node accepting a request that outlives the process, which would leave the caller without a response.
BOOST_AUTO_TEST_CASE(AnAnswerThatCantBeReadEndsItsRequestOnly)
{
    EntryRig rig;
    rig.request("o1", "order");
    const AttemptId unreadable = rig.sent.back().second.attempt;
    rig.request("o2", "order");
    rig.entry().handleMalformedAnswer(unreadable);
    rig.entry().handleMalformedAnswer(unreadable);
    // It may have run, so that it is not sent again.
    BOOST_CHECK(rig.statuses == std::vector<int>{502});
    BOOST_CHECK_EQUAL(rig.sent.size(), 2U);
}

BOOST_AUTO_TEST_CASE(AStoppingNodeTakesNothingThatMayOutlastIt)
{
    EntryRig rig;
    rig.entry().beginShutdown(StartTime + 3s, StartTime + 5500ms);
    rig.now = StartTime + 2s;
    rig.request("early", "status");
    BOOST_TEST(rig.sent.size() == 1U);
    rig.now = StartTime + 4s;
    rig.request("late", "status", 5s);
    BOOST_TEST(rig.sent.size() == 1U);
    BOOST_REQUIRE(rig.statuses.size() == 1);
    BOOST_TEST(rig.statuses[0] == 503);
    // A call whose deadline is before the end of the process is accepted, so that its parent request can still complete.
    rig.request("call", "telemetry", 700ms);
    BOOST_TEST(rig.sent.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ACallInheritsTheRootOfItsParentRequest)
{
    EntryRig rig;
    rig.caller = callerOfPriority(0);
    rig.request("parent.1", "telemetry");
    BOOST_REQUIRE(rig.sent.size() == 1);
    const CallRequest &known = rig.sent[0].second;
    BOOST_CHECK(known.context.root == rig.caller->context.root);
    BOOST_CHECK(known.rootKind == rig.caller->rootKind);
    BOOST_CHECK(known.rootPriority == PriorityLevel{0});
    // A call made by a retry counts as a retry at the called service.
    BOOST_TEST(known.repeatPercent == 100);
    rig.request("unrelated-call", "telemetry");
    BOOST_CHECK(rig.sent[1].second.rootKind == requestKindOf(RouteName("telemetry")));
    BOOST_TEST(rig.sent[1].second.repeatPercent == 0);
}

// The targets of the service reject half of their requests, so no retries are left for roots of a low priority.
BOOST_AUTO_TEST_CASE(ScarceRetriesAreNotSpentOnRequestsThatCannotComplete)
{
    const auto callsSentAtPriority = [](std::uint8_t priority) {
        EntryRig rig;
        MeshObjects objects{.version = {},
                            .routes = {routeOf("order", Dispatch, false), routeOf("telemetry", Monitor, true)},
                            .services = {},
                            .organisations = {},
                            .limits = {}};
        rig.admission().configure(objects);
        const RequestKind order = requestKindOf(RouteName("order"));
        const RequestKind telemetry = requestKindOf(RouteName("telemetry"));
        const LoadReport load{Dispatch,
                              100,
                              10,
                              {{order, PriorityLevel{0}, 10}, {order, PriorityLevel{2}, 1'000}},
                              {{order, telemetry, 4, 1'000}},
                              {},
                              {{Monitor, 4'040, 0.5, 0}}};
        rig.admission().noteReport(NodeId("self"), load, StartTime);
        rig.caller = callerOfPriority(priority);
        // A root with a high hash share completes only if nearly all roots do.
        rig.caller->context.root = RequestId(0, 0);
        while (rootShare(rig.caller->context.root) < 0.9) {
            rig.caller->context.root = RequestId(0, rig.caller->context.root.low() + 1);
        }
        rig.request("parent.1", "telemetry");
        rig.answerLast(Verdict::refused(Reason::TargetFailed));
        return rig.sent.size();
    };
    BOOST_TEST(callsSentAtPriority(0) == 2U);
    BOOST_TEST(callsSentAtPriority(2) == 1U);
}

// Each process of a node that is killed again and again used to begin with the slack of the whole window.
BOOST_AUTO_TEST_CASE(RetriesOfANodeThatIsKilledAgainAndAgainStayWithinTheBoundOfTheWindow)
{
    constexpr std::size_t RequestsPerProcess = 100;
    constexpr double Bound = 0.2 * 5 * RequestsPerProcess + 100;
    std::size_t requests = 0;
    std::size_t attempts = 0;
    for (int process = 0; process < 5; ++process) {
        EntryRig rig;
        rig.mayHavePredecessor = process > 0;
        rig.now = StartTime + process * 2s;
        for (std::size_t n = 0; n < RequestsPerProcess; ++n) {
            std::size_t answered = 0;
            rig.request("p" + std::to_string(process) + "-" + std::to_string(n), "status");
            while (answered < rig.sent.size()) {
                answered = rig.sent.size();
                rig.answerLast(Verdict::refused(Reason::TargetFailed));
            }
            attempts += std::exchange(rig.sent, {}).size();
            ++requests;
            rig.now += 15ms;
        }
    }
    BOOST_CHECK_LE(static_cast<double>(attempts - requests), Bound);
}

// A process that starts while the store is away hears of its peers one after the other.
BOOST_AUTO_TEST_CASE(ANodeThatLearnsOfItsPeersLateUsesItsPartOfTheSlackOnly)
{
    EntryRig rig;
    rig.request("first", "status");
    rig.answerLast(Verdict::ran());
    rig.nodeCount = 100;
    // Slack 100 for 100 nodes, of which 0.8 is used, and the requests of one.
    BOOST_CHECK_LT(rig.entry().retriesLeft(Monitor), 2);
}

BOOST_AUTO_TEST_SUITE_END()

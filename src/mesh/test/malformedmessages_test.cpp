// Messages of peers that a node can't read, for example those of a later version.

#include "mesh/test/meshfleet.h"
#include "mesh/test/meshrequests.h"
#include "protocol/callmessages.h"
#include "transport/peernetwork.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
/// A peer that sends one message after the other, and notes the answers and losses.
class CallingPeer
{
public:
    explicit CallingPeer(const MeshFleet &fleet)
        : m_node(fleet.peerEndpoint(0))
        , m_network(PeerNetworkSettings{.self = {NodeId("peer"), Incarnation{1}, {RegionName("muc"), FailureDomainName("muc-a")}, freeLoopback()},
                                        .secret = fleet.secret(),
                                        .threads = 1},
                    PeerNetworkHooks{
                        .message = [this](const Peer &, const Envelope &envelope) { record(envelope); },
                        .lost = [this](const Endpoint &, bool) { ++m_losses; },
                        .refused = [](const std::string &, const std::string &) {},
                        .malformed = [](const Peer &, const std::string &) {},
                    })
    {
        m_network.start();
    }
    ~CallingPeer()
    {
        m_network.stop();
    }
    CallingPeer(const CallingPeer &) = delete;
    CallingPeer &operator=(const CallingPeer &) = delete;

    void send(const Envelope &message)
    {
        m_network.send(m_node, message);
    }
    /// The answer to @p attempt, or none in time.
    std::optional<CallAnswer> answerTo(AttemptId attempt)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, 5s, [&] { return m_answers.contains(attempt); });
        const auto it = m_answers.find(attempt);
        return it == m_answers.end() ? std::nullopt : std::optional(it->second);
    }
    [[nodiscard]] int losses() const
    {
        return m_losses;
    }

private:
    void record(const Envelope &envelope)
    {
        if (envelope.type == MessageType::CallAnswer) {
            const std::scoped_lock lock(m_mutex);
            const CallAnswer answer = CallAnswer::decode(envelope);
            m_answers.emplace(answer.attempt, answer);
        }
        m_changed.notify_all();
    }

    const Endpoint m_node;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<AttemptId, CallAnswer> m_answers;
    std::atomic<int> m_losses = 0;
    PeerNetwork m_network;
};

CallRequest requestOf(std::uint64_t attempt)
{
    return {.attempt = AttemptId{attempt},
            .context = {.root = RequestId(3, attempt),
                        .hasStableRoot = false,
                        .organisation = OrganisationId("carrier"),
                        .key = KeyId("none"),
                        .priority = PriorityLevel{1},
                        .remaining = 5s,
                        .retryBudget = 0,
                        .depth = 0},
            .service = ServiceName("alpha"),
            .route = RouteName("a"),
            .claim = std::nullopt,
            .repeatId = std::nullopt,
            .targetIncarnation = {},
            .http = {.method = "GET", .target = "/a/1", .headers = {{"Host", "hr.example"}, {"Request", "direct-" + std::to_string(attempt)}}, .body = {}}};
}
} // namespace

BOOST_AUTO_TEST_SUITE(malformedmessages)

// Failure: the requests of all others on the connection end, and nobody learns that the one at fault has not run.
BOOST_AUTO_TEST_CASE(ARequestThatCantBeReadIsRefusedAndEndsNoOther)
{
    MeshFleet fleet({"alpha"});
    publishRoutes(fleet);
    fleet.sendHeartbeat(0);
    fleet.requestUntil(0, getRequest("/a/1", "r0"), "200");
    const std::size_t seenBefore = fleet.seenRequests().size();
    std::optional<std::pair<SeenRequest, HttpResponder>> held;
    fleet.setTargetHandler([&held](const SeenRequest &seen, const HttpResponder &respond) {
        if (!held) {
            held.emplace(seen, respond);
        } else {
            respond(signedResponse(seen, 200));
        }
    });
    CallingPeer peer(fleet);
    peer.send(requestOf(1).encode());
    fleet.waitUntilSeen(seenBefore + 1);

    Envelope damaged = requestOf(2).encode();
    damaged.payload.pop_back();
    peer.send(damaged);
    peer.send({static_cast<MessageType>(250), "of a later version"});
    peer.send({MessageType::NodeReport, "damaged"});
    const std::optional<CallAnswer> refusal = peer.answerTo(AttemptId{2});
    BOOST_REQUIRE(refusal);
    BOOST_CHECK(refusal->verdict.runState() == RunState::NotRun);

    peer.send(requestOf(3).encode());
    const std::optional<CallAnswer> later = peer.answerTo(AttemptId{3});
    BOOST_CHECK(later && later->verdict.isSuccess());
    fleet.run([&held] { held->second(signedResponse(held->first, 200)); });
    const std::optional<CallAnswer> first = peer.answerTo(AttemptId{1});
    BOOST_CHECK(first && first->verdict.isSuccess());
    BOOST_CHECK_EQUAL(peer.losses(), 0);
    BOOST_CHECK_EQUAL(countOf(fleet.seenRequests(), "direct-2"), 0U);
    BOOST_CHECK_EQUAL(fleet.metric(0, "banyankeel_malformed_messages_total"), 3);
}

BOOST_AUTO_TEST_SUITE_END()

#include "state/errors.h"
#include "transport/peernetwork.h"
#include "transport/test/peertest.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <thread>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
constexpr std::size_t LargeBytes = std::size_t{5} * 1024 * 1024;

/// Sends until the message is taken, as the daemon's callers do after a refusal.
void sendSurely(TestNode &from, const TestNode &to, const std::string &payload)
{
    const auto end = std::chrono::steady_clock::now() + EventLimit;
    while (from.send(to, payload) == SendResult::Refused && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(1ms);
    }
}

/// Whether each node still gets the other's messages.
bool talk(TestNode &left, TestNode &right)
{
    const std::size_t leftCount = left.records().messages.size();
    const std::size_t rightCount = right.records().messages.size();
    left.send(right, "to the right");
    right.send(left, "to the left");
    return right.receives(rightCount + 1) && left.receives(leftCount + 1);
}
} // namespace

BOOST_AUTO_TEST_SUITE(peernetwork)

BOOST_AUTO_TEST_CASE(MessagesArriveWholeAndInOrder)
{
    constexpr std::size_t Count = 2000;
    TestNode a("a");
    TestNode b("b");
    for (std::size_t n = 0; n < Count; ++n) {
        BOOST_REQUIRE(a.send(b, std::to_string(n)) == SendResult::Queued);
    }
    BOOST_REQUIRE(b.receives(Count));
    const NodeRecords records = b.records();
    for (std::size_t n = 0; n < Count; ++n) {
        BOOST_REQUIRE_EQUAL(records.messages[n].second.payload, std::to_string(n));
        BOOST_REQUIRE(records.messages[n].first == a.self);
    }
}

BOOST_AUTO_TEST_CASE(AnswerGoesBackOverTheConnectionOfItsRequest)
{
    // Nothing listens at the endpoint that the peer names, so that an answer can only come over the peer's own connection.
    TestNode node("node");
    const Peer self = silentPeer("peer");
    RawPeer raw(node, self);
    raw.sayHello();
    raw.connection.write(frameOf({MessageType::Probe, "question"}));
    BOOST_REQUIRE(node.receives(1));
    BOOST_CHECK(node.network->send(self.endpoint, {MessageType::ProbeAnswer, "answer"}) == SendResult::Queued);
    BOOST_CHECK(raw.readFrame().type == MessageType::Hello);
    BOOST_CHECK_EQUAL(raw.readFrame().payload, "answer");
}

BOOST_AUTO_TEST_CASE(BothSidesMayConnectAtOnce)
{
    for (int n = 0; n < 20; ++n) {
        TestNode a("a");
        TestNode b("b");
        std::thread other([&] { b.send(a, "from b"); });
        a.send(b, "from a");
        other.join();
        BOOST_CHECK(a.receives(1));
        BOOST_CHECK(b.receives(1));
        BOOST_CHECK(talk(a, b));
        BOOST_CHECK(a.records().losses.empty());
        BOOST_CHECK(b.records().losses.empty());
    }
}

BOOST_AUTO_TEST_CASE(MessageToItselfIsHandedBack)
{
    TestNode a("a");
    BOOST_CHECK(a.send(a, "note") == SendResult::Queued);
    BOOST_REQUIRE(a.receives(1));
    BOOST_CHECK(a.records().messages[0].first == a.self);
    BOOST_CHECK_EQUAL(a.records().messages[0].second.payload, "note");
}

BOOST_AUTO_TEST_CASE(LargeMessagesStayWholeInBothDirections)
{
    TestNode a("a");
    TestNode b("b");
    std::string payload(LargeBytes, '\0');
    std::mt19937_64 random(7);
    std::generate(payload.begin(), payload.end(), [&random] { return static_cast<char>(random()); });
    BOOST_CHECK(a.send(b, payload) == SendResult::Queued);
    BOOST_REQUIRE(b.receives(1));
    BOOST_CHECK(b.records().messages[0].second.payload == payload);
    BOOST_CHECK(b.send(a, payload) == SendResult::Queued);
    BOOST_REQUIRE(a.receives(1));
    BOOST_CHECK(a.records().messages[0].second.payload == payload);
    BOOST_CHECK(a.records().losses.empty());
}

BOOST_AUTO_TEST_CASE(SlowReaderIsRefusedFurtherMessages)
{
    constexpr std::size_t Bound = std::size_t{256} * 1024;
    constexpr std::size_t PieceBytes = 8192;
    // The system's socket buffers take some megabytes before the bound counts.
    constexpr std::size_t Enough = std::size_t{64} * 1024 * 1024;
    TestNode node(PeerNetworkSettings{.self = testPeer("node"), .secret = TestSecret, .maxQueuedBytes = Bound});
    const Peer self = silentPeer("slow");
    RawPeer slow(node, self);
    slow.sayHello();
    slow.connection.write(frameOf({MessageType::Probe, "here"}));
    BOOST_REQUIRE(node.receives(1));

    std::size_t queued = 0;
    while (queued < Enough && node.network->send(self.endpoint, {MessageType::Probe, std::string(PieceBytes, 'x')}) == SendResult::Queued) {
        queued += PieceBytes;
    }
    BOOST_CHECK_LT(queued, Enough);
    BOOST_CHECK_GT(queued, Bound);

    // Another peer is served, and all that was queued arrives once the slow one reads again.
    TestNode other("other");
    BOOST_CHECK(talk(node, other));
    slow.readFrame();
    for (std::size_t n = 0; n < queued; n += PieceBytes) {
        BOOST_REQUIRE_EQUAL(slow.readFrame().payload.size(), PieceBytes);
    }
}

BOOST_AUTO_TEST_CASE(AMessageThatWasNotWrittenBeforeItsConnectionEndedIsReportedUnsent)
{
    constexpr std::size_t Messages = 60;
    constexpr std::size_t MessageBytes = std::size_t{1} * 1024 * 1024;
    std::promise<void> resume;
    const std::shared_future<void> resumed = resume.get_future().share();
    PeerNetworkSettings settings{.self = testPeer("a"), .secret = TestSecret};
    settings.maxQueuedBytes = Messages * MessageBytes * 2;
    TestNode sender(settings);
    // Reads nothing more until the test lets it.
    TestNode receiver(PeerNetworkSettings{.self = testPeer("b"), .secret = TestSecret}, [resumed](const Envelope &) { resumed.wait(); });
    const auto payloadOf = [](std::size_t n) { return std::to_string(n) + ' ' + std::string(MessageBytes, 'x'); };
    for (std::size_t n = 0; n < Messages; ++n) {
        BOOST_REQUIRE(sender.send(receiver, payloadOf(n)) == SendResult::Queued);
    }
    std::this_thread::sleep_for(200ms);
    sender.network->drop(receiver.self.endpoint, "test");
    BOOST_REQUIRE(sender.loses(1));
    const std::vector<Envelope> unsent = sender.records().unsent;
    BOOST_CHECK_GT(unsent.size(), 0U);
    BOOST_CHECK_LT(unsent.size(), Messages);
    resume.set_value();
    BOOST_CHECK(receiver.loses(1));
    // A message that is reported unsent is not received, and the others were written.
    for (const auto &[from, message] : receiver.records().messages) {
        BOOST_CHECK(std::ranges::find(unsent, message) == unsent.end());
    }
}

BOOST_AUTO_TEST_CASE(UnreachablePeerIsReportedLostOnceAndConnectedLater)
{
    TestNode a("a");
    const Peer later = testPeer("later");
    // Refused if the system refuses the connection before the message is queued; reported lost in either case.
    a.network->send(later.endpoint, {MessageType::Probe, "x"});
    BOOST_CHECK(a.loses(1));
    BOOST_CHECK(a.records().losses[0] == later.endpoint);

    TestNode b(PeerNetworkSettings{.self = later, .secret = TestSecret});
    sendSurely(a, b, "hello");
    BOOST_CHECK(b.receives(1));
    BOOST_CHECK_EQUAL(a.records().losses.size(), 1);
}

BOOST_AUTO_TEST_CASE(RestartedPeerIsReportedLostOnceAndReached)
{
    TestNode a("a");
    const Peer peer = testPeer("b");
    auto b = std::make_unique<TestNode>(PeerNetworkSettings{.self = peer, .secret = TestSecret});
    // One side asks first, so that there is one connection only.
    a.send(*b, "question");
    BOOST_REQUIRE(b->receives(1));
    b->send(a, "answer");
    BOOST_REQUIRE(a.receives(1));
    b.reset();
    BOOST_CHECK(a.loses(1));

    Peer restarted = peer;
    restarted.incarnation = Incarnation{2};
    b = std::make_unique<TestNode>(PeerNetworkSettings{.self = restarted, .secret = TestSecret});
    sendSurely(a, *b, "again");
    BOOST_CHECK(b->receives(1));
    BOOST_CHECK_EQUAL(a.records().losses.size(), 1);
}

BOOST_AUTO_TEST_CASE(NewerIncarnationReplacesTheOlderOne)
{
    TestNode node("node");
    Peer self = silentPeer("peer", 5);
    RawPeer older(node, self);
    older.sayHello();
    older.connection.write(frameOf({MessageType::Probe, "older"}));
    BOOST_REQUIRE(node.receives(1));

    self.incarnation = Incarnation{6};
    RawPeer newer(node, self);
    newer.sayHello();
    newer.connection.write(frameOf({MessageType::Probe, "newer"}));
    BOOST_REQUIRE(node.receives(2));
    older.connection.readToEnd();
    BOOST_CHECK_EQUAL(node.records().losses.size(), 1);
    node.network->send(self.endpoint, {MessageType::Probe, "answer"});
    newer.readFrame();
    BOOST_CHECK_EQUAL(newer.readFrame().payload, "answer");

    self.incarnation = Incarnation{5};
    RawPeer outdated(node, self);
    outdated.sayHello();
    outdated.connection.readToEnd();
    BOOST_CHECK(node.refuses(1));
    BOOST_CHECK_EQUAL(node.records().losses.size(), 1);
}

// The connection before has gone silent without an end that this side could see, and answers would go into it.
BOOST_AUTO_TEST_CASE(APeerThatConnectsAnewHasLostItsConnectionBefore)
{
    TestNode node("node");
    const Peer self = silentPeer("peer");
    RawPeer silent(node, self);
    silent.sayHello();
    silent.connection.write(frameOf({MessageType::Probe, "1"}));
    BOOST_REQUIRE(node.receives(1));
    std::this_thread::sleep_for(1100ms);
    RawPeer next(node, self);
    next.sayHello();
    next.connection.write(frameOf({MessageType::Probe, "2"}));
    BOOST_REQUIRE(node.receives(2));
    BOOST_CHECK(node.loses(1));
    node.network->send(self.endpoint, {MessageType::Probe, "answer"});
    next.readFrame();
    BOOST_CHECK_EQUAL(next.readFrame().payload, "answer");
}

BOOST_AUTO_TEST_CASE(IdleConnectionIsClosedWithoutALossAndMadeAnew)
{
    // Shorter than the time for which a frame counts as recent, so that only one side may close.
    TestNode a(PeerNetworkSettings{.self = testPeer("a"), .secret = TestSecret, .idleLimit = 100ms});
    const Peer self = silentPeer("peer");
    RawPeer raw(a, self);
    raw.sayHello();
    raw.connection.write(frameOf({MessageType::Probe, "x"}));
    BOOST_REQUIRE(a.receives(1));
    raw.readFrame();
    BOOST_CHECK(raw.readFrame().type == MessageType::Goodbye);
    raw.connection.readToEnd();
    BOOST_CHECK(a.records().losses.empty());

    RawPeer again(a, self);
    again.sayHello();
    again.connection.write(frameOf({MessageType::Probe, "x"}));
    BOOST_CHECK(a.receives(2));
}

BOOST_AUTO_TEST_CASE(SilentConnectionIsClosedAfterTheHelloLimit)
{
    TestNode node(PeerNetworkSettings{.self = testPeer("node"), .secret = TestSecret, .helloLimit = 50ms});
    RawConnection silent(node.self.endpoint);
    silent.readToEnd();
    BOOST_CHECK(node.refuses(1));
}

BOOST_AUTO_TEST_CASE(ConnectionsOverTheLimitAreRefused)
{
    TestNode node(PeerNetworkSettings{.self = testPeer("node"), .secret = TestSecret, .maxConnections = 1});
    const Peer self = silentPeer("peer");
    RawPeer first(node, self);
    first.sayHello();
    first.connection.write(frameOf({MessageType::Probe, "x"}));
    BOOST_REQUIRE(node.receives(1));
    RawConnection second(node.self.endpoint);
    second.readToEnd();
    BOOST_CHECK(node.refuses(1));
    first.connection.write(frameOf({MessageType::Probe, "y"}));
    BOOST_CHECK(node.receives(2));
}

// Failure: nodes whose names are long refuse each other's hello, and each goes on alone.
BOOST_AUTO_TEST_CASE(NodesWithLongNamesConnect)
{
    const auto settingsOf = [](const std::string &name) {
        Peer self = testPeer(name);
        self.node = NodeId::verbatim(name + std::string(1'000, 'n'));
        self.place = {RegionName::verbatim(std::string(1'000, 'r')), FailureDomainName::verbatim(std::string(1'000, 'd'))};
        return PeerNetworkSettings{.self = self, .secret = TestSecret};
    };
    TestNode a(settingsOf("a"));
    TestNode b(settingsOf("b"));
    a.send(b, "x");
    BOOST_CHECK(b.receives(1));
    PeerNetworkSettings settings = settingsOf("c");
    settings.self.node = NodeId::verbatim(std::string(MaxHelloBytes, 'n'));
    BOOST_CHECK_EXCEPTION(TestNode{settings}, ValueError, [](const ValueError &it) { return std::string(it.what()).find("names") != std::string::npos; });
}

BOOST_AUTO_TEST_CASE(WrongSettingsAreRefused)
{
    BOOST_CHECK_THROW(TestNode(PeerNetworkSettings{.self = testPeer("a"), .secret = "short"}), ValueError);
    TestNode a("a");
    BOOST_CHECK_THROW(TestNode(PeerNetworkSettings{.self = a.self, .secret = TestSecret}), Error);
}

BOOST_AUTO_TEST_SUITE_END()

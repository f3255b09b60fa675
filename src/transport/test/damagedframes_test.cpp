#include "state/errors.h"
#include "transport/test/peertest.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace banyankeel;
using namespace banyankeel::testing;

namespace
{
constexpr std::uint64_t Seed = 20'240'501;
constexpr std::size_t DamagedHellos = 1500;
constexpr std::size_t DamagedFrames = 1500;

void requireGood(const Envelope &envelope)
{
    if (envelope.payload != "good") {
        throw ProtocolError("test message: not good");
    }
}

/// A node that refuses payloads other than "good", as the daemon refuses what it can't decode, and a connection that must stay.
struct Fixture {
    TestNode node{PeerNetworkSettings{.self = testPeer("node"), .secret = TestSecret}, requireGood};
    Peer steadySelf = silentPeer("steady");
    RawPeer steady{node, steadySelf};
    std::size_t steadyCount = 0;

    Fixture()
    {
        steady.sayHello();
        steady.readFrame();
    }

    bool isSteady()
    {
        steady.connection.write(frameOf({MessageType::Probe, "good"}));
        const std::size_t count = ++steadyCount;
        return node.waitFor([this, count](const NodeRecords &records) {
            const auto isOurs = [this](const auto &it) { return it.first == steadySelf; };
            return static_cast<std::size_t>(std::count_if(records.messages.begin(), records.messages.end(), isOurs)) == count;
        });
    }

    bool isRefused(std::size_t count)
    {
        return node.refuses(count);
    }
};

std::string damaged(std::string bytes, std::mt19937_64 &random)
{
    switch (random() % 3) {
    case 0: {
        // One bit is another.
        char &byte = bytes[random() % bytes.size()];
        byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << (random() % 8)));
        break;
    }
    case 1:
        bytes.resize(random() % bytes.size());
        break;
    default: {
        const auto inserted = static_cast<char>(random());
        bytes.insert(random() % bytes.size(), 1, inserted);
    }
    }
    return bytes;
}
} // namespace

BOOST_FIXTURE_TEST_SUITE(damagedframes, Fixture)

BOOST_AUTO_TEST_CASE(WrongSecretIsRefused)
{
    RawPeer raw(node, silentPeer("stranger"), "another secret of the right length");
    raw.sayHello();
    raw.connection.write(frameOf({MessageType::Probe, "good"}));
    raw.connection.readToEnd();
    BOOST_CHECK(isRefused(1));
    BOOST_CHECK(isSteady());
    BOOST_CHECK_EQUAL(node.records().messages.size(), 1);
}

BOOST_AUTO_TEST_CASE(MessageBeforeTheHelloIsRefused)
{
    RawConnection raw(node.self.endpoint);
    raw.write(frameOf({MessageType::Probe, "good"}));
    raw.readToEnd();
    BOOST_CHECK(isRefused(1));
    BOOST_CHECK(isSteady());
    BOOST_CHECK_EQUAL(node.records().messages.size(), 1);
}

BOOST_AUTO_TEST_CASE(RepeatedHelloIsRefused)
{
    RawPeer raw(node, silentPeer("peer"));
    raw.sayHello();
    raw.connection.write(frameOf({MessageType::Probe, "good"}));
    BOOST_REQUIRE(node.receives(1));

    RawConnection replay(node.self.endpoint);
    replay.write(raw.sent + frameOf({MessageType::Probe, "good"}));
    replay.readToEnd();
    BOOST_CHECK(isRefused(1));
    BOOST_CHECK(isSteady());
    BOOST_CHECK_EQUAL(node.records().messages.size(), 2);
}

BOOST_AUTO_TEST_CASE(ReflectedHelloIsRefused)
{
    RawPeer raw(node, silentPeer("mirror"), "another secret of the right length");
    const Envelope challenge = raw.readFrame();
    raw.connection.write(frameOf(challenge));
    raw.connection.write(frameOf(raw.readFrame()));
    raw.connection.readToEnd();
    BOOST_CHECK(isRefused(1));
    BOOST_CHECK(isSteady());
}

BOOST_AUTO_TEST_CASE(LongFrameBeforeTheHelloIsRefusedByItsHeader)
{
    RawConnection raw(node.self.endpoint);
    raw.write(std::string("\x00\x00\x10\x00\x01", FrameHeaderBytes));
    raw.readToEnd();
    BOOST_CHECK(isRefused(1));
    BOOST_CHECK(isSteady());
}

BOOST_AUTO_TEST_CASE(OversizedFrameIsRefusedByItsHeader)
{
    RawPeer raw(node, silentPeer("peer"));
    raw.sayHello();
    raw.connection.write(std::string("\xff\xff\xff\xff\x2a", FrameHeaderBytes));
    raw.connection.readToEnd();
    BOOST_CHECK(isRefused(1));
    BOOST_CHECK(isSteady());
}

// Failure: one message ends all that is under way on its connection.
BOOST_AUTO_TEST_CASE(MessageThatCantBeReadCostsItselfOnly)
{
    const Peer self = silentPeer("peer");
    RawPeer raw(node, self);
    raw.sayHello();
    for (const char *it : {"good", "bad", "good", "bad", "good"}) {
        raw.connection.write(frameOf({MessageType::Probe, it}));
    }
    BOOST_CHECK(isRefused(2));
    BOOST_CHECK(node.waitFor([&self](const NodeRecords &records) {
        return std::count_if(records.messages.begin(), records.messages.end(), [&self](const auto &it) { return it.first == self; }) == 3;
    }));
    BOOST_CHECK(node.records().losses.empty());
    BOOST_CHECK(isSteady());
    // The connection is still that of the peer.
    raw.connection.close();
    BOOST_CHECK(node.loses(1));
}

BOOST_AUTO_TEST_CASE(FrameCutOffIsNotHandedOn)
{
    const Peer self = silentPeer("peer");
    RawPeer raw(node, self);
    raw.sayHello();
    const std::string whole = frameOf({MessageType::Probe, "never whole"});
    raw.connection.write(whole.substr(0, whole.size() - 1));
    raw.connection.close();
    BOOST_CHECK(node.loses(1));
    BOOST_CHECK(isSteady());
    BOOST_CHECK_EQUAL(node.records().messages.size(), 1);
}

BOOST_AUTO_TEST_CASE(DamagedHellosDisturbNobody)
{
    std::mt19937_64 random(Seed);
    for (std::size_t n = 0; n < DamagedHellos; ++n) {
        RawConnection raw(node.self.endpoint);
        PeerHello hello(HelloRole::Connector, silentPeer("peer"), TestSecret);
        const std::string bytes = frameOf(hello.challenge()) + frameOf(*hello.receive(PeerHello(HelloRole::Acceptor, node.self, TestSecret).challenge()));
        raw.write(damaged(bytes, random));
        raw.close();
        if (n % 100 == 0) {
            BOOST_REQUIRE(isSteady());
        }
    }
    BOOST_CHECK(isRefused(DamagedHellos));
    BOOST_CHECK(isSteady());
    BOOST_CHECK(node.records().losses.empty());
}

BOOST_AUTO_TEST_CASE(DamagedFramesDisturbNobody)
{
    std::mt19937_64 random(Seed);
    const std::string frame = frameOf({MessageType::CallRequest, "good"});
    const std::string twoFrames = frame + frame;
    for (std::size_t n = 0; n < DamagedFrames; ++n) {
        RawPeer raw(node, silentPeer("peer"));
        raw.sayHello();
        raw.connection.write(frame);
        raw.connection.write(damaged(twoFrames, random));
        raw.connection.close();
        if (n % 100 == 0) {
            BOOST_REQUIRE(isSteady());
        }
    }
    // Each of these connections ends, by a refusal or as a loss, and the steady one goes on.
    BOOST_CHECK(node.waitFor([](const NodeRecords &it) { return it.refusals.size() + it.losses.size() >= DamagedFrames; }));
    BOOST_CHECK(isSteady());
}

BOOST_AUTO_TEST_SUITE_END()

#pragma once

// A node of a test: a PeerNetwork that records what its hooks were called with.
//
//   TestNode a("a"), b("b");
//   a.network->send(b.self.endpoint, {MessageType::Probe, "x"});
//   b.receives(1);

#include "transport/frame.h"
#include "transport/peerhello.h"
#include "transport/peernetwork.h"
#include "transport/test/loopback.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace banyankeel::testing
{

inline const std::string TestSecret = "0123456789abcdef";

inline Peer testPeer(const std::string &name, std::uint64_t incarnation = 1)
{
    return {NodeId(name), Incarnation{incarnation}, {RegionName("muc"), FailureDomainName("muc-1")}, freeEndpoint()};
}

/// A peer that claims an endpoint of its own, below the ports that the system gives out, without listening there.
inline Peer silentPeer(const std::string &name, std::uint64_t incarnation = 1)
{
    static std::atomic<std::uint16_t> port = 20'000;
    return {NodeId(name), Incarnation{incarnation}, {RegionName("muc"), FailureDomainName("muc-1")}, Endpoint("127.0.0.1", ++port)};
}

inline std::string frameOf(const Envelope &envelope)
{
    const FrameHeader header = frameHeaderOf(envelope);
    return std::string(header.begin(), header.end()) + envelope.payload;
}

/// What the hooks of a node were called with.
struct NodeRecords {
    std::vector<std::pair<Peer, Envelope>> messages;
    std::vector<Endpoint> losses;
    std::vector<std::string> refusals;
    std::vector<Envelope> unsent;
};

class TestNode
{
public:
    explicit TestNode(const std::string &name)
        : TestNode(PeerNetworkSettings{.self = testPeer(name), .secret = TestSecret})
    {
    }

    /// @param check throws Error for messages that this node refuses as damaged.
    explicit TestNode(
        const PeerNetworkSettings &settings, std::function<void(const Envelope &)> check = [](const Envelope &) {})
        : self(settings.self)
        , m_check(std::move(check))
        , network(std::make_unique<PeerNetwork>(settings, hooks()))
    {
        network->start();
    }

    SendResult send(const TestNode &to, std::string payload)
    {
        return network->send(to.self.endpoint, {MessageType::Probe, std::move(payload)});
    }

    /// Waits until @p condition holds for the records. False when it doesn't in time.
    bool waitFor(const std::function<bool(const NodeRecords &records)> &condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, EventLimit, [&] { return condition(m_records); });
    }

    bool receives(std::size_t count)
    {
        return waitFor([count](const NodeRecords &it) { return it.messages.size() >= count; });
    }

    bool refuses(std::size_t count)
    {
        return waitFor([count](const NodeRecords &it) { return it.refusals.size() == count; });
    }

    bool loses(std::size_t count)
    {
        return waitFor([count](const NodeRecords &it) { return it.losses.size() == count; });
    }

    NodeRecords records()
    {
        const std::scoped_lock lock(m_mutex);
        return m_records;
    }

    Peer self;

private:
    PeerNetworkHooks hooks()
    {
        return {
            .message =
                [this](const Peer &from, Envelope envelope) {
                    m_check(envelope);
                    record([&] { m_records.messages.emplace_back(from, std::move(envelope)); });
                },
            .lost = [this](const Endpoint &peer, bool /*mayHaveArrived*/) { record([&] { m_records.losses.push_back(peer); }); },
            .refused = [this](const std::string &, const std::string &problem) { record([&] { m_records.refusals.push_back(problem); }); },
            .malformed = [this](const Peer &, const std::string &problem) { record([&] { m_records.refusals.push_back(problem); }); },
            .unsent = [this](const Endpoint &, const Envelope &message) { record([&] { m_records.unsent.push_back(message); }); },
        };
    }

    void record(const std::function<void()> &change)
    {
        const std::scoped_lock lock(m_mutex);
        change();
        m_changed.notify_all();
    }

    std::function<void(const Envelope &)> m_check;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    NodeRecords m_records;

public:
    // Destroyed first, since its threads call the hooks.
    std::unique_ptr<PeerNetwork> network;
};

/// The other side of a hello, byte by byte.
class RawPeer
{
public:
    RawPeer(const TestNode &node, const Peer &self, const std::string &secret = TestSecret)
        : connection(node.self.endpoint)
        , m_hello(HelloRole::Connector, self, secret)
    {
    }

    void sayHello()
    {
        connection.write(frameOf(m_hello.challenge()));
        const Envelope challenge = readFrame();
        const std::string answer = frameOf(*m_hello.receive(challenge));
        sent = frameOf(m_hello.challenge()) + answer;
        connection.write(answer);
    }

    Envelope readFrame()
    {
        const std::string header = connection.read(FrameHeaderBytes);
        std::size_t size = 0;
        for (std::size_t n = 0; n + 1 < FrameHeaderBytes && n < header.size(); ++n) {
            size = size * 256 + static_cast<unsigned char>(header[n]);
        }
        return {header.empty() ? MessageType{} : static_cast<MessageType>(header.back()), connection.read(size)};
    }

    RawConnection connection;
    /// All bytes of the hello.
    std::string sent;

private:
    PeerHello m_hello;
};

} // namespace banyankeel::testing

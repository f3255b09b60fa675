#pragma once

// Multiplexed, authenticated connections to other nodes.
//
//   PeerNetwork network({.self = peer, .secret = secret}, {.message = ..., .lost = ...});
//   network.start();
//   network.send(other, request.encode());

#include "protocol/envelope.h"
#include "state/peer.h"
#include "state/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace asio
{
class io_context;
} // namespace asio

namespace banyankeel
{

struct PeerNetworkSettings {
    /// What this node tells others of itself; it listens at its endpoint.
    Peer self;
    /// Shared by all nodes of the fleet, at least 16 bytes.
    std::string secret;
    std::size_t maxFrameBytes = std::size_t{16} * 1024 * 1024;
    /// Bytes that may wait for one slow peer; further messages are refused.
    std::size_t maxQueuedBytes = std::size_t{4} * 1024 * 1024;
    std::size_t maxConnections = 1024;
    unsigned threads = 2;
    Duration helloLimit = std::chrono::seconds(2);
    Duration shortestReconnect = std::chrono::milliseconds(50);
    Duration longestReconnect = std::chrono::seconds(5);
    /// A connection without any frame for this long is closed; it is made anew at the next message.
    Duration idleLimit = std::chrono::seconds(120);
};

/// All must be set, but for those that say otherwise.
struct PeerNetworkHooks {
    /// A whole frame from a peer whose hello was accepted. Called on a network thread, in order for each peer; must not block.
    /// May throw Error if it can't be read. The message is then left out; the connection goes on.
    std::function<void(const Peer &from, Envelope envelope)> message;
    /// The connection to @p peer ended or could not be made: messages sent since the last answer may be lost.
    /// @param mayHaveArrived false if no connection to the peer was ready, so that none of them left this node.
    std::function<void(const Endpoint &peer, bool mayHaveArrived)> lost;
    /// One log line for each refused or damaged connection: where from, and why.
    std::function<void(const std::string &remote, const std::string &problem)> refused;
    /// One log line for each message that can't be read: who sent it, and why.
    std::function<void(const Peer &from, const std::string &problem)> malformed;
    /// A message to @p peer that was queued can't have been received: its connection ended before all of it was written. Called before lost() for
    /// that connection, which does not concern this message. May be null.
    std::function<void(const Endpoint &peer, const Envelope &message)> unsent = nullptr;
};

enum class SendResult {
    Queued,
    /// Nothing was queued: too much waits for this peer, or it can't be reached at present.
    Refused,
};

/// Frames over TCP: a length of 4 bytes, big endian, the message type as a byte, the payload. Both sides prove in a hello that they know
/// the secret (HMAC-SHA-256 over nonces of both sides); nothing else is accepted before. All functions may be called from any thread.
class PeerNetwork
{
public:
    PeerNetwork(PeerNetworkSettings settings, PeerNetworkHooks hooks);
    /// Runs on @p context instead of threads of its own; PeerNetworkSettings::threads is not used. The context must outlive this object,
    /// and must not run any more when this object is destroyed.
    PeerNetwork(asio::io_context &context, PeerNetworkSettings settings, PeerNetworkHooks hooks);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    /// Listens before it returns.
    /// @throws Error if the endpoint can't be listened on.
    void start();
    /// Connects at need, and sends answers over the connection by which the peer came when there is one.
    /// A message to this node's own endpoint is handed to the message hook on a network thread.
    SendResult send(const Endpoint &to, Envelope envelope);
    /// Closes all connections to @p peer, which was found silent. They are reported lost, and the next message connects anew.
    void drop(const Endpoint &peer, const std::string &reason);
    /// Ends all connections and threads.
    void stop();

    /// Connections to other nodes, in any state.
    [[nodiscard]] std::size_t connectionCount() const;
    /// Bytes sent to other nodes so far, frame headers included, for metrics.
    [[nodiscard]] std::uint64_t sentBytes() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyankeel

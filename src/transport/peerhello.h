#pragma once

// The hello of one connection between two nodes, as one side sees it.
//
//   PeerHello hello(HelloRole::Connector, self, secret);
//   write(hello.challenge());
//   if (auto answer = hello.receive(read())) write(*answer);
//   if (hello.peer()) ... // accepted

#include "protocol/envelope.h"
#include "state/peer.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace banyankeel
{

/// The longest message of a hello. A node holds no more than this for a connection before the other side has proved that it knows the secret.
inline constexpr std::size_t MaxHelloBytes = 4096;

/// The proof differs by role, so that a proof can't be sent back to the node that made it.
enum class HelloRole {
    Connector,
    Acceptor,
};

/// Both sides send a challenge, and answer the other's with their description and a proof over both nonces. Not thread-safe.
class PeerHello
{
public:
    /// @throws ValueError if the names of @p self do not fit into a hello.
    PeerHello(HelloRole role, const Peer &self, std::string secret);

    /// What to send first.
    [[nodiscard]] Envelope challenge() const;
    /// Takes the other side's next message. Returns what to send in answer, if anything.
    /// @throws Error if the other side is not accepted.
    std::optional<Envelope> receive(const Envelope &envelope);
    /// The other side, once it is accepted.
    [[nodiscard]] const std::optional<Peer> &peer() const
    {
        return m_peer;
    }

private:
    Envelope receiveChallenge(const Envelope &envelope);
    void receiveHello(const Envelope &envelope);
    [[nodiscard]] std::string proofOf(HelloRole role, std::string_view description) const;

    HelloRole m_role;
    std::string m_description;
    std::string m_secret;
    std::string m_nonce;
    std::optional<std::string> m_otherNonce;
    std::optional<Peer> m_peer;
};

} // namespace banyankeel

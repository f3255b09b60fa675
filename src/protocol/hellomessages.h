#pragma once

// Handshake in which two nodes prove to each other that they know the fleet secret.

#include "protocol/envelope.h"

#include <compare>
#include <cstdint>
#include <string>

namespace banyankeel
{

/// First message in each direction.
struct HelloChallenge {
    /// Protocol version; must be the same on both sides.
    std::uint32_t version;
    /// Random bytes, generated for each connection.
    std::string nonce;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static HelloChallenge decode(const Envelope &envelope);

    friend auto operator<=>(const HelloChallenge &, const HelloChallenge &) = default;
};

/// Answers the challenge of the other side.
struct Hello {
    /// The encoded Peer of the sender; covered by the proof.
    std::string description;
    std::string proof;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static Hello decode(const Envelope &envelope);

    friend auto operator<=>(const Hello &, const Hello &) = default;
};

} // namespace banyankeel

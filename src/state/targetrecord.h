#pragma once

// The state of a target, as its local node announces it to the fleet.

#include "state/identifier.h"
#include "state/peer.h"

#include <compare>
#include <cstdint>

namespace banyankeel
{

enum class TargetState : std::uint8_t {
    /// Receives few requests at first.
    Starting = 1,
    Serving = 2,
    /// Receives no new requests and completes those in flight.
    Draining = 3,
    Gone = 4,
};

/// One announcement. Of two announcements for the same node, the one with the higher (incarnation, version) is used;
/// announcements with the same (incarnation, version) are identical.
struct TargetRecord {
    Peer node;
    ServiceName service;
    TargetState state;
    /// Number of concurrent requests that the target reports; used only as an initial estimate.
    std::uint32_t slots;
    std::uint32_t connections;
    /// Sequence number of the announcement within one incarnation.
    std::uint64_t version;

    /// Whether this announcement replaces @p other of the same node.
    [[nodiscard]] bool supersedes(const TargetRecord &other) const
    {
        if (node.incarnation != other.node.incarnation) {
            return node.incarnation > other.node.incarnation;
        }
        return version > other.version;
    }

    friend auto operator<=>(const TargetRecord &, const TargetRecord &) = default;
};

} // namespace banyankeel

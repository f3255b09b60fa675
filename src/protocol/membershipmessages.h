#pragma once

// Messages by which nodes discover one another and the targets of other nodes.
//
//   Probe probe{.sequence = 7, .target = std::nullopt, .rumours = {}};
//   out.send(peer.endpoint, probe.encode());

#include "protocol/envelope.h"
#include "state/peer.h"
#include "state/targetrecord.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace banyankeel
{

/// Of two states of one node with the same version, the one with the higher value takes precedence.
enum class MemberState : std::uint8_t {
    Alive = 1,
    /// Did not answer a probe. Only the node itself can refute the suspicion, with a higher version.
    Suspect = 2,
    Gone = 3,
};

/// State of a node as gossiped by another. Immutable after construction.
struct MemberRumour {
    Peer peer;
    /// Incremented by the peer with everything it publishes about itself in this incarnation, including its announcements.
    std::uint64_t version;
    MemberState state;

    /// Whether this replaces @p other, which is about the same node.
    [[nodiscard]] bool supersedes(const MemberRumour &other) const;

    friend auto operator<=>(const MemberRumour &, const MemberRumour &) = default;
};

/// Checks whether the receiver is alive or, as an indirect probe, whether @p target is.
struct Probe {
    std::uint64_t sequence;
    std::optional<Peer> target;
    std::vector<MemberRumour> rumours;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError, IdentifierError, ValueError on malformed payloads, as do the other decoders here.
    static Probe decode(const Envelope &envelope);

    friend auto operator<=>(const Probe &, const Probe &) = default;
};

/// Answers a probe.
struct ProbeAnswer {
    std::uint64_t sequence;
    /// The node that is alive.
    Peer target;
    std::vector<MemberRumour> rumours;

    [[nodiscard]] Envelope encode() const;
    static ProbeAnswer decode(const Envelope &envelope);

    friend auto operator<=>(const ProbeAnswer &, const ProbeAnswer &) = default;
};

/// A part of the sender's membership view. The receiver replies with a part of its own unless this is an answer.
struct ViewExchange {
    bool isAnswer;
    /// Whether the fleet is known to have more nodes than fit into one view.
    bool isLargeFleet;
    std::vector<MemberRumour> members;

    [[nodiscard]] Envelope encode() const;
    static ViewExchange decode(const Envelope &envelope);

    friend auto operator<=>(const ViewExchange &, const ViewExchange &) = default;
};

/// Announces targets. The receiver replies with an acknowledgement that has the same sequence and no records.
struct TargetAnnouncement {
    bool isAcknowledgement;
    std::uint64_t sequence;
    std::vector<TargetRecord> records;

    [[nodiscard]] Envelope encode() const;
    static TargetAnnouncement decode(const Envelope &envelope);

    friend auto operator<=>(const TargetAnnouncement &, const TargetAnnouncement &) = default;
};

/// Requests the targets of a service and subscribes to their changes for a limited time.
struct DirectoryQuery {
    ServiceName service;

    [[nodiscard]] Envelope encode() const;
    static DirectoryQuery decode(const Envelope &envelope);

    friend auto operator<=>(const DirectoryQuery &, const DirectoryQuery &) = default;
};

/// Targets of a service known to the sender.
struct DirectoryAnswer {
    ServiceName service;
    /// The sender has held the shard of the service long enough to know all its targets; targets not listed are gone.
    bool isComplete;
    std::vector<TargetRecord> records;

    [[nodiscard]] Envelope encode() const;
    static DirectoryAnswer decode(const Envelope &envelope);

    friend auto operator<=>(const DirectoryAnswer &, const DirectoryAnswer &) = default;
};

} // namespace banyankeel

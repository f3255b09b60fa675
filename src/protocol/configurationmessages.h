#pragma once

// Messages by which nodes exchange configuration revisions.
//
//   ConfigurationPull pull{.have = set.revision(), .position = std::nullopt};
//   out.send(peer.endpoint, pull.encode());

#include "protocol/envelope.h"
#include "protocol/setdigest.h"
#include "state/configurationset.h"
#include "state/peer.h"
#include "state/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace banyankeel
{

enum class DigestKind : std::uint8_t {
    /// Requests an Answer.
    Ask = 1,
    Answer = 2,
    /// Flooded within a failure domain by the nodes that read the store for it.
    Heartbeat = 3,
};

/// Heartbeat of a node that reads the store on behalf of its failure domain.
struct ReaderHeartbeat {
    NodeId reader;
    Incarnation incarnation;
    /// Incremented with each heartbeat of this incarnation.
    std::uint64_t sequence;
    /// Whether its most recent reads failed.
    bool isStoreFailing;

    friend auto operator<=>(const ReaderHeartbeat &, const ReaderHeartbeat &) = default;
};

/// The revision that the sender applies, and how recently it was confirmed to be the newest.
struct ConfigurationDigest {
    DigestKind kind;
    Revision revision;
    SetDigest digest;
    /// Whether the sender serves requests with this revision.
    bool isReady;
    /// Age, at the time of sending, of the store's confirmation that no newer revision exists. Absent without such a confirmation.
    std::optional<Duration> confirmedAge;
    /// Time of the Ask on the clock of its sender. The Answer returns it unchanged.
    Duration askedAt;
    std::optional<ReaderHeartbeat> heartbeat;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError, IdentifierError on malformed payloads.
    static ConfigurationDigest decode(const Envelope &envelope);

    friend auto operator<=>(const ConfigurationDigest &, const ConfigurationDigest &) = default;
};

/// Position from which the transfer of a snapshot continues.
struct SnapshotPosition {
    Revision revision;
    /// Name of the last object received.
    ObjectName after;

    friend auto operator<=>(const SnapshotPosition &, const SnapshotPosition &) = default;
};

/// Requests what follows a revision: a delta if the peer can provide one, otherwise the first page of a snapshot. With a position, requests the
/// next page.
struct ConfigurationPull {
    Revision have;
    std::optional<SnapshotPosition> position;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static ConfigurationPull decode(const Envelope &envelope);

    friend auto operator<=>(const ConfigurationPull &, const ConfigurationPull &) = default;
};

/// The changes of the revisions that follow @p base, and the digest after the last of them.
struct ConfigurationDelta {
    Revision base;
    std::vector<ConfigurationChange> changes;
    SetDigest digest;

    [[nodiscard]] Revision revision() const
    {
        return base + changes.size();
    }
    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError, IdentifierError on malformed payloads.
    static ConfigurationDelta decode(const Envelope &envelope);

    friend bool operator==(const ConfigurationDelta &, const ConfigurationDelta &) = default;
};

/// One page of the objects of a revision, ordered by name.
struct ConfigurationSnapshot {
    Revision revision;
    /// Digest of the complete set.
    SetDigest digest;
    bool isFirst;
    bool isLast;
    std::vector<ConfigurationObject> objects;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError, IdentifierError on malformed payloads.
    static ConfigurationSnapshot decode(const Envelope &envelope);

    friend bool operator==(const ConfigurationSnapshot &, const ConfigurationSnapshot &) = default;
};

} // namespace banyankeel

#pragma once

// Messages by which nodes renew shard leases and exchange which node holds which shard.

#include "protocol/envelope.h"
#include "protocol/storemessages.h"
#include "state/shard.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace banyankeel
{

/// Send time of a heartbeat on the clock of its sender. Meaningful only to the sender; the receiver returns it unchanged.
enum class SenderTime : std::int64_t {};

/// Shard holders known to the sender. For each shard the entry with the highest fence takes precedence.
struct HolderTable {
    std::vector<ShardHolder> holders;
    /// The encoded shard layout in the answer to a pull. Empty in all other messages, and if it is not known.
    std::string layout;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError, IdentifierError, ValueError on malformed payloads.
    static HolderTable decode(const Envelope &envelope);

    friend auto operator<=>(const HolderTable &, const HolderTable &) = default;
};

/// Requests the holders known to the receiver, ordered by shard, starting at @p from.
struct HolderTablePull {
    ShardId from;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static HolderTablePull decode(const Envelope &envelope);

    friend auto operator<=>(const HolderTablePull &, const HolderTablePull &) = default;
};

/// A lease in a heartbeat or a promise.
struct LeaseState {
    ShardId shard;
    Fence fence;
    /// Version of the lease row. A promise repeats the version of the heartbeat.
    RowVersion version;
    /// The holder has released the shard; a successor may take it over immediately.
    bool isReleased;

    friend auto operator<=>(const LeaseState &, const LeaseState &) = default;
};

/// Sent by a holder to a successor named in its lease rows: asks it not to take over these shards for the promise term.
struct LeaseHeartbeat {
    SenderTime asked;
    std::vector<LeaseState> marks;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static LeaseHeartbeat decode(const Envelope &envelope);

    friend auto operator<=>(const LeaseHeartbeat &, const LeaseHeartbeat &) = default;
};

/// Promise of the successor not to take over these shards for the promise term.
struct LeasePromise {
    SenderTime asked;
    std::vector<LeaseState> marks;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static LeasePromise decode(const Envelope &envelope);

    friend auto operator<=>(const LeasePromise &, const LeasePromise &) = default;
};

} // namespace banyankeel

#pragma once

// The lease of one shard, stored as a row of the table "leases".
//
//   LeaseRow row = LeaseRow::decode(storeRow.value);

#include "state/shard.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace banyankeel
{

/// The holder of a shard and the successors that may take over without waiting for the long term. Immutable after construction.
struct LeaseRow {
    Peer holder;
    Fence fence;
    std::vector<Peer> successors;
    /// The holder has released the shard and no longer uses it.
    bool isReleased = false;

    [[nodiscard]] std::string encode() const;
    /// @throws ProtocolError, IdentifierError, ValueError on malformed bytes.
    static LeaseRow decode(std::string_view bytes);

    friend auto operator<=>(const LeaseRow &, const LeaseRow &) = default;
};

/// The key of the lease row of @p shard, such as "quota-00003".
std::string leaseKey(const ShardId &shard);

} // namespace banyankeel

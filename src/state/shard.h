#pragma once

// Shards distribute coordination work (quotas of organisations, claims of requests, directory of services) over nodes.
// The holder of a shard has a lease in the store, with a fencing token that increases with each change of holder.
//
//   ShardId shard = shardOf(ShardKind::Quota, organisation.text(), shardCount);

#include "state/peer.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace banyankeel
{

/// The purpose of a shard. The values are part of store keys and messages.
enum class ShardKind : std::uint8_t {
    Quota = 1,
    Claims = 2,
    Directory = 3,
};

/// Returns "quota", "claims" or "directory".
std::string_view nameOf(ShardKind kind);

/// Identifies a shard. Not modified after construction.
struct ShardId {
    ShardKind kind;
    std::uint16_t index;

    friend auto operator<=>(const ShardId &, const ShardId &) = default;
};

/// Fencing token of a shard, incremented with each change of holder. Messages and writes with a lower token are rejected.
enum class Fence : std::uint64_t {};

/// The holder of a shard according to the lease row in the store.
struct ShardHolder {
    ShardId shard;
    Peer holder;
    Fence fence;

    friend auto operator<=>(const ShardHolder &, const ShardHolder &) = default;
};

/// Returns the shard of @p kind that @p name maps to. Deterministic across processes.
/// @throws ValueError if @p shardCount is zero.
ShardId shardOf(ShardKind kind, std::string_view name, std::uint16_t shardCount);

} // namespace banyankeel

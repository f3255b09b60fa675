#include "state/shard.h"

#include "state/errors.h"

#include <xxhash.h>

namespace banyankeel
{

std::string_view nameOf(ShardKind kind)
{
    switch (kind) {
    case ShardKind::Quota:
        return "quota";
    case ShardKind::Claims:
        return "claims";
    case ShardKind::Directory:
        return "directory";
    }
    return "unknown";
}

ShardId shardOf(ShardKind kind, std::string_view name, std::uint16_t shardCount)
{
    if (shardCount == 0) {
        throw ValueError("shard count: 0 found, 1 to 65535 allowed");
    }
    const std::uint64_t hash = XXH3_64bits_withSeed(name.data(), name.size(), static_cast<XXH64_hash_t>(kind));
    return {kind, static_cast<std::uint16_t>(hash % shardCount)};
}

} // namespace banyankeel

#include "protocol/peercodec.h"

#include "state/errors.h"

#include <limits>

namespace banyankeel
{

void writeShard(WireWriter &writer, const ShardId &shard)
{
    writer.compactNumber(static_cast<std::uint64_t>(shard.kind));
    writer.compactNumber(shard.index);
}

ShardId readShard(WireReader &reader)
{
    const auto kind = reader.number("shard kind", static_cast<std::uint64_t>(ShardKind::Directory));
    if (kind < static_cast<std::uint64_t>(ShardKind::Quota)) {
        throw ProtocolError("shard: field shard kind: 0 found, 1 to 3 allowed");
    }
    const auto index = reader.number("shard index", std::numeric_limits<std::uint16_t>::max());
    return {static_cast<ShardKind>(kind), static_cast<std::uint16_t>(index)};
}

void writeFence(WireWriter &writer, Fence fence)
{
    writer.compactNumber(static_cast<std::uint64_t>(fence));
}

Fence readFence(WireReader &reader)
{
    return static_cast<Fence>(reader.number("fence"));
}

} // namespace banyankeel

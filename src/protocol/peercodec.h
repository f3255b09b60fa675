#pragma once

// Encodes shards and fences in messages and store rows.
//
//   writeShard(writer, shard);
//   ShardId same = readShard(reader);

#include "protocol/statecodec.h"
#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/shard.h"

namespace banyankeel
{

void writeShard(WireWriter &writer, const ShardId &shard);
/// @throws ProtocolError on malformed fields.
ShardId readShard(WireReader &reader);

void writeFence(WireWriter &writer, Fence fence);
/// @throws ProtocolError on malformed fields.
Fence readFence(WireReader &reader);

} // namespace banyankeel

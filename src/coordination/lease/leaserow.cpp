#include "coordination/lease/leaserow.h"

#include "protocol/peercodec.h"

#include <fmt/format.h>

namespace banyankeel
{

namespace
{
constexpr std::size_t MaxSuccessors = 8;

} // namespace

std::string LeaseRow::encode() const
{
    WireWriter writer;
    writePeer(writer, holder);
    writeFence(writer, fence);
    writer.count(successors.size());
    for (const Peer &it : successors) {
        writePeer(writer, it);
    }
    writer.flag(isReleased);
    return writer.take();
}

LeaseRow LeaseRow::decode(std::string_view bytes)
{
    WireReader reader(bytes, "lease row");
    Peer holder = readPeer(reader);
    const Fence fence = readFence(reader);
    const std::size_t n = reader.count("successors", MaxSuccessors);
    std::vector<Peer> successors;
    for (std::size_t i = 0; i < n; ++i) {
        successors.push_back(readPeer(reader));
    }
    const bool isReleased = reader.flag("released");
    reader.finish();
    return {std::move(holder), fence, std::move(successors), isReleased};
}

std::string leaseKey(const ShardId &shard)
{
    return fmt::format("{}-{:05}", nameOf(shard.kind), shard.index);
}

} // namespace banyankeel

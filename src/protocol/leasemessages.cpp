#include "protocol/leasemessages.h"

#include "protocol/peercodec.h"
#include "state/errors.h"

namespace banyankeel
{

namespace
{
void requireType(const Envelope &envelope, MessageType type, const char *message)
{
    if (envelope.type != type) {
        throw ProtocolError(std::string(message) + ": unexpected message type");
    }
}

std::string encodeMarks(SenderTime asked, const std::vector<LeaseState> &marks)
{
    WireWriter writer;
    writer.duration(Duration(static_cast<std::int64_t>(asked)));
    writer.count(marks.size());
    for (const LeaseState &it : marks) {
        writeShard(writer, it.shard);
        writeFence(writer, it.fence);
        writer.compactNumber(it.version);
        writer.flag(it.isReleased);
    }
    return writer.take();
}

template<typename Message>
Message decodeMarks(const Envelope &envelope, const char *name)
{
    WireReader reader(envelope.payload, name);
    Message message{static_cast<SenderTime>(reader.duration("asked").count()), {}};
    const std::size_t n = reader.itemCount("marks");
    for (std::size_t i = 0; i < n; ++i) {
        const ShardId shard = readShard(reader);
        const Fence fence = readFence(reader);
        const RowVersion version = reader.number("version");
        const bool isReleased = reader.flag("released");
        message.marks.push_back({shard, fence, version, isReleased});
    }
    reader.finish();
    return message;
}
} // namespace

Envelope HolderTable::encode() const
{
    WireWriter writer;
    writer.count(holders.size());
    for (const ShardHolder &it : holders) {
        writeShard(writer, it.shard);
        writePeer(writer, it.holder);
        writeFence(writer, it.fence);
    }
    writer.bytes(layout);
    return {MessageType::HolderTable, writer.take()};
}

HolderTable HolderTable::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::HolderTable, "holder table");
    WireReader reader(envelope.payload, "holder table");
    const std::size_t n = reader.itemCount("holders");
    HolderTable table;
    for (std::size_t i = 0; i < n; ++i) {
        const ShardId shard = readShard(reader);
        Peer holder = readPeer(reader);
        const Fence fence = readFence(reader);
        table.holders.push_back({shard, std::move(holder), fence});
    }
    table.layout = reader.bytes("layout");
    reader.finish();
    return table;
}

Envelope HolderTablePull::encode() const
{
    WireWriter writer;
    writeShard(writer, from);
    return {MessageType::HolderTablePull, writer.take()};
}

HolderTablePull HolderTablePull::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::HolderTablePull, "holder table pull");
    WireReader reader(envelope.payload, "holder table pull");
    const ShardId from = readShard(reader);
    reader.finish();
    return {from};
}

Envelope LeaseHeartbeat::encode() const
{
    return {MessageType::LeaseHeartbeat, encodeMarks(asked, marks)};
}

LeaseHeartbeat LeaseHeartbeat::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::LeaseHeartbeat, "lease heartbeat");
    return decodeMarks<LeaseHeartbeat>(envelope, "lease heartbeat");
}

Envelope LeasePromise::encode() const
{
    return {MessageType::LeasePromise, encodeMarks(asked, marks)};
}

LeasePromise LeasePromise::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::LeasePromise, "lease promise");
    return decodeMarks<LeasePromise>(envelope, "lease promise");
}

} // namespace banyankeel

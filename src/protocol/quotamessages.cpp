#include "protocol/quotamessages.h"

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

void writeAmount(WireWriter &writer, MilliTokens amount)
{
    writer.compactNumber(static_cast<std::uint64_t>(amount));
}

MilliTokens readAmount(WireReader &reader, std::string_view field)
{
    return static_cast<MilliTokens>(reader.number(field));
}

void writeAskId(WireWriter &writer, QuotaRequestId ask)
{
    writer.compactNumber(static_cast<std::uint64_t>(ask));
}

QuotaRequestId readAskId(WireReader &reader, std::string_view field)
{
    return static_cast<QuotaRequestId>(reader.number(field));
}

void writeAskItem(WireWriter &writer, const QuotaRequestItem &item)
{
    writer.text(item.organisation.text());
    writeAskId(writer, item.ask);
    writeAskId(writer, item.applied);
    writeFence(writer, item.fence);
    writeAmount(writer, item.rate);
    writeAmount(writer, item.capacity);
    writeAmount(writer, item.kept);
    writer.duration(item.remaining);
    writeAmount(writer, item.demand);
    writeAmount(writer, item.wanted);
}

QuotaRequestItem readAskItem(WireReader &reader)
{
    auto organisation = reader.name<OrganisationId>("organisation");
    const QuotaRequestId ask = readAskId(reader, "ask");
    const QuotaRequestId applied = readAskId(reader, "applied");
    const Fence fence = readFence(reader);
    const MilliTokens rate = readAmount(reader, "rate");
    const MilliTokens capacity = readAmount(reader, "capacity");
    const MilliTokens kept = readAmount(reader, "kept");
    const Duration remaining = reader.duration("remaining");
    const MilliTokens demand = readAmount(reader, "demand");
    const MilliTokens wanted = readAmount(reader, "wanted");
    return {std::move(organisation), ask, applied, fence, rate, capacity, kept, remaining, demand, wanted};
}
} // namespace

Envelope QuotaRequest::encode() const
{
    WireWriter writer;
    writeShard(writer, shard);
    writer.count(items.size());
    for (const QuotaRequestItem &it : items) {
        writeAskItem(writer, it);
    }
    return {MessageType::QuotaRequest, writer.take()};
}

QuotaRequest QuotaRequest::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::QuotaRequest, "quota request");
    WireReader reader(envelope.payload, "quota request");
    QuotaRequest message{readShard(reader), {}};
    const std::size_t n = reader.itemCount("items");
    for (std::size_t i = 0; i < n; ++i) {
        message.items.push_back(readAskItem(reader));
    }
    reader.finish();
    return message;
}

Envelope QuotaGrant::encode() const
{
    WireWriter writer;
    writeShard(writer, shard);
    writeFence(writer, fence);
    writer.count(items.size());
    for (const QuotaGrantItem &it : items) {
        writer.text(it.organisation.text());
        writeAskId(writer, it.ask);
        writeAmount(writer, it.rate);
        writeAmount(writer, it.capacity);
        writeAmount(writer, it.tokens);
        writer.duration(it.term);
    }
    return {MessageType::QuotaGrant, writer.take()};
}

QuotaGrant QuotaGrant::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::QuotaGrant, "quota grant");
    WireReader reader(envelope.payload, "quota grant");
    const ShardId shard = readShard(reader);
    QuotaGrant message{shard, readFence(reader), {}};
    const std::size_t n = reader.itemCount("items");
    for (std::size_t i = 0; i < n; ++i) {
        auto organisation = reader.name<OrganisationId>("organisation");
        const QuotaRequestId ask = readAskId(reader, "ask");
        const MilliTokens rate = readAmount(reader, "rate");
        const MilliTokens capacity = readAmount(reader, "capacity");
        const MilliTokens tokens = readAmount(reader, "tokens");
        const Duration term = reader.duration("term");
        message.items.push_back({std::move(organisation), ask, rate, capacity, tokens, term});
    }
    reader.finish();
    return message;
}

Envelope QuotaReturn::encode() const
{
    WireWriter writer;
    writeShard(writer, shard);
    writer.count(items.size());
    for (const QuotaReturnItem &it : items) {
        writer.text(it.organisation.text());
        writeAskId(writer, it.ask);
        writeAmount(writer, it.tokens);
    }
    return {MessageType::QuotaReturn, writer.take()};
}

QuotaReturn QuotaReturn::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::QuotaReturn, "quota return");
    WireReader reader(envelope.payload, "quota return");
    QuotaReturn message{readShard(reader), {}};
    const std::size_t n = reader.itemCount("items");
    for (std::size_t i = 0; i < n; ++i) {
        auto organisation = reader.name<OrganisationId>("organisation");
        const QuotaRequestId ask = readAskId(reader, "ask");
        message.items.push_back({std::move(organisation), ask, readAmount(reader, "tokens")});
    }
    reader.finish();
    return message;
}

} // namespace banyankeel

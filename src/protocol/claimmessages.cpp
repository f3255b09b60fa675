#include "protocol/claimmessages.h"

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

std::string encodeItems(const ShardId &shard, const std::vector<ClaimItem> &items)
{
    WireWriter writer;
    writeShard(writer, shard);
    writer.count(items.size());
    for (const ClaimItem &it : items) {
        writer.compactNumber(static_cast<std::uint64_t>(it.ticket));
        writer.number(it.request.high());
        writer.number(it.request.low());
    }
    return writer.take();
}

template<typename Message>
Message decodeItems(const Envelope &envelope, const char *name)
{
    WireReader reader(envelope.payload, name);
    Message message{readShard(reader), {}};
    const std::size_t n = reader.itemCount("items");
    std::vector<ClaimItem> items;
    for (std::size_t i = 0; i < n; ++i) {
        const auto ticket = static_cast<ClaimTicket>(reader.number("ticket"));
        const std::uint64_t high = reader.number("request");
        const std::uint64_t low = reader.number("request");
        items.push_back({ticket, RequestId(high, low)});
    }
    reader.finish();
    return {message.shard, std::move(items)};
}
} // namespace

Envelope ClaimSubmission::encode() const
{
    return {MessageType::ClaimSubmission, encodeItems(shard, items)};
}

ClaimSubmission ClaimSubmission::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::ClaimSubmission, "claim submission");
    return decodeItems<ClaimSubmission>(envelope, "claim submission");
}

Envelope ClaimAnswer::encode() const
{
    WireWriter writer;
    writer.count(verdicts.size());
    for (const ClaimVerdict &it : verdicts) {
        writer.compactNumber(static_cast<std::uint64_t>(it.ticket));
        writer.compactNumber(static_cast<std::uint64_t>(it.decision));
    }
    return {MessageType::ClaimAnswer, writer.take()};
}

ClaimAnswer ClaimAnswer::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::ClaimAnswer, "claim answer");
    WireReader reader(envelope.payload, "claim answer");
    const std::size_t n = reader.itemCount("verdicts");
    ClaimAnswer answer;
    for (std::size_t i = 0; i < n; ++i) {
        const auto ticket = static_cast<ClaimTicket>(reader.number("ticket"));
        const auto decision = static_cast<ClaimDecision>(reader.number("decision", static_cast<std::uint64_t>(ClaimDecision::Duplicate)));
        if (decision < ClaimDecision::Granted) {
            throw ProtocolError("claim answer: field decision: 0 found, 1 to 2 allowed");
        }
        answer.verdicts.push_back({ticket, decision});
    }
    reader.finish();
    return answer;
}

Envelope ClaimOutcome::encode() const
{
    return {MessageType::ClaimOutcome, encodeItems(shard, abandoned)};
}

ClaimOutcome ClaimOutcome::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::ClaimOutcome, "claim outcome");
    return decodeItems<ClaimOutcome>(envelope, "claim outcome");
}

} // namespace banyankeel

#include "protocol/membershipmessages.h"

#include "protocol/statecodec.h"
#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

#include <limits>
#include <string>
#include <tuple>

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

// Reads an enumerator; the lowest is 1.
template<typename Enum>
Enum readEnum(WireReader &reader, const char *field, Enum highest)
{
    const std::uint64_t value = reader.number(field, static_cast<std::uint64_t>(highest));
    if (value == 0) {
        throw ProtocolError(std::string("membership message: field ") + field + ": 0 is not allowed");
    }
    return static_cast<Enum>(value);
}

void writeRumours(WireWriter &writer, const std::vector<MemberRumour> &rumours)
{
    writer.count(rumours.size());
    for (const MemberRumour &rumour : rumours) {
        writePeer(writer, rumour.peer);
        writer.compactNumber(rumour.version);
        writer.compactNumber(static_cast<std::uint64_t>(rumour.state));
    }
}

std::vector<MemberRumour> readRumours(WireReader &reader)
{
    const std::size_t n = reader.itemCount("members");
    std::vector<MemberRumour> rumours;
    for (std::size_t i = 0; i < n; ++i) {
        Peer peer = readPeer(reader);
        const std::uint64_t version = reader.number("version");
        rumours.push_back({std::move(peer), version, readEnum(reader, "state", MemberState::Gone)});
    }
    return rumours;
}

void writeRecords(WireWriter &writer, const std::vector<TargetRecord> &records)
{
    writer.count(records.size());
    for (const TargetRecord &record : records) {
        writeTargetRecord(writer, record);
    }
}

std::vector<TargetRecord> readRecords(WireReader &reader)
{
    const std::size_t n = reader.itemCount("records");
    std::vector<TargetRecord> records;
    for (std::size_t i = 0; i < n; ++i) {
        records.push_back(readTargetRecord(reader));
    }
    return records;
}
} // namespace

bool MemberRumour::supersedes(const MemberRumour &other) const
{
    return std::tie(peer.incarnation, version, state) > std::tie(other.peer.incarnation, other.version, other.state);
}

Envelope Probe::encode() const
{
    WireWriter writer;
    writer.compactNumber(sequence);
    if (target) {
        writePeer(writer, *target);
    } else {
        writer.absent();
    }
    writeRumours(writer, rumours);
    return {MessageType::Probe, writer.take()};
}

Probe Probe::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::Probe, "probe");
    WireReader reader(envelope.payload, "probe");
    const std::uint64_t sequence = reader.number("sequence");
    std::optional<Peer> target;
    if (!reader.absent()) {
        target = readPeer(reader);
    }
    auto rumours = readRumours(reader);
    reader.finish();
    return {sequence, std::move(target), std::move(rumours)};
}

Envelope ProbeAnswer::encode() const
{
    WireWriter writer;
    writer.compactNumber(sequence);
    writePeer(writer, target);
    writeRumours(writer, rumours);
    return {MessageType::ProbeAnswer, writer.take()};
}

ProbeAnswer ProbeAnswer::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::ProbeAnswer, "probe answer");
    WireReader reader(envelope.payload, "probe answer");
    const std::uint64_t sequence = reader.number("sequence");
    Peer target = readPeer(reader);
    auto rumours = readRumours(reader);
    reader.finish();
    return {sequence, std::move(target), std::move(rumours)};
}

Envelope ViewExchange::encode() const
{
    WireWriter writer;
    writer.flag(isLargeFleet);
    writeRumours(writer, members);
    return {isAnswer ? MessageType::ViewAnswer : MessageType::ViewExchange, writer.take()};
}

ViewExchange ViewExchange::decode(const Envelope &envelope)
{
    const bool isAnswer = envelope.type == MessageType::ViewAnswer;
    requireType(envelope, isAnswer ? MessageType::ViewAnswer : MessageType::ViewExchange, "view exchange");
    WireReader reader(envelope.payload, "view exchange");
    const bool isLargeFleet = reader.flag("large fleet");
    auto members = readRumours(reader);
    reader.finish();
    return {isAnswer, isLargeFleet, std::move(members)};
}

Envelope TargetAnnouncement::encode() const
{
    WireWriter writer;
    writer.flag(isAcknowledgement);
    writer.compactNumber(sequence);
    writeRecords(writer, records);
    return {MessageType::TargetAnnouncement, writer.take()};
}

TargetAnnouncement TargetAnnouncement::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::TargetAnnouncement, "target announcement");
    WireReader reader(envelope.payload, "target announcement");
    const bool isAcknowledgement = reader.flag("acknowledgement");
    const std::uint64_t sequence = reader.number("sequence");
    auto records = readRecords(reader);
    reader.finish();
    return {isAcknowledgement, sequence, std::move(records)};
}

Envelope DirectoryQuery::encode() const
{
    WireWriter writer;
    writer.text(service.text());
    return {MessageType::DirectoryQuery, writer.take()};
}

DirectoryQuery DirectoryQuery::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::DirectoryQuery, "directory query");
    WireReader reader(envelope.payload, "directory query");
    auto service = reader.name<ServiceName>("service");
    reader.finish();
    return {std::move(service)};
}

Envelope DirectoryAnswer::encode() const
{
    WireWriter writer;
    writer.text(service.text());
    writer.flag(isComplete);
    writeRecords(writer, records);
    return {MessageType::DirectoryAnswer, writer.take()};
}

DirectoryAnswer DirectoryAnswer::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::DirectoryAnswer, "directory answer");
    WireReader reader(envelope.payload, "directory answer");
    auto service = reader.name<ServiceName>("service");
    const bool isComplete = reader.flag("complete");
    auto records = readRecords(reader);
    reader.finish();
    return {std::move(service), isComplete, std::move(records)};
}

} // namespace banyankeel

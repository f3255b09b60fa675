#include "protocol/configurationmessages.h"

#include "protocol/statecodec.h"
#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

#include <string>

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

void writeHeartbeat(WireWriter &writer, const std::optional<ReaderHeartbeat> &heartbeat)
{
    if (!heartbeat) {
        writer.absent();
        return;
    }
    writer.text(heartbeat->reader.text());
    writer.compactNumber(static_cast<std::uint64_t>(heartbeat->incarnation));
    writer.compactNumber(heartbeat->sequence);
    writer.flag(heartbeat->isStoreFailing);
}

std::optional<ReaderHeartbeat> readHeartbeat(WireReader &reader)
{
    if (reader.absent()) {
        return std::nullopt;
    }
    auto node = reader.name<NodeId>("reader");
    const auto incarnation = static_cast<Incarnation>(reader.number("incarnation"));
    const std::uint64_t sequence = reader.number("sequence");
    const bool isStoreFailing = reader.flag("store failing");
    return ReaderHeartbeat{std::move(node), incarnation, sequence, isStoreFailing};
}
} // namespace

Envelope ConfigurationDigest::encode() const
{
    WireWriter writer;
    writer.compactNumber(static_cast<std::uint64_t>(kind));
    writer.compactNumber(revision);
    writeDigest(writer, digest);
    writer.flag(isReady);
    if (confirmedAge) {
        writer.duration(*confirmedAge);
    } else {
        writer.absent();
    }
    writer.duration(askedAt);
    writeHeartbeat(writer, heartbeat);
    return {MessageType::ConfigurationDigest, writer.take()};
}

ConfigurationDigest ConfigurationDigest::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::ConfigurationDigest, "configuration digest");
    WireReader reader(envelope.payload, "configuration digest");
    const std::uint64_t kind = reader.number("kind", static_cast<std::uint64_t>(DigestKind::Heartbeat));
    if (kind == 0) {
        throw ProtocolError("configuration digest: field kind: 0 found, 1 to 3 allowed");
    }
    const Revision revision = reader.number("revision");
    const SetDigest digest = readDigest(reader);
    const bool isReady = reader.flag("ready");
    std::optional<Duration> age;
    if (!reader.absent()) {
        age = reader.duration("confirmed age");
    }
    const Duration askedAt = reader.duration("asked at");
    auto heartbeat = readHeartbeat(reader);
    reader.finish();
    return {static_cast<DigestKind>(kind), revision, digest, isReady, age, askedAt, std::move(heartbeat)};
}

Envelope ConfigurationPull::encode() const
{
    WireWriter writer;
    writer.compactNumber(have);
    if (position) {
        writer.compactNumber(position->revision);
        writeObjectName(writer, position->after);
    } else {
        writer.absent();
    }
    return {MessageType::ConfigurationPull, writer.take()};
}

ConfigurationPull ConfigurationPull::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::ConfigurationPull, "configuration pull");
    WireReader reader(envelope.payload, "configuration pull");
    ConfigurationPull pull{.have = reader.number("have"), .position = std::nullopt};
    if (!reader.absent()) {
        const Revision revision = reader.number("revision");
        pull.position = SnapshotPosition{revision, readObjectName(reader)};
    }
    reader.finish();
    return pull;
}

Envelope ConfigurationDelta::encode() const
{
    WireWriter writer;
    writer.compactNumber(base);
    writer.count(changes.size());
    for (const ConfigurationChange &change : changes) {
        writeChange(writer, change);
    }
    writeDigest(writer, digest);
    return {MessageType::ConfigurationDelta, writer.take()};
}

ConfigurationDelta ConfigurationDelta::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::ConfigurationDelta, "configuration delta");
    WireReader reader(envelope.payload, "configuration delta");
    ConfigurationDelta delta{.base = reader.number("base"), .changes = {}, .digest = {}};
    const std::size_t n = reader.itemCount("changes");
    for (std::size_t i = 0; i < n; ++i) {
        delta.changes.push_back(readChange(reader));
    }
    delta.digest = readDigest(reader);
    reader.finish();
    return delta;
}

Envelope ConfigurationSnapshot::encode() const
{
    WireWriter writer;
    writer.compactNumber(revision);
    writeDigest(writer, digest);
    writer.flag(isFirst);
    writer.flag(isLast);
    writer.count(objects.size());
    for (const ConfigurationObject &object : objects) {
        writeObject(writer, object);
    }
    return {MessageType::ConfigurationSnapshot, writer.take()};
}

ConfigurationSnapshot ConfigurationSnapshot::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::ConfigurationSnapshot, "configuration snapshot");
    WireReader reader(envelope.payload, "configuration snapshot");
    ConfigurationSnapshot snapshot{};
    snapshot.revision = reader.number("revision");
    snapshot.digest = readDigest(reader);
    snapshot.isFirst = reader.flag("first");
    snapshot.isLast = reader.flag("last");
    const std::size_t n = reader.itemCount("objects");
    for (std::size_t i = 0; i < n; ++i) {
        snapshot.objects.push_back(readObject(reader));
    }
    reader.finish();
    return snapshot;
}

} // namespace banyankeel

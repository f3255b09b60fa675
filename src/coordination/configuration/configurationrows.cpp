#include "coordination/configuration/configurationrows.h"

#include "protocol/configurationmessages.h"
#include "protocol/statecodec.h"
#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

#include <fmt/format.h>

namespace banyankeel
{

std::string HeadRow::encode() const
{
    WireWriter writer;
    writer.compactNumber(revision);
    writeDigest(writer, digest);
    return writer.take();
}

HeadRow HeadRow::decode(std::string_view value)
{
    WireReader reader(value, "configuration head row");
    const Revision revision = reader.number("revision");
    const SetDigest digest = readDigest(reader);
    reader.finish();
    return {revision, digest};
}

std::string ChangeRow::encode() const
{
    WireWriter writer;
    writer.compactNumber(revision);
    writer.text(operation.text());
    writer.text(author);
    writer.duration(time.time_since_epoch());
    writeDigest(writer, digest);
    writeChange(writer, change);
    return writer.take();
}

ChangeRow ChangeRow::decode(std::string_view value)
{
    WireReader reader(value, "configuration change row");
    const Revision revision = reader.number("revision");
    OperationId operation(reader.text("operation"));
    std::string author = reader.text("author");
    const WallTime time(std::chrono::duration_cast<WallTime::duration>(reader.duration("time")));
    const SetDigest digest = readDigest(reader);
    ConfigurationChange change = readChange(reader);
    reader.finish();
    return {revision, std::move(operation), std::move(author), time, digest, std::move(change)};
}

std::string SnapshotRow::encode() const
{
    WireWriter writer;
    writer.compactNumber(revision);
    writer.text(object);
    return writer.take();
}

SnapshotRow SnapshotRow::decode(std::string_view value)
{
    WireReader reader(value, "configuration snapshot row");
    const Revision revision = reader.number("revision");
    std::string object = reader.text("object");
    reader.finish();
    return {revision, std::move(object)};
}

RowKey headKey()
{
    return {std::string(ConfigurationTable), "head"};
}

RowKey snapshotKey()
{
    return {std::string(ConfigurationTable), "snapshot"};
}

RowKey changeKey(Revision revision)
{
    return {std::string(ConfigurationTable), fmt::format("{}{:020}", ChangePrefix, revision)};
}

ListRows historyRequest(Revision revision, std::uint32_t limit)
{
    return {.table = std::string(ConfigurationTable), .prefix = std::string(ChangePrefix), .after = changeKey(revision).key, .limit = limit};
}

std::vector<ChangeRow> decodeHistory(const RowsRead &reply)
{
    std::vector<ChangeRow> changes;
    for (const Row &row : reply.rows) {
        changes.push_back(ChangeRow::decode(row.value));
    }
    return changes;
}

std::string encodeSnapshot(const ConfigurationSet &set, const SetDigest &digest)
{
    ConfigurationSnapshot snapshot{.revision = set.revision(), .digest = digest, .isFirst = true, .isLast = true, .objects = {}};
    for (const auto &[name, object] : set.objects()) {
        snapshot.objects.push_back(*object);
    }
    return snapshot.encode().payload;
}

ConfigurationSet decodeSnapshot(const std::string &bytes)
{
    ConfigurationSnapshot snapshot = ConfigurationSnapshot::decode({MessageType::ConfigurationSnapshot, bytes});
    ConfigurationSet set = ConfigurationSet().with({.put = std::move(snapshot.objects), .removed = {}}, snapshot.revision);
    if (digestOf(set) != snapshot.digest) {
        throw ProtocolError(fmt::format("configuration snapshot: revision {}: objects do not match the digest", snapshot.revision));
    }
    return set;
}

} // namespace banyankeel

#include "protocol/reportbatch.h"

#include "protocol/statecodec.h"
#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

#include <algorithm>

namespace banyankeel
{

namespace
{
// Ages above it are sent as this one.
constexpr std::uint64_t MaxAgeMilliseconds = 3'600'000;

std::uint64_t millisecondsOf(Duration age)
{
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(std::max(age, Duration::zero()));
    return std::min(MaxAgeMilliseconds, static_cast<std::uint64_t>(milliseconds.count()));
}

void writeEntry(WireWriter &writer, const RelayedReport &entry)
{
    writer.text(entry.node.text());
    writer.compactNumber(static_cast<std::uint64_t>(entry.incarnation));
    if (entry.peer) {
        writePeer(writer, *entry.peer);
    } else {
        writer.absent();
    }
    writer.compactNumber(millisecondsOf(entry.age));
    writer.bytes(entry.report);
}

RelayedReport readEntry(WireReader &reader)
{
    auto node = reader.name<NodeId>("node");
    const auto incarnation = static_cast<Incarnation>(reader.number("incarnation"));
    std::optional<Peer> peer;
    if (!reader.absent()) {
        peer = readPeer(reader);
    }
    const Duration age = std::chrono::milliseconds(reader.number("age", MaxAgeMilliseconds));
    return {std::move(node), incarnation, std::move(peer), age, reader.bytes("report")};
}
} // namespace

Envelope ReportBatch::encode() const
{
    WireWriter writer;
    writer.flag(isUrgent);
    writer.count(entries.size());
    for (const RelayedReport &it : entries) {
        writeEntry(writer, it);
    }
    writer.count(loads.size());
    for (const RegionLoad &it : loads) {
        writer.text(it.region.text());
        writeLoadReport(writer, it.load);
    }
    writer.compactNumber(static_cast<std::uint64_t>(configuration));
    if (configurationAge) {
        writer.compactNumber(millisecondsOf(*configurationAge));
    } else {
        writer.absent();
    }
    return {MessageType::ReportBatch, writer.take()};
}

ReportBatch ReportBatch::decode(const Envelope &envelope)
{
    if (envelope.type != MessageType::ReportBatch) {
        throw ProtocolError("report batch: unexpected message type");
    }
    WireReader reader(envelope.payload, "report batch");
    ReportBatch batch{.entries = {}, .loads = {}, .isUrgent = reader.flag("urgent")};
    const std::size_t entries = reader.itemCount("entries");
    for (std::size_t i = 0; i < entries; ++i) {
        batch.entries.push_back(readEntry(reader));
    }
    const std::size_t loads = reader.itemCount("loads");
    for (std::size_t i = 0; i < loads; ++i) {
        auto region = reader.name<RegionName>("load region");
        batch.loads.push_back({std::move(region), readLoadReport(reader)});
    }
    batch.configuration = static_cast<ConfigurationVersion>(reader.number("configuration"));
    if (!reader.absent()) {
        batch.configurationAge = std::chrono::milliseconds(reader.number("configuration age", MaxAgeMilliseconds));
    }
    reader.finish();
    return batch;
}

} // namespace banyankeel

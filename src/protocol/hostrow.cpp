#include "protocol/hostrow.h"

#include "protocol/statecodec.h"
#include "protocol/targetcodec.h"
#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"

namespace banyankeel
{

namespace
{
void writeTarget(WireWriter &writer, const std::optional<StoredTarget> &target)
{
    if (!target) {
        writer.absent();
        return;
    }
    writeBoot(writer, target->boot);
    writer.compactNumber(target->slots);
}

std::optional<StoredTarget> readTarget(WireReader &reader)
{
    if (reader.absent()) {
        return std::nullopt;
    }
    TargetBoot boot = readBoot(reader);
    const auto slots = static_cast<std::uint32_t>(reader.number("slots", MaxTargetSlots));
    return StoredTarget{std::move(boot), slots};
}
} // namespace

std::string HostRow::encode() const
{
    WireWriter writer;
    writePeer(writer, peer);
    writeTarget(writer, target);
    writeDepartures(writer, departures);
    writeRate(writer, target ? target->ratePerSecond : std::nullopt);
    return writer.take();
}

HostRow HostRow::decode(const std::string &value)
{
    WireReader reader(value, "host row");
    Peer peer = readPeer(reader);
    std::optional<StoredTarget> target = readTarget(reader);
    std::vector<TargetDeparture> departures = readDepartures(reader);
    // Rows of earlier versions end here.
    const std::optional<double> ratePerSecond = reader.isAtEnd() ? std::nullopt : readRate(reader);
    if (target) {
        target->ratePerSecond = ratePerSecond;
    }
    reader.finish();
    return {std::move(peer), std::move(target), std::move(departures)};
}

RowKey HostRow::key() const
{
    return {std::string(table()), peer.node.text()};
}

std::string_view HostRow::table()
{
    return "hosts";
}

} // namespace banyankeel

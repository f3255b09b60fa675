#include "protocol/hostrow.h"

#include "protocol/departurecodec.h"
#include "protocol/statecodec.h"
#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"

#include <limits>

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
    writer.text(target->boot.name);
    if (target->boot.startedAt) {
        writer.number(static_cast<std::uint64_t>(target->boot.startedAt->time_since_epoch().count()));
    } else {
        writer.absent();
    }
    writer.compactNumber(target->slots);
}

std::optional<StoredTarget> readTarget(WireReader &reader)
{
    if (reader.absent()) {
        return std::nullopt;
    }
    StoredTarget target{{reader.text("target name"), std::nullopt}, 0};
    if (!reader.absent()) {
        target.boot.startedAt = WallTime(std::chrono::microseconds(static_cast<std::int64_t>(reader.number("started at"))));
    }
    target.slots = static_cast<std::uint32_t>(reader.number("slots", std::numeric_limits<std::uint32_t>::max()));
    return target;
}
} // namespace

std::string HostRow::encode() const
{
    WireWriter writer;
    writePeer(writer, peer);
    writeTarget(writer, target);
    writeDepartures(writer, departures);
    return writer.take();
}

HostRow HostRow::decode(const std::string &value)
{
    WireReader reader(value, "host row");
    Peer peer = readPeer(reader);
    std::optional<StoredTarget> target = readTarget(reader);
    std::vector<TargetDeparture> departures = readDepartures(reader);
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

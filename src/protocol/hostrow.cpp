#include "protocol/hostrow.h"

#include "protocol/statecodec.h"
#include "protocol/targetcodec.h"
#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <span>

namespace banyankeel
{

namespace
{
// The longest key that a store takes. The row of a longer name stands under a hash of it; the row itself has the name.
constexpr std::size_t MaxKeyBytes = 200;
// Leaves room for the rest of the row below the 64 KiB that a store takes.
constexpr std::size_t MaxQuarantineBytes = std::size_t{32} * 1024;

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

/// The number of quarantines, from the first one on, that fit into a row.
std::size_t storableCount(const std::vector<StoredQuarantine> &quarantines)
{
    // Hash, time and the headers of the texts.
    constexpr std::size_t FixedBytes = 32;
    std::size_t bytes = 0;
    const auto isBeyond = [&bytes](const StoredQuarantine &it) {
        bytes += it.fingerprint.organisation.text().size() + it.fingerprint.route.text().size() + FixedBytes;
        return bytes > MaxQuarantineBytes;
    };
    return static_cast<std::size_t>(std::ranges::find_if(quarantines, isBeyond) - quarantines.begin());
}

void writeQuarantines(WireWriter &writer, const std::vector<StoredQuarantine> &quarantines)
{
    const std::size_t count = storableCount(quarantines);
    writer.count(count);
    for (const StoredQuarantine &it : std::span(quarantines).first(count)) {
        writer.text(it.fingerprint.organisation.text());
        writer.text(it.fingerprint.route.text());
        writer.number(it.fingerprint.requestHash);
        writer.number(static_cast<std::uint64_t>(it.until.time_since_epoch().count()));
    }
}

std::vector<StoredQuarantine> readQuarantines(WireReader &reader)
{
    const std::size_t n = reader.itemCount("quarantines");
    std::vector<StoredQuarantine> quarantines;
    for (std::size_t i = 0; i < n; ++i) {
        auto organisation = reader.name<OrganisationId>("organisation");
        auto route = reader.name<RouteName>("route");
        const std::uint64_t hash = reader.number("request hash");
        const auto micros = static_cast<std::int64_t>(reader.number("quarantined until"));
        quarantines.push_back({{std::move(organisation), std::move(route), hash}, WallTime(std::chrono::microseconds(micros))});
    }
    return quarantines;
}
} // namespace

std::string HostRow::encode() const
{
    WireWriter writer;
    writePeer(writer, peer);
    writeTarget(writer, target);
    writeDepartures(writer, departures);
    writeRate(writer, target ? target->ratePerSecond : std::nullopt);
    writeQuarantines(writer, quarantines);
    return writer.take();
}

HostRow HostRow::decode(const std::string &value)
{
    WireReader reader(value, "host row");
    Peer peer = readPeer(reader);
    std::optional<StoredTarget> target = readTarget(reader);
    std::vector<TargetDeparture> departures = readDepartures(reader);
    // Rows of earlier versions end here or after the rate.
    const std::optional<double> ratePerSecond = reader.isAtEnd() ? std::nullopt : readRate(reader);
    if (target) {
        target->ratePerSecond = ratePerSecond;
    }
    std::vector<StoredQuarantine> quarantines = reader.isAtEnd() ? std::vector<StoredQuarantine>() : readQuarantines(reader);
    reader.finish();
    return {std::move(peer), std::move(target), std::move(departures), std::move(quarantines)};
}

RowKey HostRow::key() const
{
    return keyOf(peer.node);
}

RowKey HostRow::keyOf(const NodeId &node)
{
    const std::string &name = node.text();
    if (name.size() <= MaxKeyBytes) {
        return {std::string(table()), name};
    }
    const XXH128_hash_t hash = XXH3_128bits(name.data(), name.size());
    return {std::string(table()), fmt::format("{:016x}{:016x}", hash.high64, hash.low64)};
}

std::string_view HostRow::table()
{
    return "hosts";
}

} // namespace banyankeel

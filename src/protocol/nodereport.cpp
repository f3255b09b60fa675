#include "protocol/nodereport.h"

#include "protocol/statecodec.h"
#include "protocol/targetcodec.h"
#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

#include <array>
#include <cmath>
#include <string>

namespace banyankeel
{

namespace
{
// Added to counts on the wire: returned requests can make a count briefly negative, and the offset keeps its encoding short.
constexpr std::int64_t TakenOffset = 32'768;
// Resolution of rates on the wire, in steps per request per second.
constexpr double RateStepsPerUnit = 64;

void writeRateLimit(WireWriter &writer, const std::optional<TargetRateLimit> &limit)
{
    writer.flag(limit.has_value());
    if (limit) {
        writeBoot(writer, limit->boot);
        writeRate(writer, limit->ratePerSecond);
    }
}

std::optional<TargetRateLimit> readRateLimit(WireReader &reader)
{
    if (!reader.flag("rate limit known")) {
        return std::nullopt;
    }
    TargetBoot boot = readBoot(reader);
    const std::optional<double> rate = readRate(reader);
    return TargetRateLimit{std::move(boot), rate};
}

void requireType(const Envelope &envelope, MessageType type, const char *message)
{
    if (envelope.type != type) {
        throw ProtocolError(std::string(message) + ": unexpected message type");
    }
}

constexpr std::size_t FlagCount = 6;

/// One bit a flag, the first in the lowest bit. Six flags take one byte.
std::uint64_t packFlags(const std::array<bool, FlagCount> &flags)
{
    std::uint64_t bits = 0;
    for (std::size_t n = 0; n < FlagCount; ++n) {
        bits |= flags[n] ? std::uint64_t{1} << n : 0;
    }
    return bits;
}

std::array<bool, FlagCount> readFlags(WireReader &reader)
{
    const std::uint64_t bits = reader.number("flags", (std::uint64_t{1} << FlagCount) - 1);
    std::array<bool, FlagCount> flags{};
    for (std::size_t n = 0; n < FlagCount; ++n) {
        flags[n] = ((bits >> n) & 1U) != 0;
    }
    return flags;
}

void writeUses(WireWriter &writer, const std::vector<OrganisationUsage> &uses)
{
    writer.count(uses.size());
    for (const OrganisationUsage &it : uses) {
        writer.text(it.organisation.text());
        writer.compactNumber(static_cast<std::uint64_t>(it.taken + TakenOffset));
        writer.compactNumber(static_cast<std::uint64_t>(std::llround(it.ratePerSecond * RateStepsPerUnit)));
    }
}

std::vector<OrganisationUsage> readUses(WireReader &reader)
{
    const std::size_t n = reader.itemCount("uses");
    std::vector<OrganisationUsage> uses;
    for (std::size_t i = 0; i < n; ++i) {
        auto organisation = reader.name<OrganisationId>("organisation");
        const auto taken = static_cast<std::int64_t>(reader.number("taken")) - TakenOffset;
        const double rate = static_cast<double>(reader.number("rate")) / RateStepsPerUnit;
        uses.push_back({std::move(organisation), taken, rate});
    }
    return uses;
}
} // namespace

Envelope NodeReport::encode() const
{
    WireWriter writer;
    writer.compactNumber(packFlags({asksReply, isComplete, isStopping, isStoreReachable, isForRelay, isUrgent}));
    writer.compactNumber(static_cast<std::uint64_t>(configuration));
    if (target) {
        writeTargetRecord(writer, *target);
    } else {
        writer.absent();
    }
    writeDepartures(writer, departures);
    writeDepartures(writer, receiverDepartures);
    writeUses(writer, uses);
    if (load) {
        writeLoadReport(writer, *load);
    } else {
        writer.absent();
    }
    writeRateLimit(writer, rateLimit);
    writeRateLimit(writer, receiverRateLimit);
    writer.compactNumber(sequence);
    writer.compactNumber(static_cast<std::uint64_t>(subscription));
    writer.compactNumber(static_cast<std::uint64_t>(history));
    writeCrashReports(writer, crashReports);
    return {MessageType::NodeReport, writer.take()};
}

NodeReport NodeReport::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::NodeReport, "node report");
    WireReader reader(envelope.payload, "node report");
    const auto [asksReply, isComplete, isStopping, isStoreReachable, isForRelay, isUrgent] = readFlags(reader);
    const auto configuration = static_cast<ConfigurationVersion>(reader.number("configuration"));
    std::optional<TargetRecord> target;
    if (!reader.absent()) {
        target = readTargetRecord(reader);
    }
    std::vector<TargetDeparture> departures = readDepartures(reader);
    std::vector<TargetDeparture> receiverDepartures = readDepartures(reader);
    std::vector<OrganisationUsage> uses = readUses(reader);
    std::optional<LoadReport> load;
    if (!reader.absent()) {
        load = readLoadReport(reader);
    }
    std::optional<TargetRateLimit> rateLimit = readRateLimit(reader);
    std::optional<TargetRateLimit> receiverRateLimit = readRateLimit(reader);
    const std::uint64_t sequence = reader.number("sequence");
    const auto subscription = static_cast<ReportSubscription>(reader.number("subscription", static_cast<std::uint64_t>(ReportSubscription::Fleet)));
    const auto history = static_cast<ReportHistory>(reader.number("history", static_cast<std::uint64_t>(ReportHistory::Full)));
    std::vector<CrashReport> crashReports = readCrashReports(reader);
    reader.finish();
    return {
        asksReply,
        isComplete,
        configuration,
        std::move(target),
        std::move(departures),
        std::move(receiverDepartures),
        std::move(uses),
        isStopping,
        std::move(load),
        isStoreReachable,
        std::move(rateLimit),
        std::move(receiverRateLimit),
        sequence,
        isForRelay,
        isUrgent,
        subscription,
        history,
        std::move(crashReports),
    };
}

Envelope ConfigurationRequest::encode() const
{
    WireWriter writer;
    writer.compactNumber(static_cast<std::uint64_t>(newerThan));
    return {MessageType::ConfigurationRequest, writer.take()};
}

ConfigurationRequest ConfigurationRequest::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::ConfigurationRequest, "configuration request");
    WireReader reader(envelope.payload, "configuration request");
    const auto version = static_cast<ConfigurationVersion>(reader.number("newer than"));
    reader.finish();
    return {version};
}

Envelope ConfigurationDocument::encode() const
{
    WireWriter writer;
    writer.bytes(text);
    writer.number(rowVersion);
    return {MessageType::ConfigurationDocument, writer.take()};
}

ConfigurationDocument ConfigurationDocument::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::ConfigurationDocument, "configuration document");
    WireReader reader(envelope.payload, "configuration document");
    std::string text = reader.bytes("text");
    const RowVersion rowVersion = reader.number("row version");
    reader.finish();
    return {std::move(text), rowVersion};
}

} // namespace banyankeel

#include "protocol/targetcodec.h"

#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

#include <cmath>
#include <string>

namespace banyankeel
{

void writeDepartures(WireWriter &writer, const std::vector<TargetDeparture> &departures)
{
    writer.count(departures.size());
    for (const TargetDeparture &it : departures) {
        writer.text(it.name);
        writer.number(static_cast<std::uint64_t>(it.startedUntil.time_since_epoch().count()));
    }
}

std::vector<TargetDeparture> readDepartures(WireReader &reader)
{
    const std::size_t n = reader.itemCount("leavings");
    std::vector<TargetDeparture> departures;
    for (std::size_t i = 0; i < n; ++i) {
        std::string name = reader.text("target name");
        const auto micros = static_cast<std::int64_t>(reader.number("started until"));
        departures.push_back({std::move(name), WallTime(std::chrono::microseconds(micros))});
    }
    return departures;
}

void writeBoot(WireWriter &writer, const TargetBoot &boot)
{
    writer.text(boot.name);
    if (boot.startedAt) {
        writer.number(static_cast<std::uint64_t>(boot.startedAt->time_since_epoch().count()));
    } else {
        writer.absent();
    }
}

TargetBoot readBoot(WireReader &reader)
{
    TargetBoot boot{reader.text("target name"), std::nullopt};
    if (!reader.absent()) {
        boot.startedAt = WallTime(std::chrono::microseconds(static_cast<std::int64_t>(reader.number("started at"))));
    }
    return boot;
}

void writeRate(WireWriter &writer, std::optional<double> ratePerSecond)
{
    if (ratePerSecond) {
        writer.real(*ratePerSecond);
    } else {
        writer.absent();
    }
}

std::optional<double> readRate(WireReader &reader)
{
    if (reader.absent()) {
        return std::nullopt;
    }
    const double rate = reader.real("rate limit");
    if (!std::isfinite(rate) || rate < 0) {
        throw ProtocolError("rate limit: " + std::to_string(rate) + " found, a number of at least 0 expected");
    }
    return rate;
}

} // namespace banyankeel

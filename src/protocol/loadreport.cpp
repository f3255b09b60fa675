#include "protocol/loadreport.h"

#include "state/errors.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace banyankeel
{

namespace
{
constexpr std::size_t MaxEntries = 4'096;
/// Rates, times and shares are sent as whole numbers of so many parts; a report goes to every peer each second.
constexpr double RateParts = 16;
constexpr double SecondParts = 10'000;
constexpr double ShareParts = 1'000;

void writeParts(WireWriter &writer, double value, double parts)
{
    constexpr double Highest = std::numeric_limits<std::uint32_t>::max();
    writer.compactNumber(static_cast<std::uint64_t>(std::llround(std::clamp(value * parts, 0.0, Highest))));
}

double readParts(WireReader &reader, std::string_view field, double parts)
{
    return static_cast<double>(reader.number(field, std::numeric_limits<std::uint32_t>::max())) / parts;
}

void writeKind(WireWriter &writer, RequestKind kind)
{
    writer.compactNumber(static_cast<std::uint64_t>(kind));
}

RequestKind readKind(WireReader &reader, std::string_view field)
{
    return static_cast<RequestKind>(reader.number(field, std::numeric_limits<std::uint32_t>::max()));
}
} // namespace

void writeLoadReport(WireWriter &writer, const LoadReport &report)
{
    writer.text(report.service.text());
    writer.compactNumber(report.slots);
    writeParts(writer, report.load, RateParts);
    writer.count(report.roots.size());
    for (const OfferedRoots &it : report.roots) {
        writeKind(writer, it.kind);
        writer.compactNumber(static_cast<std::uint64_t>(it.priority));
        writeParts(writer, it.perSecond, RateParts);
    }
    writer.count(report.calls.size());
    for (const CallsPerRun &it : report.calls) {
        writeKind(writer, it.parent);
        writeKind(writer, it.child);
        writeParts(writer, it.calls, ShareParts);
        writeParts(writer, it.runs, RateParts);
    }
    writer.count(report.runs.size());
    for (const RunTime &it : report.runs) {
        writeKind(writer, it.kind);
        writeParts(writer, it.perSecond, RateParts);
        writeParts(writer, it.seconds, SecondParts);
    }
    writer.count(report.services.size());
    for (const CallsToService &it : report.services) {
        writer.text(it.service.text());
        writeParts(writer, it.perSecond, RateParts);
        writeParts(writer, it.rejectedShare, ShareParts);
        writeParts(writer, it.repeatsLeft, 1);
    }
}

LoadReport readLoadReport(WireReader &reader)
{
    LoadReport report{ServiceName(reader.text("load service")), 0, 0, {}, {}, {}, {}};
    report.slots = static_cast<std::uint32_t>(reader.number("slots", std::numeric_limits<std::uint32_t>::max()));
    report.load = readParts(reader, "load", RateParts);
    const std::size_t roots = reader.count("roots", MaxEntries);
    for (std::size_t i = 0; i < roots; ++i) {
        const RequestKind kind = readKind(reader, "root kind");
        const auto priority = static_cast<PriorityLevel>(reader.number("root priority", std::numeric_limits<std::uint8_t>::max()));
        report.roots.push_back({kind, priority, readParts(reader, "roots per second", RateParts)});
    }
    const std::size_t calls = reader.count("calls", MaxEntries);
    for (std::size_t i = 0; i < calls; ++i) {
        const RequestKind parent = readKind(reader, "calling kind");
        const RequestKind child = readKind(reader, "called kind");
        const double perRun = readParts(reader, "calls per run", ShareParts);
        report.calls.push_back({parent, child, perRun, readParts(reader, "runs", RateParts)});
    }
    const std::size_t runs = reader.count("runs", MaxEntries);
    for (std::size_t i = 0; i < runs; ++i) {
        const RequestKind kind = readKind(reader, "run kind");
        const double perSecond = readParts(reader, "runs per second", RateParts);
        report.runs.push_back({kind, perSecond, readParts(reader, "run seconds", SecondParts)});
    }
    const std::size_t services = reader.count("services", MaxEntries);
    for (std::size_t i = 0; i < services; ++i) {
        ServiceName service(reader.text("called service"));
        const double perSecond = readParts(reader, "calls per second", RateParts);
        const double rejectedShare = readParts(reader, "rejected share", ShareParts);
        report.services.push_back({std::move(service), perSecond, rejectedShare, readParts(reader, "repeats left", 1)});
    }
    return report;
}

} // namespace banyankeel

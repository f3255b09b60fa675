#include "protocol/loadreport.h"

#include "state/errors.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace banyankeel
{

namespace
{
// Rates, times and shares are sent in fixed-point form with these denominators to save bytes: every peer receives a report each second.
constexpr double RateDenominator = 16;
constexpr double SecondDenominator = 10'000;
constexpr double ShareDenominator = 1'000;

void writeFixedPoint(WireWriter &writer, double value, double denominator)
{
    constexpr double MaxValue = std::numeric_limits<std::uint32_t>::max();
    const double steps = std::isnan(value) ? 0 : std::clamp(value * denominator, 0.0, MaxValue);
    writer.compactNumber(static_cast<std::uint64_t>(std::llround(steps)));
}

double readFixedPoint(WireReader &reader, std::string_view field, double denominator)
{
    return static_cast<double>(reader.number(field, std::numeric_limits<std::uint32_t>::max())) / denominator;
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
    writeFixedPoint(writer, report.load, RateDenominator);
    writer.count(report.roots.size());
    for (const OfferedRoots &it : report.roots) {
        writeKind(writer, it.kind);
        writer.compactNumber(static_cast<std::uint64_t>(it.priority));
        writeFixedPoint(writer, it.perSecond, RateDenominator);
    }
    writer.count(report.calls.size());
    for (const CallsPerRun &it : report.calls) {
        writeKind(writer, it.parent);
        writeKind(writer, it.child);
        writeFixedPoint(writer, it.calls, ShareDenominator);
        writeFixedPoint(writer, it.runs, RateDenominator);
    }
    writer.count(report.runs.size());
    for (const RunTime &it : report.runs) {
        writeKind(writer, it.kind);
        writeFixedPoint(writer, it.perSecond, RateDenominator);
        writeFixedPoint(writer, it.seconds, SecondDenominator);
    }
    writer.count(report.services.size());
    for (const CallsToService &it : report.services) {
        writer.text(it.service.text());
        writeFixedPoint(writer, it.perSecond, RateDenominator);
        writeFixedPoint(writer, it.rejectedShare, ShareDenominator);
        writeFixedPoint(writer, it.repeatsLeft, 1);
    }
}

LoadReport readLoadReport(WireReader &reader)
{
    LoadReport report{reader.name<ServiceName>("load service"), 0, 0, {}, {}, {}, {}};
    report.slots = static_cast<std::uint32_t>(reader.number("slots", std::numeric_limits<std::uint32_t>::max()));
    report.load = readFixedPoint(reader, "load", RateDenominator);
    const std::size_t roots = reader.itemCount("roots");
    for (std::size_t i = 0; i < roots; ++i) {
        const RequestKind kind = readKind(reader, "root kind");
        const auto priority = static_cast<PriorityLevel>(reader.number("root priority", std::numeric_limits<std::uint8_t>::max()));
        report.roots.push_back({kind, priority, readFixedPoint(reader, "roots per second", RateDenominator)});
    }
    const std::size_t calls = reader.itemCount("calls");
    for (std::size_t i = 0; i < calls; ++i) {
        const RequestKind parent = readKind(reader, "calling kind");
        const RequestKind child = readKind(reader, "called kind");
        const double perRun = readFixedPoint(reader, "calls per run", ShareDenominator);
        report.calls.push_back({parent, child, perRun, readFixedPoint(reader, "runs", RateDenominator)});
    }
    const std::size_t runs = reader.itemCount("runs");
    for (std::size_t i = 0; i < runs; ++i) {
        const RequestKind kind = readKind(reader, "run kind");
        const double perSecond = readFixedPoint(reader, "runs per second", RateDenominator);
        report.runs.push_back({kind, perSecond, readFixedPoint(reader, "run seconds", SecondDenominator)});
    }
    const std::size_t services = reader.itemCount("services");
    for (std::size_t i = 0; i < services; ++i) {
        auto service = reader.name<ServiceName>("called service");
        const double perSecond = readFixedPoint(reader, "calls per second", RateDenominator);
        const double rejectedShare = readFixedPoint(reader, "rejected share", ShareDenominator);
        report.services.push_back({std::move(service), perSecond, rejectedShare, readFixedPoint(reader, "repeats left", 1)});
    }
    return report;
}

} // namespace banyankeel

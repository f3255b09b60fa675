#include "protocol/quarantinemessages.h"

#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

#include <algorithm>
#include <limits>

namespace banyankeel
{

namespace
{
void writeReport(WireWriter &writer, const CrashReport &report)
{
    writer.text(report.fingerprint.organisation.text());
    writer.text(report.fingerprint.route.text());
    writer.number(report.fingerprint.requestHash);
    writer.compactNumber(static_cast<std::uint64_t>(report.kind));
    writer.text(report.node.text());
    writer.number(static_cast<std::uint64_t>(report.incarnation));
    writer.compactNumber(report.crashes);
    if (report.remaining) {
        writer.duration(*report.remaining);
    } else {
        writer.absent();
    }
}

CrashReport readReport(WireReader &reader)
{
    auto organisation = reader.name<OrganisationId>("organisation");
    auto route = reader.name<RouteName>("route");
    const std::uint64_t hash = reader.number("request hash");
    const auto kind = static_cast<CrashReportKind>(reader.number("kind", static_cast<std::uint64_t>(CrashReportKind::Released)));
    if (kind < CrashReportKind::Crashed) {
        throw ProtocolError("crash report: field kind: 0 found, 1 to 3 allowed");
    }
    auto node = reader.name<NodeId>("node");
    const auto incarnation = static_cast<Incarnation>(reader.number("incarnation"));
    const auto crashes = static_cast<std::uint16_t>(reader.number("crashes", std::numeric_limits<std::uint16_t>::max()));
    std::optional<Duration> remaining;
    if (!reader.absent()) {
        remaining = reader.duration("remaining");
    }
    return {{std::move(organisation), std::move(route), hash}, kind, std::move(node), incarnation, crashes, remaining};
}
} // namespace

Envelope CrashReport::encode() const
{
    WireWriter writer;
    writeReport(writer, *this);
    return {MessageType::CrashReport, writer.take()};
}

CrashReport CrashReport::decode(const Envelope &envelope)
{
    if (envelope.type != MessageType::CrashReport) {
        throw ProtocolError("crash report: unexpected message type");
    }
    WireReader reader(envelope.payload, "crash report");
    CrashReport report = readReport(reader);
    reader.finish();
    return report;
}

void writeCrashReports(WireWriter &writer, const std::vector<CrashReport> &reports)
{
    const std::size_t count = std::min(reports.size(), MaxCrashReports);
    writer.count(count);
    for (std::size_t n = 0; n < count; ++n) {
        writeReport(writer, reports[n]);
    }
}

std::vector<CrashReport> readCrashReports(WireReader &reader)
{
    const std::size_t count = reader.itemCount("crash reports");
    std::vector<CrashReport> reports;
    for (std::size_t n = 0; n < count; ++n) {
        reports.push_back(readReport(reader));
    }
    return reports;
}

} // namespace banyankeel

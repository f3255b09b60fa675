#include "protocol/quarantinemessages.h"

#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

namespace banyankeel
{

Envelope CrashReport::encode() const
{
    WireWriter writer;
    writer.text(fingerprint.organisation.text());
    writer.text(fingerprint.route.text());
    writer.number(fingerprint.requestHash);
    writer.compactNumber(static_cast<std::uint64_t>(kind));
    writer.text(node.text());
    writer.number(static_cast<std::uint64_t>(incarnation));
    return {MessageType::CrashReport, writer.take()};
}

CrashReport CrashReport::decode(const Envelope &envelope)
{
    if (envelope.type != MessageType::CrashReport) {
        throw ProtocolError("crash report: unexpected message type");
    }
    WireReader reader(envelope.payload, "crash report");
    OrganisationId organisation(reader.text("organisation"));
    RouteName route(reader.text("route"));
    const std::uint64_t hash = reader.number("request hash");
    const auto kind = static_cast<CrashReportKind>(reader.number("kind", static_cast<std::uint64_t>(CrashReportKind::Released)));
    if (kind < CrashReportKind::Crashed) {
        throw ProtocolError("crash report: field kind: 0 found, 1 to 3 allowed");
    }
    NodeId node(reader.text("node"));
    const auto incarnation = static_cast<Incarnation>(reader.number("incarnation"));
    reader.finish();
    return {{std::move(organisation), std::move(route), hash}, kind, std::move(node), incarnation};
}

} // namespace banyankeel

#include "protocol/statecodec.h"

#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

#include <limits>
#include <type_traits>

namespace banyankeel
{

namespace
{
constexpr std::uint64_t MaxUint16 = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t MaxUint8 = std::numeric_limits<std::uint8_t>::max();

template<typename Name>
void writeNames(WireWriter &writer, const std::vector<Name> &names)
{
    writer.count(names.size());
    for (const Name &name : names) {
        writer.text(name.text());
    }
}

template<typename Name>
std::vector<Name> readNames(WireReader &reader, std::string_view field)
{
    const std::size_t n = reader.itemCount(field);
    std::vector<Name> names;
    for (std::size_t i = 0; i < n; ++i) {
        names.push_back(Name(reader.text(field)));
    }
    return names;
}

std::uint16_t readUint16(WireReader &reader, std::string_view field)
{
    return static_cast<std::uint16_t>(reader.number(field, MaxUint16));
}

void writeFields(WireWriter &writer, const Service &service)
{
    writer.text(service.name.text());
    writeNames(writer, service.calls);
    writer.compactNumber(service.maxExecutions);
}

Service readService(WireReader &reader)
{
    ServiceName name(reader.text("name"));
    auto calls = readNames<ServiceName>(reader, "calls");
    const std::uint16_t maxExecutions = readUint16(reader, "max executions");
    return {std::move(name), std::move(calls), maxExecutions};
}

void writeFields(WireWriter &writer, const Route &route)
{
    writer.text(route.name.text());
    writer.text(route.service.text());
    writer.text(route.pathPrefix);
    writer.text(route.priority.text());
    writer.flag(route.isIdempotent);
    writeNames(writer, route.organisations);
    writer.duration(route.deadline);
}

Route readRoute(WireReader &reader)
{
    RouteName name(reader.text("name"));
    ServiceName service(reader.text("service"));
    std::string prefix = reader.text("path prefix");
    PriorityName priority(reader.text("priority"));
    const bool isIdempotent = reader.flag("idempotent");
    auto organisations = readNames<OrganisationId>(reader, "organisations");
    const Duration deadline = reader.duration("deadline");
    return {std::move(name), std::move(service), std::move(prefix), std::move(priority), isIdempotent, std::move(organisations), deadline};
}

void writeFields(WireWriter &writer, const Organisation &organisation)
{
    writer.text(organisation.name.text());
    writer.text(organisation.limit.text());
    writer.compactNumber(organisation.weight);
}

Organisation readOrganisation(WireReader &reader)
{
    OrganisationId name(reader.text("name"));
    LimitName limit(reader.text("limit"));
    const std::uint16_t weight = readUint16(reader, "weight");
    return {std::move(name), std::move(limit), weight};
}

void writeFields(WireWriter &writer, const Key &key)
{
    writer.text(key.name.text());
    writer.text(key.organisation.text());
    writer.bytes(key.salt);
    writer.bytes(key.hash);
}

Key readKey(WireReader &reader)
{
    KeyId name(reader.text("name"));
    OrganisationId organisation(reader.text("organisation"));
    std::string salt = reader.bytes("salt");
    std::string hash = reader.bytes("hash");
    return {std::move(name), std::move(organisation), std::move(salt), std::move(hash)};
}

void writeFields(WireWriter &writer, const Priority &priority)
{
    writer.text(priority.name.text());
    writer.compactNumber(static_cast<std::uint64_t>(priority.level));
}

Priority readPriority(WireReader &reader)
{
    PriorityName name(reader.text("name"));
    const auto level = static_cast<PriorityLevel>(reader.number("level", MaxUint8));
    return {std::move(name), level};
}

void writeFields(WireWriter &writer, const Limit &limit)
{
    writer.text(limit.name.text());
    writer.real(limit.ratePerSecond);
    writer.real(limit.burst);
}

Limit readLimit(WireReader &reader)
{
    LimitName name(reader.text("name"));
    const double rate = reader.real("rate");
    const double burst = reader.real("burst");
    return {std::move(name), rate, burst};
}

void writeFields(WireWriter &writer, const FleetRules &rules)
{
    writer.duration(rules.stalenessLimit);
    writer.duration(rules.claimRetention);
    writer.compactNumber(rules.quotaShards);
    writer.compactNumber(rules.claimShards);
    writer.compactNumber(rules.directoryShards);
    writer.compactNumber(rules.interRegionBytesPerSecond);
}

FleetRules readFleetRules(WireReader &reader)
{
    FleetRules rules;
    rules.stalenessLimit = reader.duration("staleness limit");
    rules.claimRetention = reader.duration("claim retention");
    rules.quotaShards = readUint16(reader, "quota shards");
    rules.claimShards = readUint16(reader, "claim shards");
    rules.directoryShards = readUint16(reader, "directory shards");
    rules.interRegionBytesPerSecond = reader.number("inter-region bytes per second");
    return rules;
}
} // namespace

void writePeer(WireWriter &writer, const Peer &peer)
{
    writer.text(peer.node.text());
    writer.number(static_cast<std::uint64_t>(peer.incarnation));
    writer.text(peer.place.region.text());
    writer.text(peer.place.failureDomain.text());
    writer.text(peer.endpoint.text());
}

Peer readPeer(WireReader &reader)
{
    auto node = reader.name<NodeId>("node");
    const auto incarnation = static_cast<Incarnation>(reader.number("incarnation"));
    auto region = reader.name<RegionName>("region");
    auto failureDomain = reader.name<FailureDomainName>("failure domain");
    Endpoint endpoint = Endpoint::parse(reader.text("endpoint"));
    return {std::move(node), incarnation, {std::move(region), std::move(failureDomain)}, std::move(endpoint)};
}

void writeTargetRecord(WireWriter &writer, const TargetRecord &record)
{
    writePeer(writer, record.node);
    writer.text(record.service.text());
    writer.compactNumber(static_cast<std::uint64_t>(record.state));
    writer.compactNumber(record.slots);
    writer.compactNumber(record.connections);
    writer.compactNumber(record.version);
}

TargetRecord readTargetRecord(WireReader &reader)
{
    Peer node = readPeer(reader);
    auto service = reader.name<ServiceName>("service");
    const std::uint64_t state = reader.number("target state", static_cast<std::uint64_t>(TargetState::Gone));
    if (state < static_cast<std::uint64_t>(TargetState::Starting)) {
        throw ProtocolError("target record: field target state: " + std::to_string(state) + " found, 1 to 4 allowed");
    }
    const auto slots = static_cast<std::uint32_t>(reader.number("slots", std::numeric_limits<std::uint32_t>::max()));
    const auto connections = static_cast<std::uint32_t>(reader.number("connections", std::numeric_limits<std::uint32_t>::max()));
    const std::uint64_t version = reader.number("version");
    return {std::move(node), std::move(service), static_cast<TargetState>(state), slots, connections, version};
}

void writeHolder(WireWriter &writer, const ShardHolder &holder)
{
    writer.compactNumber(static_cast<std::uint64_t>(holder.shard.kind));
    writer.compactNumber(holder.shard.index);
    writePeer(writer, holder.holder);
    writer.number(static_cast<std::uint64_t>(holder.fence));
}

ShardHolder readHolder(WireReader &reader)
{
    const auto kind = static_cast<ShardKind>(reader.number("shard kind", static_cast<std::uint64_t>(ShardKind::Directory)));
    const std::uint16_t index = readUint16(reader, "shard index");
    Peer holder = readPeer(reader);
    const auto fence = static_cast<Fence>(reader.number("fence"));
    return {{kind, index}, std::move(holder), fence};
}

void writeObject(WireWriter &writer, const ConfigurationObject &object)
{
    writer.compactNumber(static_cast<std::uint64_t>(nameOf(object).kind));
    std::visit([&writer](const auto &it) { writeFields(writer, it); }, object);
}

ConfigurationObject readObject(WireReader &reader)
{
    const std::uint64_t kind = reader.number("object kind");
    switch (static_cast<ObjectKind>(kind)) {
    case ObjectKind::Service:
        return readService(reader);
    case ObjectKind::Route:
        return readRoute(reader);
    case ObjectKind::Organisation:
        return readOrganisation(reader);
    case ObjectKind::Key:
        return readKey(reader);
    case ObjectKind::Priority:
        return readPriority(reader);
    case ObjectKind::Limit:
        return readLimit(reader);
    case ObjectKind::FleetRules:
        return readFleetRules(reader);
    }
    throw ProtocolError("configuration object: field kind: " + std::to_string(kind) + " found, 1 to 7 allowed");
}

void writeObjectName(WireWriter &writer, const ObjectName &name)
{
    writer.compactNumber(static_cast<std::uint64_t>(name.kind));
    writer.text(name.name);
}

ObjectName readObjectName(WireReader &reader)
{
    const auto kind = static_cast<ObjectKind>(reader.number("object kind", static_cast<std::uint64_t>(ObjectKind::FleetRules)));
    return {kind, reader.text("object name")};
}

void writeChange(WireWriter &writer, const ConfigurationChange &change)
{
    writer.count(change.put.size());
    for (const ConfigurationObject &object : change.put) {
        writeObject(writer, object);
    }
    writer.count(change.removed.size());
    for (const ObjectName &name : change.removed) {
        writeObjectName(writer, name);
    }
}

ConfigurationChange readChange(WireReader &reader)
{
    ConfigurationChange change;
    const std::size_t putCount = reader.itemCount("put");
    for (std::size_t i = 0; i < putCount; ++i) {
        change.put.push_back(readObject(reader));
    }
    const std::size_t removedCount = reader.itemCount("removed");
    for (std::size_t i = 0; i < removedCount; ++i) {
        change.removed.push_back(readObjectName(reader));
    }
    return change;
}

} // namespace banyankeel

#include "protocol/configurationyaml.h"

#include "protocol/yamlfields.h"
#include "state/durationtext.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <functional>
#include <limits>
#include <optional>
#include <type_traits>

namespace banyankeel
{

namespace
{
constexpr std::uint64_t MaxUint16 = std::numeric_limits<std::uint16_t>::max();
constexpr std::uint64_t MaxLevel = std::numeric_limits<std::uint8_t>::max();

std::uint16_t uint16Or(YamlFields &fields, std::string_view field, std::uint16_t fallback)
{
    return static_cast<std::uint16_t>(fields.number(field, Presence::Optional, 0, MaxUint16).value_or(fallback));
}

std::optional<ConfigurationObject> readService(YamlFields &fields)
{
    const auto name = fields.identifier<ServiceName>("name", Presence::Required);
    auto calls = fields.identifiers<ServiceName>("calls");
    const std::uint16_t maxExecutions = uint16Or(fields, "max_executions", 3);
    if (!name) {
        return std::nullopt;
    }
    return Service{.name = *name, .calls = std::move(calls), .maxExecutions = maxExecutions};
}

std::optional<ConfigurationObject> readRoute(YamlFields &fields)
{
    const auto name = fields.identifier<RouteName>("name", Presence::Required);
    const auto service = fields.identifier<ServiceName>("service", Presence::Required);
    const auto prefix = fields.text("path_prefix", Presence::Required);
    const auto priority = fields.identifier<PriorityName>("priority", Presence::Required);
    const bool isIdempotent = fields.flag("idempotent", Presence::Optional).value_or(true);
    auto organisations = fields.identifiers<OrganisationId>("organisations");
    const auto deadline = fields.duration("deadline", Presence::Optional);
    if (!name || !service || !prefix || !priority) {
        return std::nullopt;
    }
    Route route{.name = *name,
                .service = *service,
                .pathPrefix = *prefix,
                .priority = *priority,
                .isIdempotent = isIdempotent,
                .organisations = std::move(organisations)};
    route.deadline = deadline.value_or(route.deadline);
    return route;
}

std::optional<ConfigurationObject> readOrganisation(YamlFields &fields)
{
    const auto name = fields.identifier<OrganisationId>("name", Presence::Required);
    const auto limit = fields.identifier<LimitName>("limit", Presence::Required);
    const std::uint16_t weight = uint16Or(fields, "weight", 1);
    if (!name || !limit) {
        return std::nullopt;
    }
    return Organisation{.name = *name, .limit = *limit, .weight = weight};
}

std::optional<ConfigurationObject> readKey(YamlFields &fields)
{
    const auto name = fields.identifier<KeyId>("name", Presence::Required);
    const auto organisation = fields.identifier<OrganisationId>("organisation", Presence::Required);
    const auto salt = fields.hexBytes("salt", Presence::Required);
    const auto hash = fields.hexBytes("hash", Presence::Required);
    if (!name || !organisation || !salt || !hash) {
        return std::nullopt;
    }
    return Key{.name = *name, .organisation = *organisation, .salt = *salt, .hash = *hash};
}

std::optional<ConfigurationObject> readPriority(YamlFields &fields)
{
    const auto name = fields.identifier<PriorityName>("name", Presence::Required);
    const auto level = fields.number("level", Presence::Required, 0, MaxLevel);
    if (!name || !level) {
        return std::nullopt;
    }
    return Priority{.name = *name, .level = static_cast<PriorityLevel>(*level)};
}

std::optional<ConfigurationObject> readLimit(YamlFields &fields)
{
    const auto name = fields.identifier<LimitName>("name", Presence::Required);
    const auto rate = fields.real("rate_per_second", Presence::Required);
    const auto burst = fields.real("burst", Presence::Required);
    if (!name || !rate || !burst) {
        return std::nullopt;
    }
    return Limit{.name = *name, .ratePerSecond = *rate, .burst = *burst};
}

FleetRules readFleetRules(YamlFields &fields)
{
    FleetRules rules;
    rules.stalenessLimit = fields.duration("staleness_limit", Presence::Optional).value_or(rules.stalenessLimit);
    rules.claimRetention = fields.duration("claim_retention", Presence::Optional).value_or(rules.claimRetention);
    rules.quotaShards = uint16Or(fields, "quota_shards", rules.quotaShards);
    rules.claimShards = uint16Or(fields, "claim_shards", rules.claimShards);
    rules.directoryShards = uint16Or(fields, "directory_shards", rules.directoryShards);
    constexpr auto MaxBytes = std::numeric_limits<std::uint64_t>::max();
    const auto bytes = fields.number("inter_region_bytes_per_second", Presence::Optional, 0, MaxBytes);
    rules.interRegionBytesPerSecond = bytes.value_or(rules.interRegionBytesPerSecond);
    return rules;
}

/// Maps a kind of object to the list that contains it and to its reader.
struct KindSyntax {
    ObjectKind kind;
    const char *list;
    std::optional<ConfigurationObject> (*read)(YamlFields &fields);
};

constexpr KindSyntax Kinds[] = {
    {ObjectKind::Service, "services", readService},
    {ObjectKind::Route, "routes", readRoute},
    {ObjectKind::Organisation, "organisations", readOrganisation},
    {ObjectKind::Key, "keys", readKey},
    {ObjectKind::Priority, "priorities", readPriority},
    {ObjectKind::Limit, "limits", readLimit},
};

/// Reads a configuration file and collects its faults.
class DocumentReader
{
public:
    explicit DocumentReader(const std::string &file)
        : m_faults(file)
    {
    }

    ConfigurationFile read(const YAML::Node &root)
    {
        ConfigurationFile document{.file = m_faults.file(), .set = {}, .listsKeys = false, .lines = {}};
        if (!root.IsNull()) {
            readRoot(root, document);
        }
        m_faults.throwIfAny();
        document.set = ConfigurationSet().with(m_change, 0);
        document.lines = std::move(m_lines);
        return document;
    }

private:
    void readRoot(const YAML::Node &root, ConfigurationFile &document)
    {
        YamlFields fields(root, "configuration", m_faults);
        for (const KindSyntax &syntax : Kinds) {
            for (const YAML::Node &item : fields.list(syntax.list)) {
                readItem(item, syntax);
            }
        }
        if (const auto fleet = fields.node("fleet")) {
            readFleet(*fleet);
        }
        fields.finish();
        document.listsKeys = root.IsMap() && root["keys"].IsDefined();
    }

    void readItem(const YAML::Node &item, const KindSyntax &syntax)
    {
        YamlFields fields(item, objectLabel(item, syntax.kind), m_faults);
        const std::optional<ConfigurationObject> object = syntax.read(fields);
        fields.finish();
        if (object) {
            add(*object, item);
        }
    }

    void readFleet(const YAML::Node &item)
    {
        YamlFields fields(item, "fleet", m_faults);
        add(readFleetRules(fields), item);
        fields.finish();
    }

    void add(const ConfigurationObject &object, const YAML::Node &item)
    {
        const ObjectName name = nameOf(object);
        const auto [it, isNew] = m_lines.emplace(name, item.Mark().line + 1);
        if (!isNew) {
            const std::string allowed = fmt::format("each name once; it is also defined at line {}", it->second);
            m_faults.add(item, fmt::format("{} {}", nameOf(name.kind), name.name), "name", fmt::format("\"{}\"", name.name), allowed);
            return;
        }
        m_change.put.push_back(object);
    }

    static std::string objectLabel(const YAML::Node &item, ObjectKind kind)
    {
        const std::string kindText(nameOf(kind));
        if (!item.IsMap() || !item["name"].IsDefined() || !item["name"].IsScalar()) {
            return kindText + " (unnamed)";
        }
        return kindText + " " + item["name"].Scalar();
    }

    YamlFaults m_faults;
    ConfigurationChange m_change;
    std::map<ObjectName, int> m_lines;
};

/// Writes the fields of an object to a YAML map.
class ObjectWriter
{
public:
    explicit ObjectWriter(YAML::Emitter &emitter)
        : m_emitter(emitter)
    {
    }

    void operator()(const Service &service)
    {
        field("name", service.name.text());
        names("calls", service.calls);
        field("max_executions", service.maxExecutions);
    }
    void operator()(const Route &route)
    {
        field("name", route.name.text());
        field("service", route.service.text());
        field("path_prefix", route.pathPrefix);
        field("priority", route.priority.text());
        field("idempotent", route.isIdempotent);
        names("organisations", route.organisations);
        field("deadline", durationText(route.deadline));
    }
    void operator()(const Organisation &organisation)
    {
        field("name", organisation.name.text());
        field("limit", organisation.limit.text());
        field("weight", organisation.weight);
    }
    void operator()(const Key &key)
    {
        field("name", key.name.text());
        field("organisation", key.organisation.text());
        field("salt", hexText(key.salt));
        field("hash", hexText(key.hash));
    }
    void operator()(const Priority &priority)
    {
        field("name", priority.name.text());
        field("level", static_cast<unsigned>(priority.level));
    }
    void operator()(const Limit &limit)
    {
        field("name", limit.name.text());
        field("rate_per_second", fmt::format("{}", limit.ratePerSecond));
        field("burst", fmt::format("{}", limit.burst));
    }
    void operator()(const FleetRules &rules)
    {
        field("staleness_limit", durationText(rules.stalenessLimit));
        field("claim_retention", durationText(rules.claimRetention));
        field("quota_shards", rules.quotaShards);
        field("claim_shards", rules.claimShards);
        field("directory_shards", rules.directoryShards);
        field("inter_region_bytes_per_second", rules.interRegionBytesPerSecond);
    }

private:
    template<typename Value>
    void field(const char *name, const Value &value)
    {
        m_emitter << YAML::Key << name << YAML::Value << value;
    }

    template<typename Name>
    void names(const char *name, const std::vector<Name> &values)
    {
        if (values.empty()) {
            return;
        }
        m_emitter << YAML::Key << name << YAML::Value << YAML::Flow << YAML::BeginSeq;
        for (const Name &value : values) {
            m_emitter << value.text();
        }
        m_emitter << YAML::EndSeq;
    }

    static std::string hexText(const std::string &bytes)
    {
        std::string text;
        for (const char byte : bytes) {
            text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
        }
        return text;
    }

    YAML::Emitter &m_emitter;
};

void writeList(YAML::Emitter &emitter, const ConfigurationSet &set, const KindSyntax &syntax)
{
    bool isOpen = false;
    for (const auto &[name, object] : set.objects()) {
        if (name.kind != syntax.kind) {
            continue;
        }
        if (!isOpen) {
            emitter << YAML::Key << syntax.list << YAML::Value << YAML::BeginSeq;
            isOpen = true;
        }
        emitter << YAML::BeginMap;
        std::visit(ObjectWriter(emitter), *object);
        emitter << YAML::EndMap;
    }
    if (isOpen) {
        emitter << YAML::EndSeq;
    }
}
} // namespace

std::vector<std::string> ConfigurationFile::describe(const std::vector<ConfigurationFault> &faults) const
{
    std::vector<std::string> texts;
    for (const ConfigurationFault &fault : faults) {
        const auto it = lines.find(fault.object);
        const std::string where = it == lines.end() ? file : fmt::format("{}:{}", file, it->second);
        texts.push_back(fmt::format("{}: {}", where, fault.text()));
    }
    return texts;
}

ConfigurationFile readConfigurationYaml(std::string_view text, const std::string &file)
{
    return DocumentReader(file).read(parseYaml(text, file));
}

std::string writeConfigurationYaml(const ConfigurationSet &set)
{
    YAML::Emitter emitter;
    emitter << YAML::BeginMap;
    for (const KindSyntax &syntax : Kinds) {
        writeList(emitter, set, syntax);
    }
    if (const auto *rules = set.find<FleetRules>(ObjectKind::FleetRules, "fleet")) {
        emitter << YAML::Key << "fleet" << YAML::Value << YAML::BeginMap;
        ObjectWriter writer(emitter);
        writer(*rules);
        emitter << YAML::EndMap;
    }
    emitter << YAML::EndMap;
    return std::string(emitter.c_str(), emitter.size()) + "\n";
}

} // namespace banyankeel

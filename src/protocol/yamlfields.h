#pragma once

// Reads the fields of one YAML map, checks their types and ranges, and reports unknown and repeated fields.
//
//   YamlFields fields(node, "route issue", faults);
//   const auto service = fields.identifier<ServiceName>("service", Presence::Required);
//   const auto deadline = fields.duration("deadline", Presence::Optional);
//   fields.finish();

#include "protocol/yamlfaults.h"
#include "state/endpoint.h"
#include "state/errors.h"
#include "state/time.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyankeel
{

enum class Presence {
    Optional,
    /// A missing field is reported as a fault.
    Required,
};

/// Fields of one map. If a field is missing or invalid, its reader returns nullopt; a fault is added for every invalid field and for every missing
/// required one. Not thread-safe.
class YamlFields
{
public:
    /// Adds a fault if @p map is not a map.
    /// @param object name of the map in error messages.
    /// @param faults must outlive this object.
    YamlFields(const YAML::Node &map, std::string object, YamlFaults &faults);

    std::optional<std::string> text(std::string_view field, Presence presence);
    std::optional<std::uint64_t> number(std::string_view field, Presence presence, std::uint64_t lowest, std::uint64_t highest);
    std::optional<double> real(std::string_view field, Presence presence);
    std::optional<bool> flag(std::string_view field, Presence presence);
    /// A number with a unit, such as 200ms.
    std::optional<Duration> duration(std::string_view field, Presence presence);
    /// "address:port".
    std::optional<Endpoint> endpoint(std::string_view field, Presence presence);
    /// Bytes written as pairs of hexadecimal digits.
    std::optional<std::string> hexBytes(std::string_view field, Presence presence);
    /// An identifier accepted by the constructor of @p Name.
    template<typename Name>
    std::optional<Name> identifier(std::string_view field, Presence presence)
    {
        const std::optional<YAML::Node> node = scalar(field, presence, "a name");
        return node ? nameAt<Name>(*node, field) : std::nullopt;
    }
    /// A list of identifiers accepted by the constructor of @p Name; empty if the field is missing.
    template<typename Name>
    std::vector<Name> identifiers(std::string_view field)
    {
        std::vector<Name> names;
        for (const YAML::Node &node : list(field)) {
            if (std::optional<Name> name = nameAt<Name>(node, field)) {
                names.push_back(std::move(*name));
            }
        }
        return names;
    }
    /// Items of a list; empty if the field is missing.
    std::vector<YAML::Node> list(std::string_view field);
    /// Value of a field of any type, or nullopt if it is missing.
    std::optional<YAML::Node> node(std::string_view field);

    /// Adds a fault for @p field, at the line of the field or, if it is missing, of the map.
    void report(std::string_view field, std::string_view found, std::string_view allowed);
    /// Adds a fault for each field that no reader was called for.
    void finish();

    [[nodiscard]] const std::string &object() const
    {
        return m_object;
    }

private:
    std::optional<YAML::Node> scalar(std::string_view field, Presence presence, std::string_view allowed);
    void reportAt(const YAML::Node &node, std::string_view field, std::string_view found, std::string_view allowed);

    template<typename Name>
    std::optional<Name> nameAt(const YAML::Node &node, std::string_view field)
    {
        try {
            return Name(node.IsScalar() ? node.Scalar() : std::string());
        } catch (const IdentifierError &) {
            reportAt(node, field, yamlText(node), "1 to 64 characters of letters, digits, '-', '_' and '.'");
            return std::nullopt;
        }
    }

    YAML::Node m_map;
    std::string m_object;
    YamlFaults &m_faults;
    std::vector<std::string> m_known;
};

} // namespace banyankeel

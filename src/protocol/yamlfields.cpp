#include "protocol/yamlfields.h"

#include "state/durationtext.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace banyankeel
{

namespace
{
template<typename Number>
std::optional<Number> parseNumber(const std::string &text)
{
    Number value{};
    const char *end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, value);
    return ec == std::errc() && rest == end ? std::optional(value) : std::nullopt;
}

std::optional<std::string> parseHex(const std::string &text)
{
    constexpr std::size_t DigitsPerByte = 2;
    constexpr int Base = 16;
    if (text.size() % DigitsPerByte != 0) {
        return std::nullopt;
    }
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); i += DigitsPerByte) {
        unsigned value = 0;
        const char *end = text.data() + i + DigitsPerByte;
        const auto [rest, ec] = std::from_chars(text.data() + i, end, value, Base);
        if (ec != std::errc() || rest != end) {
            return std::nullopt;
        }
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}
} // namespace

YamlFields::YamlFields(const YAML::Node &map, std::string object, YamlFaults &faults)
    : m_map(map)
    , m_object(std::move(object))
    , m_faults(faults)
{
    if (!m_map.IsMap()) {
        m_faults.add(m_map, m_object, "(all)", yamlText(m_map), "a map of fields");
    }
}

std::optional<YAML::Node> YamlFields::node(std::string_view field)
{
    m_known.emplace_back(field);
    std::optional<YAML::Node> found;
    if (!m_map.IsMap()) {
        return found;
    }
    // yaml-cpp keeps repeated fields, and a lookup by name would find only the first of them.
    for (const auto &entry : m_map) {
        if (!entry.first.IsScalar() || entry.first.Scalar() != field) {
            continue;
        }
        if (found) {
            reportAt(entry.first, field, "a repeated field", "each field once");
        } else {
            found.emplace(entry.second);
        }
    }
    return found;
}

std::optional<YAML::Node> YamlFields::scalar(std::string_view field, Presence presence, std::string_view allowed)
{
    std::optional<YAML::Node> found = node(field);
    if (!found) {
        if (presence == Presence::Required && m_map.IsMap()) {
            reportAt(m_map, field, "nothing", allowed);
        }
        return std::nullopt;
    }
    if (!found->IsScalar()) {
        reportAt(*found, field, yamlText(*found), allowed);
        return std::nullopt;
    }
    return found;
}

std::optional<std::string> YamlFields::text(std::string_view field, Presence presence)
{
    const auto found = scalar(field, presence, "a string");
    return found ? std::optional(found->Scalar()) : std::nullopt;
}

std::optional<std::uint64_t> YamlFields::number(std::string_view field, Presence presence, std::uint64_t lowest, std::uint64_t highest)
{
    const std::string allowed = fmt::format("a whole number from {} to {}", lowest, highest);
    const auto found = scalar(field, presence, allowed);
    if (!found) {
        return std::nullopt;
    }
    const auto value = parseNumber<std::uint64_t>(found->Scalar());
    if (!value || *value < lowest || *value > highest) {
        reportAt(*found, field, yamlText(*found), allowed);
        return std::nullopt;
    }
    return value;
}

std::optional<double> YamlFields::real(std::string_view field, Presence presence)
{
    const auto found = scalar(field, presence, "a number");
    if (!found) {
        return std::nullopt;
    }
    const auto value = parseNumber<double>(found->Scalar());
    if (!value || !std::isfinite(*value)) {
        reportAt(*found, field, yamlText(*found), "a number");
        return std::nullopt;
    }
    return value;
}

std::optional<bool> YamlFields::flag(std::string_view field, Presence presence)
{
    const auto found = scalar(field, presence, "true or false");
    if (!found) {
        return std::nullopt;
    }
    if (found->Scalar() != "true" && found->Scalar() != "false") {
        reportAt(*found, field, yamlText(*found), "true or false");
        return std::nullopt;
    }
    return found->Scalar() == "true";
}

std::optional<Duration> YamlFields::duration(std::string_view field, Presence presence)
{
    constexpr std::string_view Allowed = "a whole number with a unit, such as 200ms, 5s, 10m or 2h";
    const auto found = scalar(field, presence, Allowed);
    if (!found) {
        return std::nullopt;
    }
    auto value = parseDuration(found->Scalar());
    if (!value) {
        reportAt(*found, field, yamlText(*found), Allowed);
    }
    return value;
}

std::optional<Endpoint> YamlFields::endpoint(std::string_view field, Presence presence)
{
    constexpr std::string_view Allowed = "an IP address and a port, such as 127.0.0.1:7001 or [::1]:7001";
    const auto found = scalar(field, presence, Allowed);
    if (!found) {
        return std::nullopt;
    }
    try {
        return Endpoint::parse(found->Scalar());
    } catch (const ValueError &) {
        reportAt(*found, field, yamlText(*found), Allowed);
        return std::nullopt;
    }
}

std::optional<std::string> YamlFields::hexBytes(std::string_view field, Presence presence)
{
    const auto found = scalar(field, presence, "pairs of hexadecimal digits");
    if (!found) {
        return std::nullopt;
    }
    auto bytes = parseHex(found->Scalar());
    if (!bytes) {
        reportAt(*found, field, yamlText(*found), "pairs of hexadecimal digits");
    }
    return bytes;
}

std::vector<YAML::Node> YamlFields::list(std::string_view field)
{
    const std::optional<YAML::Node> found = node(field);
    if (!found || found->IsNull()) {
        return {};
    }
    if (!found->IsSequence()) {
        reportAt(*found, field, yamlText(*found), "a list");
        return {};
    }
    return {found->begin(), found->end()};
}

void YamlFields::report(std::string_view field, std::string_view found, std::string_view allowed)
{
    for (const auto &entry : m_map) {
        if (entry.first.IsScalar() && entry.first.Scalar() == field) {
            reportAt(entry.first, field, found, allowed);
            return;
        }
    }
    reportAt(m_map, field, found, allowed);
}

void YamlFields::finish()
{
    if (!m_map.IsMap()) {
        return;
    }
    for (const auto &entry : m_map) {
        const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "(not a string)";
        if (std::find(m_known.begin(), m_known.end(), name) == m_known.end()) {
            reportAt(entry.first, name, "an unknown field", fmt::format("{}", fmt::join(m_known, ", ")));
        }
    }
}

void YamlFields::reportAt(const YAML::Node &node, std::string_view field, std::string_view found, std::string_view allowed)
{
    m_faults.add(node, m_object, field, found, allowed);
}

} // namespace banyankeel

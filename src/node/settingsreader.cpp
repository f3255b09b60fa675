#include "node/settingsreader.h"

#include "state/durationtext.h"
#include "state/errors.h"

#include <fmt/format.h>

#include <charconv>

namespace banyankeel
{

namespace
{
std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}
} // namespace

void SettingsErrorList::add(int line, std::string_view field, std::string_view problem)
{
    m_lines.push_back(line > 0 ? fmt::format("{}:{}: {}: {}", m_file, line, field, problem) : fmt::format("{}: {}: {}", m_file, field, problem));
}

void SettingsErrorList::throwIfAny() const
{
    if (m_lines.empty()) {
        return;
    }
    throw SettingsError(fmt::format("{}", fmt::join(m_lines, "\n")));
}

SettingsReader::SettingsReader(const YAML::Node &node, std::string prefix, SettingsErrorList &errors)
    : m_node(node)
    , m_prefix(std::move(prefix))
    , m_errors(errors)
{
}

YAML::Node SettingsReader::takeField(const std::string &field, bool isRequired)
{
    m_knownFields.insert(field);
    if (!m_node.IsMap()) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    const YAML::Node found = m_node[field];
    if (!found.IsDefined() && isRequired) {
        addError(field, "missing");
    }
    return found;
}

bool SettingsReader::has(const std::string &field) const
{
    return m_node.IsMap() && m_node[field].IsDefined();
}

std::string SettingsReader::text(const std::string &field, const std::optional<std::string> &fallback)
{
    const YAML::Node node = takeField(field, !fallback);
    if (!node.IsDefined()) {
        return fallback.value_or("");
    }
    if (!node.IsScalar()) {
        addError(field, "must be a string");
        return "";
    }
    return node.Scalar();
}

std::uint64_t SettingsReader::number(const std::string &field, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::uint64_t> fallback)
{
    const YAML::Node node = takeField(field, !fallback);
    if (!node.IsDefined()) {
        return fallback.value_or(minimum);
    }
    const std::optional<std::uint64_t> value = node.IsScalar() ? parseNumber(node.Scalar()) : std::nullopt;
    if (!value || *value < minimum || *value > maximum) {
        const std::string found = node.IsScalar() ? node.Scalar() : "not a scalar";
        addError(field, fmt::format("must be an integer from {1} to {2}, found '{0}'", found, minimum, maximum));
        return minimum;
    }
    return *value;
}

Duration SettingsReader::duration(const std::string &field, Duration minimum, Duration maximum, std::optional<Duration> fallback)
{
    const YAML::Node node = takeField(field, !fallback);
    if (!node.IsDefined()) {
        return fallback.value_or(minimum);
    }
    const std::optional<Duration> value = node.IsScalar() ? parseDuration(node.Scalar()) : std::nullopt;
    if (!value || *value < minimum || *value > maximum) {
        const std::string found = node.IsScalar() ? node.Scalar() : "not a scalar";
        addError(field,
                 fmt::format("must be a duration from {1} to {2}, such as 200ms or 5s, found '{0}'", found, durationText(minimum), durationText(maximum)));
        return minimum;
    }
    return *value;
}

std::vector<std::string> SettingsReader::textList(const std::string &field)
{
    const YAML::Node node = takeField(field, true);
    std::vector<std::string> found;
    if (!node.IsDefined()) {
        return found;
    }
    if (!node.IsSequence()) {
        addError(field, "must be a list");
        return found;
    }
    for (const YAML::Node &it : node) {
        if (it.IsScalar()) {
            found.push_back(it.Scalar());
        } else {
            addError(field, "must be a list of scalars");
        }
    }
    return found;
}

SettingsReader SettingsReader::section(const std::string &field)
{
    const YAML::Node node = takeField(field, true);
    if (node.IsDefined() && !node.IsMap()) {
        addError(field, "must be a mapping");
    }
    return {node, m_prefix + field + '.', m_errors};
}

void SettingsReader::finish()
{
    if (!m_node.IsMap()) {
        return;
    }
    for (const auto &entry : m_node) {
        const std::string field = entry.first.Scalar();
        if (m_knownFields.count(field) == 0) {
            m_errors.add(entry.first.Mark().line + 1, m_prefix + field, "unknown field");
        }
    }
}

void SettingsReader::addError(const std::string &field, std::string_view problem)
{
    m_errors.add(lineOf(field), m_prefix + field, problem);
}

int SettingsReader::lineOf(const std::string &field) const
{
    if (!m_node.IsMap()) {
        return 0;
    }
    const YAML::Node found = m_node[field];
    const YAML::Mark mark = found.IsDefined() ? found.Mark() : m_node.Mark();
    return mark.line + 1;
}

} // namespace banyankeel

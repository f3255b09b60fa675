#include "protocol/yamlfaults.h"

#include "state/errors.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <fstream>
#include <sstream>

namespace banyankeel
{

namespace
{
constexpr std::size_t MaxShownLength = 60;

std::string truncated(const std::string &text)
{
    return text.size() <= MaxShownLength ? text : text.substr(0, MaxShownLength) + "...";
}
} // namespace

YamlFaults::YamlFaults(std::string file)
    : m_file(std::move(file))
{
}

void YamlFaults::add(const YAML::Node &node, std::string_view object, std::string_view field, std::string_view found, std::string_view allowed)
{
    const int line = node.IsDefined() ? node.Mark().line + 1 : 0;
    m_lines.emplace(line, fmt::format("{}:{}: {}: field {}: found {}, allowed: {}", m_file, line, object, field, found, allowed));
}

void YamlFaults::throwIfAny() const
{
    if (m_lines.empty()) {
        return;
    }
    std::string text;
    for (const auto &[line, fault] : m_lines) {
        text += (text.empty() ? "" : "\n") + fault;
    }
    throw SettingsError(text);
}

std::string yamlText(const YAML::Node &node)
{
    if (!node.IsDefined() || node.IsNull()) {
        return "nothing";
    }
    if (node.IsSequence()) {
        return "a list";
    }
    if (node.IsMap()) {
        return "a map";
    }
    return fmt::format("\"{}\"", truncated(node.Scalar()));
}

YAML::Node parseYaml(std::string_view text, const std::string &file)
{
    try {
        return YAML::Load(std::string(text));
    } catch (const YAML::Exception &error) {
        throw SettingsError(fmt::format("{}:{}: invalid YAML: {}", file, error.mark.line + 1, error.msg));
    }
}

std::string readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        throw SettingsError(fmt::format("{}: can't be read", path));
    }
    return text.str();
}

} // namespace banyankeel

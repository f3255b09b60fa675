#pragma once

// Collects the faults of a YAML file, so that all of them are reported together.
//
//   YamlFaults faults("node.yaml");
//   ... read fields ...
//   faults.throwIfAny();

#include <yaml-cpp/yaml.h>

#include <map>
#include <string>
#include <string_view>

namespace banyankeel
{

/// Faults of one file. Not thread-safe.
class YamlFaults
{
public:
    explicit YamlFaults(std::string file);

    /// Adds a fault of @p object at the line of @p node. @p found describes the actual value and @p allowed the valid ones.
    void add(const YAML::Node &node, std::string_view object, std::string_view field, std::string_view found, std::string_view allowed);

    [[nodiscard]] bool isEmpty() const
    {
        return m_lines.empty();
    }
    [[nodiscard]] const std::string &file() const
    {
        return m_file;
    }
    /// @throws SettingsError with one line for each fault, in the order of their lines in the file.
    void throwIfAny() const;

private:
    std::string m_file;
    std::multimap<int, std::string> m_lines;
};

/// Returns a short description of the value of @p node for error messages; long text is truncated.
std::string yamlText(const YAML::Node &node);

/// Parses @p text. @throws SettingsError with file and line if it is not valid YAML.
YAML::Node parseYaml(std::string_view text, const std::string &file);

/// Reads a whole file. @throws SettingsError if it can't be read.
std::string readTextFile(const std::string &path);

} // namespace banyankeel

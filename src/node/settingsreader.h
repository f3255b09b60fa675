#pragma once

// Reads typed fields from a YAML mapping and collects all errors with file, line and field.
//
//   SettingsErrorList errors("node.yaml");
//   SettingsReader reader(root, "", errors);
//   const std::string node = reader.text("node");
//   reader.finish();
//   errors.throwIfAny();

#include "state/time.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace banyankeel
{

/// Collects the errors found in one file.
class SettingsErrorList
{
public:
    explicit SettingsErrorList(std::string file)
        : m_file(std::move(file))
    {
    }

    /// @param line starts at 1; 0 if unknown.
    void add(int line, std::string_view field, std::string_view problem);
    /// @throws SettingsError with one line per error, if there are any.
    void throwIfAny() const;

private:
    std::string m_file;
    std::vector<std::string> m_lines;
};

/// Reads one mapping. For an invalid or missing field it records an error and returns a placeholder, so that one pass reports all errors.
class SettingsReader
{
public:
    /// @param prefix is prepended to field names in errors, for example "store.".
    SettingsReader(const YAML::Node &node, std::string prefix, SettingsErrorList &errors);

    std::string text(const std::string &field, const std::optional<std::string> &fallback = std::nullopt);
    std::uint64_t number(const std::string &field, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::uint64_t> fallback = std::nullopt);
    /// Reads a number with a unit: ms, s, m or h.
    Duration duration(const std::string &field, Duration minimum, Duration maximum, std::optional<Duration> fallback = std::nullopt);
    std::vector<std::string> textList(const std::string &field);
    /// Converts a scalar with @p parse. If that throws, records an error and returns @p placeholder.
    template<typename Value>
    Value parsed(const std::string &field, const Value &placeholder, const std::function<Value(const std::string &)> &parse);
    [[nodiscard]] bool has(const std::string &field) const;
    SettingsReader section(const std::string &field);
    /// Records an error for each field that has not been read.
    void finish();

    void addError(const std::string &field, std::string_view problem);

private:
    YAML::Node takeField(const std::string &field, bool isRequired);
    [[nodiscard]] int lineOf(const std::string &field) const;

    YAML::Node m_node;
    std::string m_prefix;
    SettingsErrorList &m_errors;
    std::set<std::string> m_knownFields;
};

template<typename Value>
Value SettingsReader::parsed(const std::string &field, const Value &placeholder, const std::function<Value(const std::string &)> &parse)
{
    const YAML::Node node = takeField(field, true);
    if (!node.IsDefined()) {
        return placeholder;
    }
    if (!node.IsScalar()) {
        addError(field, "must be a scalar");
        return placeholder;
    }
    try {
        return parse(node.Scalar());
    } catch (const std::exception &e) {
        addError(field, e.what());
        return placeholder;
    }
}

} // namespace banyankeel

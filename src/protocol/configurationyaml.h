#pragma once

// Reads and writes the operators' configuration: named objects in YAML.
//
//   ConfigurationFile document = readConfigurationYaml(readTextFile("fleet.yaml"), "fleet.yaml");
//   std::string text = writeConfigurationYaml(document.set);

#include "state/configurationfault.h"
#include "state/configurationset.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace banyankeel
{

/// Contents of a configuration file. Immutable after construction.
struct ConfigurationFile {
    std::string file;
    /// The objects of the file, as revision 0.
    ConfigurationSet set;
    /// Whether the file has a list of keys. Without one, the keys granted so far remain unchanged.
    bool listsKeys;
    /// Line on which each object begins.
    std::map<ObjectName, int> lines;

    /// Returns a message for each of @p faults, which must be faults of this set: file, line, object, field, value found and values allowed.
    [[nodiscard]] std::vector<std::string> describe(const std::vector<ConfigurationFault> &faults) const;
};

/// Reads the lists services, routes, organisations, keys, priorities and limits, and the map fleet; all are optional.
/// Rejects wrong types, unrepresentable values, unknown or repeated fields and duplicate objects. References are validated by checkConfiguration().
/// @param file name of the file in error messages.
/// @throws SettingsError with one line for each fault.
ConfigurationFile readConfigurationYaml(std::string_view text, const std::string &file);

/// Returns YAML from which readConfigurationYaml() reads the objects of @p set.
std::string writeConfigurationYaml(const ConfigurationSet &set);

} // namespace banyankeel

#pragma once

// Formats configuration changes for operators and derives changes from configuration files.
//
//   output.result(changeJson(change, current), changeText(change, current, output));

#include "ctl/ctloutput.h"
#include "state/configurationset.h"

#include <nlohmann/json.hpp>

#include <string>

namespace banyankeel
{

/// Formats one line for each object of @p change: '+' for added, '~' for changed and '-' for removed relative to @p current.
std::string changeText(const ConfigurationChange &change, const ConfigurationSet &current, const CtlOutput &output);
/// Returns an object with the members added, changed and removed, each a list of "kind name".
nlohmann::json changeJson(const ConfigurationChange &change, const ConfigurationSet &current);

/// Returns a copy of @p set without its keys.
ConfigurationSet withoutKeys(const ConfigurationSet &set);
/// Returns the change from @p current to the configuration in a file. Keys of @p current are kept if the file has no list of keys.
ConfigurationChange changeToFile(const ConfigurationSet &current, const ConfigurationSet &file, bool listsKeys);

} // namespace banyankeel

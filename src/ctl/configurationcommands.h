#pragma once

// Commands that read and change the configuration.

#include "ctl/ctlcontext.h"

#include <cstddef>
#include <optional>
#include <string>

namespace banyankeel
{

/// Command-line options shared by the publish and key commands.
struct PublishArguments {
    /// Operation ID, or empty to generate one.
    std::string operation;
    std::string author;
    std::optional<Revision> expectedRevision;
    bool wait = true;
    unsigned waitSeconds = 60;
};

/// Each command prints its result, and throws CtlError or SettingsError on failure.
void checkCommand(CtlOutput &output, const std::string &file);
void diffCommand(CtlContext &context, const std::string &file);
void publishCommand(CtlContext &context, const std::string &file, const PublishArguments &arguments);
/// @param includeKeys whether to list keys, with their salted hashes.
void showCommand(CtlContext &context, bool includeKeys);
/// @param operation if not empty, only the change made by this operation is printed.
void historyCommand(CtlContext &context, std::size_t limit, const std::string &operation);
/// @param name of the key, or empty to generate one. Prints the key; it cannot be retrieved later.
void grantCommand(CtlContext &context, const std::string &organisation, const std::string &name, const PublishArguments &arguments);
/// Succeeds if the key does not exist.
void withdrawCommand(CtlContext &context, const std::string &name, const PublishArguments &arguments);

} // namespace banyankeel

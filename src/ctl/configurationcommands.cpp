#include "ctl/configurationcommands.h"

#include "coordination/configuration/keysecret.h"
#include "ctl/changetext.h"
#include "ctl/ctlerror.h"
#include "protocol/configurationyaml.h"
#include "protocol/yamlfaults.h"
#include "state/configurationcheck.h"
#include "timeline/timelinetext.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace banyankeel
{

namespace
{
std::string randomName(std::string_view prefix, const RandomSource &random)
{
    return fmt::format("{}-{:016x}", prefix, random());
}

// Leaves room for the random suffix of a key's name.
constexpr std::size_t MaxKeyNamePrefix = 40;

/// @throws CtlError if the configuration in the file is invalid.
ConfigurationFile readValidated(const std::string &file)
{
    ConfigurationFile document = readConfigurationYaml(readTextFile(file), file);
    std::vector<ConfigurationFault> faults = checkConfiguration(document.set);
    if (!faults.empty()) {
        throw CtlError(ExitStatus::Invalid, fmt::format("{}", fmt::join(document.describe(faults), "\n")));
    }
    return document;
}

PublishOptions publishOptions(const PublishArguments &arguments, const RandomSource &random)
{
    return {
        .operation = OperationId(arguments.operation.empty() ? randomName("op", random) : arguments.operation),
        .author = arguments.author,
        .expectedRevision = arguments.expectedRevision,
        .wait = arguments.wait,
        .waitTimeout = std::chrono::seconds(arguments.waitSeconds),
    };
}

std::string formatTime(WallTime time)
{
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}Z", std::chrono::time_point_cast<std::chrono::seconds>(time));
}

void printChange(CtlOutput &output, const ChangeRow &row)
{
    nlohmann::json objects = nlohmann::json::array();
    for (const ConfigurationObject &object : row.change.put) {
        const ObjectName name = nameOf(object);
        objects.push_back(fmt::format("{} {}", nameOf(name.kind), name.name));
    }
    for (const ObjectName &name : row.change.removed) {
        objects.push_back(fmt::format("-{} {}", nameOf(name.kind), name.name));
    }
    const nlohmann::json json{
        {"revision", row.revision}, {"time", formatTime(row.time)}, {"author", row.author}, {"operation", row.operation.text()}, {"objects", objects}};
    std::string text = fmt::format("revision={} time={} author={} operation={} put={} removed={}\n",
                                   row.revision,
                                   formatTime(row.time),
                                   row.author,
                                   row.operation.text(),
                                   row.change.put.size(),
                                   row.change.removed.size());
    constexpr std::size_t MaxShownObjects = 10;
    for (std::size_t i = 0; i < std::min(objects.size(), MaxShownObjects); ++i) {
        text += "  " + objects[i].get<std::string>() + '\n';
    }
    if (objects.size() > MaxShownObjects) {
        text += fmt::format("  and {} more\n", objects.size() - MaxShownObjects);
    }
    output.result(json, text);
}
} // namespace

void checkCommand(CtlOutput &output, const std::string &file)
{
    const ConfigurationFile document = readValidated(file);
    const std::size_t n = document.set.objects().size();
    output.result({{"file", file}, {"objects", n}, {"faults", 0}}, fmt::format("{}: {} objects, no faults\n", file, n));
}

void diffCommand(CtlContext &context, const std::string &file)
{
    const ConfigurationFile document = readValidated(file);
    const ConfigurationSet current = context.configuration().load();
    const ConfigurationChange change = changeToFile(current, document.set, document.listsKeys);
    context.output().result(changeJson(change, current), changeText(change, current, context.output()));
}

void publishCommand(CtlContext &context, const std::string &file, const PublishArguments &arguments)
{
    const ConfigurationFile document = readValidated(file);
    const ConfigurationSet current = context.configuration().load();
    const ConfigurationChange change = changeToFile(current, document.set, document.listsKeys);
    const PublishOptions options = publishOptions(arguments, context.secureRandom());
    const Revision revision = context.publisher().publish(options, current, change);
    context.output().result({{"revision", revision}, {"operation", options.operation.text()}},
                            fmt::format("revision={} operation={}\n", revision, options.operation.text()));
}

void showCommand(CtlContext &context, bool includeKeys)
{
    const ConfigurationSet set = context.configuration().load();
    const std::string yaml = writeConfigurationYaml(includeKeys ? set : withoutKeys(set));
    context.output().result({{"revision", set.revision()}, {"objects", set.objects().size()}, {"yaml", yaml}},
                            fmt::format("# revision {}\n{}", set.revision(), yaml));
}

void historyCommand(CtlContext &context, std::size_t limit, const std::string &operation)
{
    if (operation.empty()) {
        for (const ChangeRow &row : context.configuration().history(limit)) {
            printChange(context.output(), row);
        }
        return;
    }
    const std::optional<ChangeRow> row = context.configuration().findOperation(OperationId(operation));
    if (!row) {
        throw CtlError(ExitStatus::Failed, fmt::format("operation {}: not found in the store's history", operation));
    }
    printChange(context.output(), *row);
}

void grantCommand(CtlContext &context, const std::string &organisation, const std::string &name, const PublishArguments &arguments)
{
    const ConfigurationSet current = context.configuration().load();
    const OrganisationId owner(organisation);
    const KeyId id(name.empty() ? randomName(organisation.substr(0, MaxKeyNamePrefix), context.secureRandom()) : name);
    if (current.find({ObjectKind::Key, id.text()}) != nullptr) {
        throw CtlError(ExitStatus::Conflict,
                       fmt::format("key {}: already exists and its secret is not stored; withdraw it first or choose another name", id.text()));
    }
    const KeySecret secret = KeySecret::generate(id, owner, context.secureRandom());
    PublishOptions options = publishOptions(arguments, context.secureRandom());
    const bool wait = options.wait;
    options.wait = false;
    const Revision revision = context.publisher().publish(options, current, {.put = {secret.key()}, .removed = {}});
    // Printed before the wait, since it can't be shown again.
    context.output().result({{"name", id.text()}, {"organisation", organisation}, {"key", secret.text()}, {"revision", revision}}, secret.text() + '\n');
    if (wait) {
        context.publisher().waitUntilActive(revision, options.waitTimeout);
    }
}

void withdrawCommand(CtlContext &context, const std::string &name, const PublishArguments &arguments)
{
    const ConfigurationSet current = context.configuration().load();
    const ObjectName key{ObjectKind::Key, name};
    ConfigurationChange change;
    if (current.find(key) != nullptr) {
        change.removed.push_back(key);
    }
    const PublishOptions options = publishOptions(arguments, context.secureRandom());
    const Revision revision = context.publisher().publish(options, current, change);
    context.output().result({{"name", name}, {"revision", revision}}, fmt::format("withdrawn name={} revision={}\n", name, revision));
}

} // namespace banyankeel

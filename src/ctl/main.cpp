// banyankeelctl: command-line tool for operators.

#include "ctl/configurationcommands.h"
#include "ctl/ctlerror.h"
#include "ctl/fleetcommands.h"
#include "ctl/timeargument.h"
#include "node/securerandom.h"
#include "protocol/yamlfaults.h"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <unistd.h>

namespace
{
using namespace banyankeel;

constexpr const char *HelpFooter = R"(Examples:
  banyankeelctl check fleet.yaml
  banyankeelctl --settings ctl.yaml publish fleet.yaml
  banyankeelctl --settings ctl.yaml key grant kranich
  banyankeelctl --settings ctl.yaml timeline --root 0123456789abcdef0123456789abcdef --page call.html

Settings are read from --settings, else from the file named by BANYANKEEL_CTL, else from ctl.yaml if it exists.

Exit status:
  0  done                            4  conflict: others changed the same objects; nothing was published
  1  failed                          5  store or nodes did not answer; nothing was changed
  2  wrong arguments or settings     6  unknown whether the change was accepted
  3  the configuration has faults    7  accepted, but not in force on every node in time)";

/// Parsed command line.
struct Arguments {
    std::string settings;
    bool isJson = false;
    std::string file;
    std::string name;
    std::string organisation;
    std::string operation;
    PublishArguments publish;
    std::size_t limit = 20;
    bool includeKeys = false;
    std::string root;
    std::string service;
    std::string from;
    std::string until;
    TimelineArguments timeline;
    /// Runs the selected command.
    std::function<void()> run;
};

/// Defines the commands; parsing sets Arguments::run to the selected one.
class CommandLine
{
public:
    explicit CommandLine(Arguments &arguments)
        : m_app("Validates and publishes the configuration of a fleet, and inspects its nodes.")
        , m_arguments(arguments)
    {
        m_app.footer(HelpFooter);
        m_app.set_version_flag("--version", BANYANKEEL_VERSION);
        m_app.require_subcommand(1);
        m_app.add_option("--settings", m_arguments.settings, "YAML file with the store's and the nodes' addresses and tokens");
        m_app.add_option("--output", "output format: text, or json for one JSON value per line")
            ->check(CLI::IsMember({"text", "json"}))
            ->each([this](const std::string &format) { m_arguments.isJson = format == "json"; });
        addConfigurationCommands();
        addKeyCommands();
        addFleetCommands();
        addTimelineCommand();
    }

    CLI::App &app()
    {
        return m_app;
    }

private:
    CLI::App *addCommand(CLI::App &parent, const char *name, const char *description, const std::function<void(CtlContext &)> &command)
    {
        CLI::App *app = parent.add_subcommand(name, description);
        app->fallthrough();
        app->callback([this, command] { m_arguments.run = [this, command] { runWithContext(command); }; });
        return app;
    }

    void runWithContext(const std::function<void(CtlContext &)> &command)
    {
        CtlOutput output = makeOutput();
        const std::string file = settingsFile();
        CtlContext context(file.empty() ? CtlSettings{} : readCtlSettings(readTextFile(file), file), output, secureRandomNumber);
        command(context);
    }

    [[nodiscard]] CtlOutput makeOutput() const
    {
        return {m_arguments.isJson ? OutputFormat::Json : OutputFormat::Text, isatty(STDOUT_FILENO) == 1, std::cout, std::cerr};
    }

    [[nodiscard]] std::string settingsFile() const
    {
        if (!m_arguments.settings.empty()) {
            return m_arguments.settings;
        }
        if (const char *named = std::getenv("BANYANKEEL_CTL")) {
            return named;
        }
        return std::filesystem::exists("ctl.yaml") ? "ctl.yaml" : "";
    }

    void addPublishOptions(CLI::App *app)
    {
        PublishArguments &publish = m_arguments.publish;
        const char *user = std::getenv("USER");
        publish.author = user == nullptr ? "operator" : user;
        app->add_option("--operation", publish.operation, "name of this publish; repeating it with the same name publishes at most once");
        app->add_option("--author", publish.author, "author recorded in the history")->capture_default_str();
        app->add_flag("!--no-wait", publish.wait, "return when the change is accepted, before it is in force on every node");
        app->add_option("--wait-seconds", publish.waitSeconds, "how long to wait until it is in force")->capture_default_str();
    }

    void addConfigurationCommands()
    {
        CLI::App *check = m_app.add_subcommand("check", "Validate a configuration file; needs neither store nor nodes");
        check->fallthrough();
        check->add_option("file", m_arguments.file, "YAML file")->required();
        check->callback([this] {
            m_arguments.run = [this] {
                CtlOutput output = makeOutput();
                checkCommand(output, m_arguments.file);
            };
        });
        CLI::App *diff =
            addCommand(m_app, "diff", "Show what publishing a file would change", [this](CtlContext &context) { diffCommand(context, m_arguments.file); });
        diff->add_option("file", m_arguments.file, "YAML file")->required();
        CLI::App *publish = addCommand(m_app,
                                       "publish",
                                       "Publish a complete configuration; objects missing from the file are removed, keys only if the file has a list of keys",
                                       [this](CtlContext &context) { publishCommand(context, m_arguments.file, m_arguments.publish); });
        publish->add_option("file", m_arguments.file, "YAML file")->required();
        publish->add_option("--only-on", m_arguments.publish.expectedRevision, "refuse unless this revision is in force");
        addPublishOptions(publish);
        CLI::App *show = addCommand(
            m_app, "show", "Print the configuration in force as YAML", [this](CtlContext &context) { showCommand(context, m_arguments.includeKeys); });
        show->add_flag("--keys", m_arguments.includeKeys, "list keys too, as salted hashes; a file with such a list replaces all keys when it is published");
        CLI::App *history = addCommand(
            m_app, "history", "List the latest changes", [this](CtlContext &context) { historyCommand(context, m_arguments.limit, m_arguments.operation); });
        history->add_option("--limit", m_arguments.limit, "maximum number of changes")->capture_default_str();
        history->add_option("--operation", m_arguments.operation, "only the change of this publish operation; exit status 1 if there is none");
    }

    void addKeyCommands()
    {
        CLI::App *key = m_app.add_subcommand("key", "Grant or withdraw callers' keys");
        key->require_subcommand(1);
        key->fallthrough();
        CLI::App *grant = addCommand(*key, "grant", "Grant a key; it is printed once and not stored", [this](CtlContext &context) {
            grantCommand(context, m_arguments.organisation, m_arguments.name, m_arguments.publish);
        });
        grant->add_option("organisation", m_arguments.organisation, "organisation that owns the key")->required();
        grant->add_option("--name", m_arguments.name, "name of the key; generated by default");
        addPublishOptions(grant);
        CLI::App *withdraw =
            addCommand(*key, "withdraw", "Withdraw a key by its name, the part before the last dot of what callers present", [this](CtlContext &context) {
                withdrawCommand(context, m_arguments.name, m_arguments.publish);
            });
        withdraw->add_option("name", m_arguments.name, "name of the key")->required();
        addPublishOptions(withdraw);
    }

    void addFleetCommands()
    {
        addCommand(m_app, "status", "Show the nodes by region and failure domain", [](CtlContext &context) { statusCommand(context); });
        CLI::App *drain = addCommand(m_app, "drain", "Stop sending new requests to a node's target", [this](CtlContext &context) {
            drainCommand(context, m_arguments.name, m_arguments.publish.wait, m_arguments.publish.waitSeconds);
        });
        drain->add_option("node", m_arguments.name, "name of the node")->required();
        drain->add_flag("!--no-wait", m_arguments.publish.wait, "return before the node reports that it is draining");
        drain->add_option("--wait-seconds", m_arguments.publish.waitSeconds, "how long to wait until the node is draining")->capture_default_str();
        CLI::App *quarantine = m_app.add_subcommand("quarantine", "Manage requests that are refused because they crash targets");
        quarantine->require_subcommand(1);
        quarantine->fallthrough();
        addCommand(*quarantine, "list", "List quarantined requests", [](CtlContext &context) { quarantineListCommand(context); });
        CLI::App *release = addCommand(
            *quarantine, "release", "Release a quarantined request", [this](CtlContext &context) { quarantineReleaseCommand(context, m_arguments.name); });
        release->add_option("fingerprint", m_arguments.name, "fingerprint as printed by quarantine list")->required();
    }

    void addTimelineCommand()
    {
        TimelineArguments &timeline = m_arguments.timeline;
        CLI::App *app = addCommand(m_app, "timeline", "Collect the events of all nodes and show them in causal order", [this](CtlContext &context) {
            applyFilterArguments();
            timelineCommand(context, m_arguments.timeline);
        });
        app->add_option("--root", m_arguments.root, "only this root request, as named by the response header Banyankeel-Request");
        app->add_option("--organisation", m_arguments.organisation, "only requests of this organisation");
        app->add_option("--service", m_arguments.service, "only requests that reached this service");
        app->add_option("--node", m_arguments.name, "only events of this node");
        app->add_option("--from", m_arguments.from, "only from this time on: 2026-01-31T12:00:00Z, or 10m for ten minutes ago");
        app->add_option("--until", m_arguments.until, "only before this time");
        app->add_option("--page", timeline.pageFile, "write an HTML page with lanes and arrows");
        app->add_option("--svg", timeline.svgFile, "write only the drawing, as SVG");
        app->add_option("--record", timeline.recordFile, "write the events as JSON lines that --input can read");
        app->add_option("--input", timeline.inputs, "read recorded events instead of querying nodes");
    }

    void applyFilterArguments()
    {
        TimelineFilter &filter = m_arguments.timeline.filter;
        const WallTime now = CtlClock::system().wallNow();
        if (!m_arguments.root.empty()) {
            filter.root = RequestId::parse(m_arguments.root);
        }
        if (!m_arguments.organisation.empty()) {
            filter.organisation = OrganisationId(m_arguments.organisation);
        }
        if (!m_arguments.service.empty()) {
            filter.service = ServiceName(m_arguments.service);
        }
        if (!m_arguments.name.empty()) {
            filter.node = NodeId(m_arguments.name);
        }
        if (!m_arguments.from.empty()) {
            filter.from = parseTime(m_arguments.from, now);
        }
        if (!m_arguments.until.empty()) {
            filter.until = parseTime(m_arguments.until, now);
        }
    }

    CLI::App m_app;
    Arguments &m_arguments;
};

int printError(ExitStatus status, const std::exception &error)
{
    std::cerr << error.what() << std::endl;
    return static_cast<int>(status);
}
} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    CommandLine commandLine(arguments);
    try {
        commandLine.app().parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        const int status = commandLine.app().exit(error);
        return status == 0 ? 0 : static_cast<int>(ExitStatus::UsageError);
    }
    try {
        arguments.run();
        return static_cast<int>(ExitStatus::Success);
    } catch (const CtlError &error) {
        return printError(error.status(), error);
    } catch (const SettingsError &error) {
        return printError(ExitStatus::UsageError, error);
    } catch (const IdentifierError &error) {
        return printError(ExitStatus::UsageError, error);
    } catch (const ValueError &error) {
        return printError(ExitStatus::UsageError, error);
    } catch (const std::exception &error) {
        return printError(ExitStatus::Failed, error);
    }
}

// banyankeel-node: runs next to each target host.

#include "node/node.h"
#include "node/nodesettings.h"
#include "state/errors.h"
#include "telemetry/logging.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace
{

constexpr int ExitSettings = 2;
constexpr int ExitFailure = 1;

int runNode(const banyankeel::NodeSettings &settings)
{
    using namespace banyankeel;
    // Block the signals before any thread starts, so that only sigwait() below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    configureLogging(settings.logLevel);
    Node node(settings);
    node.start();

    int signal = 0;
    sigwait(&signals, &signal);
    node.startDraining();
    if (node.waitUntilIdle([&signals] {
            const timespec noWait{};
            return sigtimedwait(&signals, nullptr, &noWait) > 0;
        })) {
        logEvent(LogLevel::Info, "stopped", {{"drained", "yes"}});
    } else {
        logEvent(LogLevel::Warning, "stopped", {{"drained", "no"}});
    }
    node.stop();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Overload control for one target host. Exit status: 0 after SIGTERM or SIGINT, 1 on failure, 2 on invalid settings or arguments.");
    std::string path;
    bool isCheckOnly = false;
    app.set_version_flag("--version", BANYANKEEL_VERSION);
    app.add_option("settings", path, "path of the YAML settings file")->required();
    app.add_flag("--check", isCheckOnly, "validate the settings and exit");
    app.footer("Examples:\n  banyankeel-node --check node.yaml\n  banyankeel-node node.yaml");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &e) {
        const int status = app.exit(e);
        return status == 0 ? EXIT_SUCCESS : ExitSettings;
    }
    try {
        const banyankeel::NodeSettings settings = banyankeel::readNodeSettings(path);
        if (isCheckOnly) {
            std::cout << path << ": the settings are valid\n";
            return EXIT_SUCCESS;
        }
        return runNode(settings);
    } catch (const banyankeel::SettingsError &e) {
        std::cerr << e.what() << '\n';
        return ExitSettings;
    } catch (const std::exception &e) {
        std::cerr << "banyankeel-node: " << e.what() << '\n';
        return ExitFailure;
    }
}

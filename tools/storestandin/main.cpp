// store-standin: stands in for the platform's store in demos and tests.

#include "state/errors.h"
#include "tools/common/keyvalue.h"
#include "tools/storestandin/storestandin.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

namespace
{
using namespace banyankeel;

constexpr int ExitSettings = 2;

/// What the command line said, before it is checked.
struct Arguments {
    std::string listen;
    std::string token;
    std::uint64_t seed = 1;
    bool logsUsage = false;
};

void describe(CLI::App &app, Arguments &arguments)
{
    app.add_option("--listen", arguments.listen, "address:port to serve on")->required();
    app.add_option("--token", arguments.token, "bearer token that requests must carry")->required();
    app.add_option("--seed", arguments.seed, "decides which answers are lost");
    app.add_flag("--log-usage", arguments.logsUsage, "print a line with the reads and writes so far on each request");
}

StoreStandinSettings settingsOf(const Arguments &arguments)
{
    StoreStandinSettings settings{.listen = Endpoint::parse(arguments.listen), .token = arguments.token, .seed = arguments.seed, .log = {}};
    if (arguments.logsUsage) {
        settings.log = [](const testing::StoreUsage &usage) {
            std::cout << KeyValueLine("usage").add("reads", usage.reads).add("writes", usage.writes).text() + '\n' << std::flush;
        };
    }
    return settings;
}

void run(const StoreStandinSettings &settings)
{
    // Blocked before any thread starts, so that sigwait() below gets them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    StoreStandin standin(settings);
    standin.start();
    std::cout << KeyValueLine("listening").add("address", settings.listen.text()).text() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    standin.stop();
    const testing::StoreUsage usage = standin.usage();
    std::cout << KeyValueLine("stopped").add("reads", usage.reads).add("writes", usage.writes).text() << std::endl;
}
} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stands in for the platform's table service and object store, in memory.");
    app.footer("Faults are set over HTTP: POST /control/outage?on=1, /control/delay?ms=N, /control/lose-answers?per-mille=N.\n"
               "GET /control/usage counts reads and writes. Exit status: 0 after SIGTERM, 2 on wrong arguments.");
    Arguments arguments;
    describe(app, arguments);
    CLI11_PARSE(app, argc, argv);
    try {
        run(settingsOf(arguments));
        return 0;
    } catch (const Error &error) {
        std::cerr << KeyValueLine("failed").add("problem", error.what()).text() << std::endl;
        return ExitSettings;
    }
}

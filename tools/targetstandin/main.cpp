// target-standin: stands in for a target of the platform in demos and tests.

#include "state/errors.h"
#include "tools/common/keyvalue.h"
#include "tools/targetstandin/targetstandin.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

namespace
{
using namespace banyankeel;

constexpr int ExitSettings = 2;
constexpr Duration DrainLimit = std::chrono::seconds(10);

/// What the command line said, before it is checked.
struct Arguments {
    std::string listen;
    std::string node;
    std::string name = "target";
    std::size_t slots = 8;
    std::size_t queue = 1000;
    unsigned serviceTimeMs = 5;
    unsigned coldStartMs = 0;
    std::string calls;
    std::string crashMark;
    std::size_t answerBytes = 0;
};

void describe(CLI::App &app, Arguments &arguments)
{
    app.add_option("--listen", arguments.listen, "address:port to serve on")->required();
    app.add_option("--node", arguments.node, "address:port at which the target's own node takes downstream calls");
    app.add_option("--name", arguments.name, "what answers call this target");
    app.add_option("--slots", arguments.slots, "requests that run at once")->check(CLI::Range(1, 100000));
    app.add_option("--queue", arguments.queue, "requests that wait for a slot; further ones are refused as not-run");
    app.add_option("--service-time-ms", arguments.serviceTimeMs, "how long a request takes, in milliseconds")->check(CLI::Range(0, 600000));
    app.add_option("--cold-start", arguments.coldStartMs, "for so many milliseconds after the start requests take 5 times as long");
    app.add_option("--calls", arguments.calls, "downstream calls: <path>, or <prefix>=[<method> ]<path>, separated by commas");
    app.add_option("--crash-mark", arguments.crashMark, "a request whose path or body contains this text ends the process");
    app.add_option("--answer-bytes", arguments.answerBytes, "fill answers up to this length");
}

StandinSettings settingsOf(const Arguments &arguments)
{
    StandinSettings settings{.listen = Endpoint::parse(arguments.listen), .node = std::nullopt, .calls = {}, .crashMark = arguments.crashMark};
    if (!arguments.node.empty()) {
        settings.node = Endpoint::parse(arguments.node);
    }
    settings.name = arguments.name;
    settings.slots = arguments.slots;
    settings.queue = arguments.queue;
    settings.serviceTime = std::chrono::milliseconds(arguments.serviceTimeMs);
    settings.coldStart = std::chrono::milliseconds(arguments.coldStartMs);
    settings.calls = DownstreamCall::parse(arguments.calls);
    settings.answerBytes = arguments.answerBytes;
    return settings;
}

int run(const StandinSettings &settings)
{
    // Blocked before any thread starts, so that sigwait() below gets them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    TargetStandin standin(settings);
    standin.start();
    std::cout << KeyValueLine("listening").add("name", settings.name).add("address", settings.listen.text()).text() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    const bool isWhole = standin.drain(DrainLimit);
    standin.stop();
    const ExecutionCounts counts = standin.log().counts();
    std::cout << KeyValueLine("stopped").add("began", counts.began).add("ended", counts.ended).text() << std::endl;
    return isWhole ? 0 : 1;
}
} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stands in for a target: runs requests in slots, calls other services through its node, and lists what it ran.");
    app.footer("Example: target-standin --listen 127.0.0.1:9000 --node 127.0.0.1:8081 --slots 25 --calls /zertifikat/check=/archiv/lookup\n"
               "Exit status: 0 after SIGTERM with no request left, 1 with some left, 2 on wrong arguments, 70 after a marked request.");
    Arguments arguments;
    describe(app, arguments);
    CLI11_PARSE(app, argc, argv);
    try {
        return run(settingsOf(arguments));
    } catch (const Error &error) {
        std::cerr << KeyValueLine("failed").add("problem", error.what()).text() << std::endl;
        return ExitSettings;
    }
}

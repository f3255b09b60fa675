// load-caller: sends a bounded number of calls and says what became of them.

#include "protocol/yamlfaults.h"
#include "state/errors.h"
#include "tools/common/keyvalue.h"
#include "tools/loadcaller/expectation.h"
#include "tools/loadcaller/loadrun.h"

#include <CLI/CLI.hpp>

#include <cmath>
#include <iostream>
#include <map>

namespace
{
using namespace banyankeel;

constexpr int ExitSettings = 2;
constexpr int ExitUnexpected = 1;

/// What the command line said, before it is checked.
struct Arguments {
    std::vector<std::string> entries;
    std::string keyFile;
    unsigned seconds = 10;
    unsigned deadlineMs = 2000;
    std::vector<std::string> expectations;
    LoadSettings load{.entries = {}, .key = {}};
};

void describe(CLI::App &app, Arguments &arguments)
{
    const std::map<std::string, RepeatKeys> repeatKeys{{"none", RepeatKeys::None}, {"unique", RepeatKeys::Unique}, {"same", RepeatKeys::Same}};
    LoadSettings &load = arguments.load;
    app.add_option("--entry", arguments.entries, "address:port of a node's caller edge; several are taken in turn")->required();
    app.add_option("--key", load.key, "the caller's key");
    app.add_option("--key-file", arguments.keyFile, "a file that holds the caller's key, which --key would show to other users of the machine");
    app.add_option("--method", load.method, "HTTP method")->capture_default_str();
    app.add_option("--path", load.path, "path and query")->capture_default_str();
    app.add_option("--body-bytes", load.bodyBytes, "length of the request bodies, each with other content")->check(CLI::Range(0, 8 * 1024 * 1024));
    app.add_option("--rate", load.rate, "requests per second; 0 sends as fast as answers come")->check(CLI::Range(0.0, 100000.0));
    app.add_option("--concurrency", load.concurrency, "requests under way at once")->check(CLI::Range(1, 10000))->capture_default_str();
    app.add_option("--count", load.count, "requests at the most")->check(CLI::Range(1, 10'000'000))->capture_default_str();
    app.add_option("--seconds", arguments.seconds, "stop sending after this time")->check(CLI::Range(1, 3600))->capture_default_str();
    app.add_option("--deadline-ms", arguments.deadlineMs, "deadline that each request names")->check(CLI::Range(1, 600000))->capture_default_str();
    app.add_option("--repeats", load.repeats, "how often a request without whole answer is sent again, at once")->check(CLI::Range(0, 100));
    app.add_option("--idempotency-keys", load.repeatKeys, "none, unique for each request, or the same for all")->transform(CLI::CheckedTransformer(repeatKeys));
    app.add_option("--idempotency-prefix", load.repeatPrefix, "begin of the idempotency keys")->capture_default_str();
    app.add_flag("--check-answers", load.checksAnswers, "count answers of target-standin to other requests as foreign");
    app.add_option("--expect", arguments.expectations, "a condition such as ran>=95% or foreign==0; exit status 1 unless all hold");
}

void complete(Arguments &arguments)
{
    for (const std::string &entry : arguments.entries) {
        arguments.load.entries.push_back(Endpoint::parse(entry));
    }
    if (!arguments.keyFile.empty()) {
        const std::string text = readTextFile(arguments.keyFile);
        arguments.load.key = text.substr(0, text.find_first_of("\r\n"));
    }
    arguments.load.time = std::chrono::seconds(arguments.seconds);
    arguments.load.deadline = std::chrono::milliseconds(arguments.deadlineMs);
}

void print(const LoadMetrics &metrics)
{
    KeyValueLine line;
    for (const auto &[name, value] : metrics) {
        const bool isWhole = value == std::floor(value);
        line.add(name, value, isWhole ? 0 : 3);
    }
    std::cout << line.text() << std::endl;
}

int run(Arguments arguments)
{
    std::vector<Expectation> expectations;
    for (const std::string &text : arguments.expectations) {
        expectations.push_back(Expectation::parse(text));
    }
    complete(arguments);
    const LoadMetrics metrics = LoadRun(arguments.load).run();
    print(metrics);
    int status = 0;
    for (const Expectation &expectation : expectations) {
        const bool holds = expectation.holds(metrics);
        std::cout << KeyValueLine("expectation").add("condition", expectation.text()).add("holds", holds ? "yes" : "no").text() << std::endl;
        status = holds ? status : ExitUnexpected;
    }
    return status;
}
} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Sends a bounded number of calls to nodes and prints what became of them as one line of key=value pairs.");
    app.footer("Metrics: sent whole ran not-run may-have-run lost repeated foreign status.<n> reason.<name> p50_ms p90_ms p99_ms max_ms per_second\n"
               "Example: load-caller --entry 127.0.0.1:8080 --key-file key --path /einsatz/check --rate 200 --seconds 5 --expect 'ran>=95%'\n"
               "Exit status: 0 if every expectation holds, 1 if one does not, 2 on wrong arguments.");
    Arguments arguments;
    describe(app, arguments);
    CLI11_PARSE(app, argc, argv);
    try {
        return run(std::move(arguments));
    } catch (const Error &error) {
        std::cerr << KeyValueLine("failed").add("problem", error.what()).text() << std::endl;
        return ExitSettings;
    }
}

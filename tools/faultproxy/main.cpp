// fault-proxy: puts faults on TCP links between processes, for tests and demos.

#include "protocol/yamlfaults.h"
#include "state/errors.h"
#include "tools/common/keyvalue.h"
#include "tools/common/urlquery.h"
#include "tools/faultproxy/faultproxy.h"
#include "transport/httpserver.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

namespace
{
using namespace banyankeel;

constexpr int ExitSettings = 2;

HttpResponse textResponse(int status, std::string body)
{
    return {.status = status, .headers = {{"Content-Type", "text/plain"}}, .body = std::move(body)};
}

/// GET /links lists counts; POST /link?name=store&delay=8ms&cut=false changes rules, all of them or none.
HttpResponse control(FaultProxy &proxy, const HttpRequest &request)
{
    const UrlQuery url(request.target);
    if (request.method == "GET" && url.path() == "/links") {
        return textResponse(200, proxy.counts());
    }
    if (request.method != "POST" || url.path() != "/link") {
        return textResponse(404, "GET /links or POST /link?name=NAME&RULE=VALUE\n");
    }
    try {
        proxy.change(std::string(url.value("name").value_or("")), [&url](LinkRules &rules) {
            for (const std::string &name : LinkRules::names()) {
                if (const auto value = url.value(name)) {
                    rules.set(name, *value);
                }
            }
        });
    } catch (const SettingsError &error) {
        return textResponse(400, std::string(error.what()) + '\n');
    }
    return textResponse(200, "done\n");
}

int run(const FaultScript &script)
{
    // Blocked before any thread starts, so that sigwait() below gets them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    FaultProxy proxy(script);
    proxy.start();
    std::unique_ptr<HttpServer> server;
    if (script.control) {
        server = std::make_unique<HttpServer>(HttpServerSettings{.listen = *script.control, .threads = 1},
                                              [&proxy](const HttpRequest &request, const HttpResponder &respond) { respond(control(proxy, request)); });
        server->start();
    }
    std::cout << KeyValueLine("listening").add("links", std::uint64_t{script.links.size()}).add("seed", script.seed).text() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    if (server) {
        server->stop();
    }
    std::cout << proxy.counts() << std::flush;
    proxy.stop();
    return 0;
}
} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Forwards TCP connections and injects faults: delay, jitter, rate limit, cuts, half-open links, resets in mid-frame, "
                 "reordered and duplicated frames, lost answers.");
    app.footer("Change rules while it runs: curl -X POST 'http://CONTROL/link?name=store&delay=200ms&lose_answer_per_mille=500'\n"
               "Exit status: 0 after SIGTERM, 2 on a wrong script.");
    std::string file;
    app.add_option("script", file, "YAML file with the links")->required();
    CLI11_PARSE(app, argc, argv);
    try {
        return run(FaultScript::read(readTextFile(file), file));
    } catch (const Error &error) {
        std::cerr << error.what() << std::endl;
        return ExitSettings;
    }
}

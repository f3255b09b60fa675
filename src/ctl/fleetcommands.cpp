#include "ctl/fleetcommands.h"

#include "ctl/ctlerror.h"
#include "ctl/statustext.h"
#include "protocol/yamlfaults.h"
#include "timeline/timelinecodec.h"
#include "timeline/timelinepage.h"
#include "timeline/timelinetext.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <map>

namespace banyankeel
{

namespace
{
using nlohmann::json;

constexpr int FirstErrorStatus = 300;
constexpr int StatusNotFound = 404;
constexpr Duration DrainPollInterval = std::chrono::milliseconds(200);

json toJson(const std::vector<NodeView> &views)
{
    json list = json::array();
    for (const NodeView &view : views) {
        if (view.report) {
            list.push_back(view.report->json);
        } else {
            list.push_back({{"address", view.address.text()}, {"problem", view.problem}});
        }
    }
    return list;
}

std::vector<Endpoint> reachableNodes(CtlContext &context)
{
    std::vector<Endpoint> addresses;
    for (const NodeView &view : context.fleet().queryNodes()) {
        if (view.report) {
            addresses.push_back(view.address);
        } else {
            context.output().progress(fmt::format("{}: {}", view.address.text(), view.problem));
        }
    }
    if (addresses.empty()) {
        throw CtlError(ExitStatus::Unavailable, "no node answers");
    }
    return addresses;
}

std::string describeFailure(const HttpResult &result)
{
    return result.response ? "status " + std::to_string(result.response->status) : "no answer: " + result.detail;
}

bool isSuccess(const HttpResult &result)
{
    return result.response && result.response->status < FirstErrorStatus;
}

std::string collectTimeline(CtlContext &context)
{
    const std::vector<Endpoint> nodes = reachableNodes(context);
    const std::vector<HttpResult> results = context.operatorClient().sendAll(nodes, "GET", "/operator/timeline");
    std::string text;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (isSuccess(results[i])) {
            text += results[i].response->body;
        } else {
            context.output().progress(fmt::format("{}: {}", nodes[i].text(), describeFailure(results[i])));
        }
    }
    return text;
}

void writeFile(const std::string &path, const std::string &text)
{
    if (path.empty()) {
        return;
    }
    std::ofstream file(path, std::ios::binary);
    file << text;
    file.close();
    if (!file) {
        throw CtlError(ExitStatus::Failed, path + ": cannot be written");
    }
}

std::string nodeState(FleetView &fleet, const std::string &node)
{
    for (const NodeView &view : fleet.queryNodes()) {
        if (view.report && view.report->node == node) {
            return view.report->state;
        }
    }
    return "gone";
}
} // namespace

void statusCommand(CtlContext &context)
{
    const std::vector<NodeView> views = context.fleet().queryNodes();
    context.output().result(toJson(views), statusText(views, context.output()));
    for (const NodeView &view : views) {
        if (view.report) {
            return;
        }
    }
    throw CtlError(ExitStatus::Unavailable, "no node answers");
}

void drainCommand(CtlContext &context, const std::string &node, bool wait, unsigned waitSeconds)
{
    const Endpoint address = context.fleet().find(node);
    const HttpResult result = context.operatorClient().send(address, "POST", "/operator/drain");
    if (!isSuccess(result)) {
        throw CtlError(ExitStatus::Unavailable, fmt::format("node {}: {}", node, describeFailure(result)));
    }
    const CtlClock clock = CtlClock::system();
    const TimePoint end = clock.now() + std::chrono::seconds(waitSeconds);
    std::string state = "asked";
    while (wait) {
        state = nodeState(context.fleet(), node);
        if (state == "draining" || state == "gone") {
            break;
        }
        if (clock.now() >= end) {
            throw CtlError(ExitStatus::TimedOut, fmt::format("node {}: still {} after {} s", node, state, waitSeconds));
        }
        clock.sleep(DrainPollInterval);
    }
    context.output().result({{"node", node}, {"state", state}}, fmt::format("node={} state={}\n", node, state));
}

void timelineCommand(CtlContext &context, const TimelineArguments &arguments)
{
    std::string recorded;
    for (const std::string &file : arguments.inputs) {
        recorded += readTextFile(file) + '\n';
    }
    if (arguments.inputs.empty()) {
        recorded = collectTimeline(context);
    }
    const MergedTimeline merged = arguments.filter.apply(mergeTimelines(decodeTimeline(recorded)));
    std::vector<TimelineEvent> events;
    for (const MergedEvent &it : merged.events) {
        events.push_back(it.event);
    }
    const std::string lines = encodeTimeline(events);
    writeFile(arguments.recordFile, lines);
    writeFile(arguments.pageFile, timelinePage(merged, fmt::format("Timeline of {} events", merged.events.size())));
    writeFile(arguments.svgFile, timelineSvg(merged));
    if (!arguments.recordFile.empty() || !arguments.pageFile.empty() || !arguments.svgFile.empty()) {
        const std::size_t n = merged.events.size();
        context.output().result({{"events", n}, {"processes", merged.processes.size()}}, fmt::format("events={} processes={}\n", n, merged.processes.size()));
        return;
    }
    json list = json::array();
    for (const TimelineEvent &it : events) {
        list.push_back(json::parse(encodeTimeline({it})));
    }
    context.output().result(list, timelineText(merged));
}

void quarantineListCommand(CtlContext &context)
{
    const std::vector<Endpoint> nodes = reachableNodes(context);
    const std::vector<HttpResult> results = context.operatorClient().sendAll(nodes, "GET", "/operator/quarantine");
    std::map<std::string, json> entries;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        if (!isSuccess(results[i])) {
            context.output().progress(fmt::format("{}: {}", nodes[i].text(), describeFailure(results[i])));
            continue;
        }
        const json list = json::parse(results[i].response->body, nullptr, false);
        if (!list.is_array()) {
            throw CtlError(ExitStatus::Failed, nodes[i].text() + ": response is not a list of quarantined requests");
        }
        for (const json &entry : list) {
            json &merged = entries.emplace(entry.value("fingerprint", ""), entry).first->second;
            merged["nodes"] = merged.value("nodes", 0) + 1;
            merged["refusing"] = merged.value("refusing", 0) + (entry.contains("refusedForMs") ? 1 : 0);
            merged["crashes"] = std::max(merged.value("crashes", 0), entry.value("crashes", 0));
        }
    }
    json all = json::array();
    std::string text;
    for (const auto &[fingerprint, entry] : entries) {
        all.push_back(entry);
        text += fmt::format("fingerprint={} organisation={} route={} crashes={} refused_for_ms={} nodes={} refusing={}\n",
                            fingerprint,
                            entry.value("organisation", "-"),
                            entry.value("route", "-"),
                            entry.value("crashes", 0),
                            entry.value("refusedForMs", 0),
                            entry.value("nodes", 0),
                            entry.value("refusing", 0));
    }
    context.output().result(all, text.empty() ? "no request is in quarantine\n" : text);
}

void quarantineReleaseCommand(CtlContext &context, const std::string &fingerprint)
{
    const std::vector<Endpoint> nodes = reachableNodes(context);
    const std::vector<HttpResult> results = context.operatorClient().sendAll(nodes, "POST", "/operator/quarantine/release?fingerprint=" + fingerprint);
    std::size_t released = 0;
    std::string problems;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const bool isUnknown = results[i].response && results[i].response->status == StatusNotFound;
        if (isSuccess(results[i])) {
            ++released;
        } else if (!isUnknown) {
            problems += fmt::format("\n{}: {}", nodes[i].text(), describeFailure(results[i]));
        }
    }
    if (!problems.empty()) {
        throw CtlError(ExitStatus::Unavailable, fmt::format("released on {} nodes, but not on all; run the command again:{}", released, problems));
    }
    if (released == 0) {
        throw CtlError(ExitStatus::Failed, fmt::format("fingerprint {}: no node has it in quarantine", fingerprint));
    }
    context.output().result({{"fingerprint", fingerprint}, {"nodes", released}}, fmt::format("released fingerprint={} nodes={}\n", fingerprint, released));
}

} // namespace banyankeel

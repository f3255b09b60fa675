#include "ctl/statustext.h"

#include "state/durationtext.h"

#include <fmt/format.h>

#include <map>

namespace banyankeel
{

namespace
{
using nlohmann::json;

std::string quotaText(const json &node)
{
    double tokens = 0;
    for (const json &quota : node.value("quota", json::array())) {
        tokens += quota.value("tokens", 0.0);
    }
    return fmt::format("{:.0f}", tokens);
}

std::string admissionText(const json &node)
{
    if (!node.contains("admission")) {
        return "-";
    }
    const json &admission = node.at("admission");
    return fmt::format("{}/{} level {}", admission.value("load", 0), admission.value("limit", 0), admission.value("admittedLevel", 0));
}

std::size_t countEjected(const json &node)
{
    std::size_t n = 0;
    for (const json &target : node.value("targets", json::array())) {
        n += target.value("ejected", false) ? 1 : 0;
    }
    return n;
}

Colour colourOf(const std::string &state)
{
    if (state == "serving") {
        return Colour::Green;
    }
    return state == "gone" ? Colour::Red : Colour::Yellow;
}

std::string formatNode(const NodeReport &report, const CtlOutput &output)
{
    return fmt::format("  {:<24} revision {:<8} {} admission {:<18} quota {:<8} ejected {:<3} stale {}\n",
                       report.node,
                       report.revision,
                       output.coloured(fmt::format("{:<9}", report.state), colourOf(report.state)),
                       admissionText(report.json),
                       quotaText(report.json),
                       countEjected(report.json),
                       durationText(report.staleness));
}

} // namespace

std::string statusText(const std::vector<NodeView> &views, const CtlOutput &output)
{
    std::string text;
    std::string zone;
    std::size_t unreachable = 0;
    std::map<Revision, std::size_t> revisions;
    for (const NodeView &view : views) {
        if (!view.report) {
            ++unreachable;
            text += output.coloured(fmt::format("{} {}", view.address.text(), view.problem), Colour::Red) + '\n';
            continue;
        }
        const std::string viewZone = fmt::format("{} {}", view.report->region, view.report->failureDomain);
        if (viewZone != zone) {
            text += viewZone + '\n';
            zone = viewZone;
        }
        text += formatNode(*view.report, output);
        ++revisions[view.report->revision];
    }
    text += fmt::format("{} nodes, {} without answer\n", views.size() - unreachable, unreachable);
    for (const auto &[revision, n] : revisions) {
        text += fmt::format("revision {} in force on {}\n", revision, n);
    }
    return text;
}

} // namespace banyankeel

#include "mesh/meshsettings.h"

#include "state/durationtext.h"

#include <fmt/format.h>

namespace banyankeel
{

std::vector<SettingLine> settingLines(const MeshSettings &settings)
{
    return {
        {"node", settings.node.text()},
        {"region", settings.place.region.text()},
        {"failure-domain", settings.place.failureDomain.text()},
        {"callers", settings.callers.text()},
        {"readiness", settings.readiness.text()},
        {"reports", settings.reports.text()},
        {"peers", settings.peers.text()},
        {"metrics", settings.metrics.text()},
        {"target", settings.target.text()},
        {"service", settings.service.text()},
        {"store", settings.store.text()},
        {"memory-bytes", std::to_string(settings.memoryBytes)},
        {"descriptors", std::to_string(settings.descriptors)},
        {"grace-period", durationText(settings.gracePeriod)},
        {"retry-ratio", fmt::format("{}", settings.retryRatio)},
        {"retry-slack", fmt::format("{}", settings.retrySlack)},
        {"retry-window", durationText(settings.retryWindow)},
        {"quota-window", durationText(settings.quotaWindow)},
        {"quota-overshoot", fmt::format("{}", settings.quotaOvershoot)},
        {"quota-slack", fmt::format("{}", settings.quotaSlack)},
    };
}

std::vector<std::string> changedSettings(const MeshSettings &left, const MeshSettings &right)
{
    std::vector<std::string> found;
    const std::vector<SettingLine> before = settingLines(left);
    const std::vector<SettingLine> after = settingLines(right);
    for (std::size_t i = 0; i < before.size(); ++i) {
        if (before[i] != after[i]) {
            found.push_back(before[i].name);
        }
    }
    if (left.secret != right.secret) {
        found.emplace_back("secret");
    }
    return found;
}

} // namespace banyankeel

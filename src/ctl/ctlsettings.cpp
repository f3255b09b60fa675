#include "ctl/ctlsettings.h"

#include "protocol/yamlfields.h"

namespace banyankeel
{

namespace
{
std::optional<CtlStoreSettings> readStore(const YAML::Node &node, YamlFaults &faults)
{
    YamlFields fields(node, "store", faults);
    const auto address = fields.endpoint("address", Presence::Required);
    const auto token = fields.text("token", Presence::Required);
    const auto timeLimit = fields.duration("time_limit", Presence::Optional);
    fields.finish();
    if (!address || !token) {
        return std::nullopt;
    }
    CtlStoreSettings settings{.address = *address, .token = *token};
    settings.timeLimit = timeLimit.value_or(settings.timeLimit);
    return settings;
}

std::optional<Endpoint> endpointOf(const YAML::Node &node)
{
    try {
        return Endpoint::parse(node.IsScalar() ? node.Scalar() : std::string());
    } catch (const ValueError &) {
        return std::nullopt;
    }
}
} // namespace

CtlSettings readCtlSettings(const std::string &text, const std::string &file)
{
    YamlFaults faults(file);
    CtlSettings settings;
    YamlFields top(parseYaml(text, file), "settings", faults);
    if (const auto store = top.node("store")) {
        settings.store = readStore(*store, faults);
    }
    settings.operatorToken = top.text("operator_token", Presence::Optional).value_or("");
    settings.discoverPeers = top.flag("find_peers", Presence::Optional).value_or(true);
    settings.nodeTimeLimit = top.duration("node_time_limit", Presence::Optional).value_or(settings.nodeTimeLimit);
    for (const YAML::Node &item : top.list("nodes")) {
        if (const auto endpoint = endpointOf(item)) {
            settings.nodes.push_back(*endpoint);
        } else {
            faults.add(item, "settings", "nodes", yamlText(item), "an IP address and a port, such as 127.0.0.1:9090");
        }
    }
    top.finish();
    faults.throwIfAny();
    return settings;
}

} // namespace banyankeel

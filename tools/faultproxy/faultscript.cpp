#include "tools/faultproxy/faultscript.h"

#include "protocol/yamlfields.h"

#include <limits>

namespace banyankeel
{

namespace
{
LinkRules readRules(YamlFields &fields)
{
    LinkRules rules;
    for (const std::string &name : LinkRules::names()) {
        const auto value = fields.text(name, Presence::Optional);
        if (!value) {
            continue;
        }
        try {
            rules.set(name, *value);
        } catch (const SettingsError &error) {
            fields.report(name, "\"" + *value + "\"", error.what());
        }
    }
    return rules;
}

std::optional<LinkScript> readLink(const YAML::Node &node, YamlFaults &faults)
{
    YamlFields fields(node, "link", faults);
    const auto name = fields.text("name", Presence::Required);
    const auto listen = fields.endpoint("listen", Presence::Required);
    const auto forward = fields.endpoint("forward", Presence::Required);
    const bool hasFrames = fields.flag("frames", Presence::Optional).value_or(false);
    const LinkRules rules = readRules(fields);
    fields.finish();
    if (!name || !listen || !forward) {
        return std::nullopt;
    }
    return LinkScript{*name, *listen, *forward, hasFrames, rules};
}
} // namespace

FaultScript FaultScript::read(const std::string &text, const std::string &file)
{
    YamlFaults faults(file);
    FaultScript script;
    YamlFields top(parseYaml(text, file), "script", faults);
    script.seed = top.number("seed", Presence::Optional, 0, std::numeric_limits<std::uint64_t>::max()).value_or(script.seed);
    script.control = top.endpoint("control", Presence::Optional);
    for (const YAML::Node &item : top.list("links")) {
        if (auto link = readLink(item, faults)) {
            script.links.push_back(std::move(*link));
        }
    }
    top.finish();
    faults.throwIfAny();
    return script;
}

} // namespace banyankeel

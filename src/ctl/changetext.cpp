#include "ctl/changetext.h"

#include <fmt/format.h>

namespace banyankeel
{

namespace
{
std::string formatObjectName(const ObjectName &name)
{
    return fmt::format("{} {}", nameOf(name.kind), name.name);
}
} // namespace

std::string changeText(const ConfigurationChange &change, const ConfigurationSet &current, const CtlOutput &output)
{
    std::string text;
    for (const ConfigurationObject &object : change.put) {
        const ObjectName name = nameOf(object);
        const bool isNew = current.find(name) == nullptr;
        const std::string line = fmt::format("{} {}", isNew ? '+' : '~', formatObjectName(name));
        text += output.coloured(line, isNew ? Colour::Green : Colour::Yellow) + '\n';
    }
    for (const ObjectName &name : change.removed) {
        text += output.coloured("- " + formatObjectName(name), Colour::Red) + '\n';
    }
    return text.empty() ? "no difference\n" : text;
}

nlohmann::json changeJson(const ConfigurationChange &change, const ConfigurationSet &current)
{
    nlohmann::json json{{"added", nlohmann::json::array()}, {"changed", nlohmann::json::array()}, {"removed", nlohmann::json::array()}};
    for (const ConfigurationObject &object : change.put) {
        const ObjectName name = nameOf(object);
        json[current.find(name) == nullptr ? "added" : "changed"].push_back(formatObjectName(name));
    }
    for (const ObjectName &name : change.removed) {
        json["removed"].push_back(formatObjectName(name));
    }
    return json;
}

ConfigurationSet withoutKeys(const ConfigurationSet &set)
{
    ConfigurationChange change;
    for (const Key *key : set.all<Key>()) {
        change.removed.push_back({ObjectKind::Key, key->name.text()});
    }
    return set.with(change, set.revision());
}

ConfigurationChange changeToFile(const ConfigurationSet &current, const ConfigurationSet &file, bool listsKeys)
{
    ConfigurationChange kept;
    if (!listsKeys) {
        for (const Key *key : current.all<Key>()) {
            kept.put.emplace_back(*key);
        }
    }
    return current.changeTo(file.with(kept, file.revision()));
}

} // namespace banyankeel

#include "state/configurationset.h"

#include <algorithm>

namespace banyankeel
{

ConfigurationSet::ConfigurationSet()
    : ConfigurationSet(0, std::make_shared<const Objects>())
{
}

ConfigurationSet::ConfigurationSet(Revision revision, std::shared_ptr<const Objects> objects)
    : m_revision(revision)
    , m_objects(std::move(objects))
{
}

ConfigurationSet ConfigurationSet::with(const ConfigurationChange &change, Revision revision) const
{
    auto objects = std::make_shared<Objects>(*m_objects);
    for (const ObjectName &name : change.removed) {
        objects->erase(name);
    }
    for (const ConfigurationObject &object : change.put) {
        (*objects)[nameOf(object)] = std::make_shared<const ConfigurationObject>(object);
    }
    return {revision, std::move(objects)};
}

ConfigurationChange ConfigurationSet::changeTo(const ConfigurationSet &other) const
{
    ConfigurationChange change;
    for (const auto &[name, object] : *other.m_objects) {
        const ConfigurationObject *present = find(name);
        if (present == nullptr || *present != *object) {
            change.put.push_back(*object);
        }
    }
    for (const auto &[name, object] : *m_objects) {
        if (other.find(name) == nullptr) {
            change.removed.push_back(name);
        }
    }
    return change;
}

const ConfigurationObject *ConfigurationSet::find(const ObjectName &name) const
{
    const auto it = m_objects->find(name);
    return it == m_objects->end() ? nullptr : it->second.get();
}

FleetRules ConfigurationSet::fleetRules() const
{
    const FleetRules *rules = find<FleetRules>(ObjectKind::FleetRules, "fleet");
    return rules == nullptr ? FleetRules{} : *rules;
}

bool operator==(const ConfigurationSet &left, const ConfigurationSet &right)
{
    if (left.m_revision != right.m_revision || left.m_objects->size() != right.m_objects->size()) {
        return false;
    }
    return std::equal(left.m_objects->begin(), left.m_objects->end(), right.m_objects->begin(), [](const auto &a, const auto &b) {
        return a.first == b.first && *a.second == *b.second;
    });
}

} // namespace banyankeel

#pragma once

// One revision of the complete published configuration.
//
//   ConfigurationSet next = set.with(change, Revision(set.revision() + 1));
//   const Organisation *organisation = next.find<Organisation>("lufthafen");

#include "state/configurationobjects.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace banyankeel
{

/// Number of the accepted set; 0 is the empty set before the first publish.
using Revision = std::uint64_t;

/// The objects that one publish adds, replaces and removes. Not modified after construction.
struct ConfigurationChange {
    std::vector<ConfigurationObject> put;
    std::vector<ObjectName> removed;

    friend bool operator==(const ConfigurationChange &, const ConfigurationChange &) = default;
};

/// An immutable set of objects, keyed by kind and name. Copies share the objects; with() is linear in the number of objects.
class ConfigurationSet
{
public:
    using Objects = std::map<ObjectName, std::shared_ptr<const ConfigurationObject>>;

    /// The empty set of revision 0.
    ConfigurationSet();

    /// Returns this set with @p change applied, as @p revision. Does not validate references or the revision.
    [[nodiscard]] ConfigurationSet with(const ConfigurationChange &change, Revision revision) const;

    /// Returns the change that turns this set into @p other.
    [[nodiscard]] ConfigurationChange changeTo(const ConfigurationSet &other) const;

    [[nodiscard]] Revision revision() const
    {
        return m_revision;
    }
    [[nodiscard]] const Objects &objects() const
    {
        return *m_objects;
    }
    /// Returns the object named @p name, or null. The pointer is valid while any copy of this set exists.
    [[nodiscard]] const ConfigurationObject *find(const ObjectName &name) const;

    /// Returns the object of type @p Object named @p name, or null.
    template<typename Object>
    [[nodiscard]] const Object *find(ObjectKind kind, std::string_view name) const
    {
        const ConfigurationObject *object = find(ObjectName{kind, std::string(name)});
        return object == nullptr ? nullptr : std::get_if<Object>(object);
    }

    /// Returns all objects of type @p Object, ordered by name.
    template<typename Object>
    [[nodiscard]] std::vector<const Object *> all() const
    {
        std::vector<const Object *> found;
        for (const auto &[name, object] : *m_objects) {
            if (const Object *it = std::get_if<Object>(object.get())) {
                found.push_back(it);
            }
        }
        return found;
    }

    /// Returns the fleet rules of the set, or the defaults if it has none.
    [[nodiscard]] FleetRules fleetRules() const;

    friend bool operator==(const ConfigurationSet &left, const ConfigurationSet &right);

private:
    ConfigurationSet(Revision revision, std::shared_ptr<const Objects> objects);

    Revision m_revision;
    std::shared_ptr<const Objects> m_objects;
};

} // namespace banyankeel

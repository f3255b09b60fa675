#include "state/configurationobjects.h"

#include <type_traits>

namespace banyankeel
{

namespace
{
template<typename Object>
constexpr ObjectKind kindOf()
{
    if constexpr (std::is_same_v<Object, Service>) {
        return ObjectKind::Service;
    } else if constexpr (std::is_same_v<Object, Route>) {
        return ObjectKind::Route;
    } else if constexpr (std::is_same_v<Object, Organisation>) {
        return ObjectKind::Organisation;
    } else if constexpr (std::is_same_v<Object, Key>) {
        return ObjectKind::Key;
    } else if constexpr (std::is_same_v<Object, Priority>) {
        return ObjectKind::Priority;
    } else if constexpr (std::is_same_v<Object, Limit>) {
        return ObjectKind::Limit;
    } else {
        static_assert(std::is_same_v<Object, FleetRules>);
        return ObjectKind::FleetRules;
    }
}
} // namespace

std::string_view nameOf(ObjectKind kind)
{
    switch (kind) {
    case ObjectKind::Service:
        return "service";
    case ObjectKind::Route:
        return "route";
    case ObjectKind::Organisation:
        return "organisation";
    case ObjectKind::Key:
        return "key";
    case ObjectKind::Priority:
        return "priority";
    case ObjectKind::Limit:
        return "limit";
    case ObjectKind::FleetRules:
        return "fleet";
    }
    return "unknown";
}

ObjectName nameOf(const ConfigurationObject &object)
{
    return std::visit(
        [](const auto &it) -> ObjectName {
            using Object = std::decay_t<decltype(it)>;
            if constexpr (std::is_same_v<Object, FleetRules>) {
                return {ObjectKind::FleetRules, "fleet"};
            } else {
                return {kindOf<Object>(), it.name.text()};
            }
        },
        object);
}

} // namespace banyankeel

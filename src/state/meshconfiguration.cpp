#include "state/meshconfiguration.h"

#include "state/errors.h"

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <limits>
#include <set>
#include <utility>

namespace banyankeel
{

namespace
{
/// Removes the port and converts the host name to lower case, since host names are case-insensitive.
std::string normalisedHost(std::string_view host)
{
    std::string normalised(host.substr(0, host.find(':')));
    std::ranges::transform(normalised, normalised.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return normalised;
}
} // namespace

MeshConfiguration::MeshConfiguration(MeshObjects objects)
    : m_objects(std::move(objects))
{
    for (const MeshService &it : m_objects.services) {
        m_services.emplace(it.name, &it);
    }
    checkRoutes();
    rankPriorities();
    for (const MeshRoute &it : m_objects.routes) {
        m_routes[normalisedHost(it.host)].push_back(&it);
    }
    for (auto &[host, routes] : m_routes) {
        std::ranges::stable_sort(routes, std::greater{}, [](const MeshRoute *it) { return it->pathPrefix.size(); });
    }
    for (const MeshOrganisation &it : m_objects.organisations) {
        m_organisationsByName.emplace(it.name, &it);
        for (const std::string &key : it.keys) {
            const auto [existing, inserted] = m_organisationsByKey.emplace(key, &it);
            if (!inserted && existing->second != &it) {
                throw ValueError("organisation " + it.name.text() + ": field keys: a key belongs to organisation " + existing->second->name.text()
                                 + " as well");
            }
        }
    }
}

void MeshConfiguration::checkRoutes() const
{
    for (const MeshRoute &route : m_objects.routes) {
        if (route.services.empty()) {
            throw ValueError("route " + route.name.text() + ": field services: found none, at least one is required");
        }
        for (const WeightedService &it : route.services) {
            if (!m_services.contains(it.service)) {
                throw ValueError("route " + route.name.text() + ": field services: service " + it.service.text() + " is not defined");
            }
        }
    }
}

MeshConfiguration::PriorityPair MeshConfiguration::prioritiesOf(const MeshOrganisation *organisation, const MeshRoute &route)
{
    return {organisation != nullptr && organisation->priority ? *organisation->priority : route.priority, route.priority};
}

void MeshConfiguration::rankPriorities()
{
    std::set<PriorityPair> found;
    for (const MeshRoute &route : m_objects.routes) {
        found.insert(prioritiesOf(nullptr, route));
        for (const MeshOrganisation &organisation : m_objects.organisations) {
            found.insert(prioritiesOf(&organisation, route));
        }
    }
    m_priorities.assign(found.begin(), found.end());
}

PriorityLevel MeshConfiguration::rankOf(const MeshOrganisation *organisation, const MeshRoute &route) const
{
    const auto rank = std::ranges::lower_bound(m_priorities, prioritiesOf(organisation, route)) - m_priorities.begin();
    return static_cast<PriorityLevel>(std::min<std::ptrdiff_t>(rank, std::numeric_limits<std::uint8_t>::max()));
}

const MeshRoute *MeshConfiguration::findRoute(std::string_view host, std::string_view target) const
{
    const auto found = m_routes.find(normalisedHost(host));
    if (found == m_routes.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    const auto it = std::ranges::find_if(found->second, [path](const MeshRoute *route) { return path.starts_with(route->pathPrefix); });
    return it == found->second.end() ? nullptr : *it;
}

const MeshOrganisation *MeshConfiguration::findOrganisation(std::string_view key) const
{
    const auto it = m_organisationsByKey.find(key);
    return it == m_organisationsByKey.end() ? nullptr : it->second;
}

const MeshOrganisation *MeshConfiguration::findOrganisation(const OrganisationId &name) const
{
    const auto it = m_organisationsByName.find(name);
    return it == m_organisationsByName.end() ? nullptr : it->second;
}

const MeshService *MeshConfiguration::findService(const ServiceName &name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : it->second;
}

} // namespace banyankeel

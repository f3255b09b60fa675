#include "mesh/trafficsplitter.h"

#include <algorithm>
#include <numeric>

namespace banyankeel
{

const ServiceName &TrafficSplitter::next(const MeshRoute &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    RouteState &state = m_routes[route.name];
    if (state.services != route.services) {
        state.services = route.services;
        state.credits.assign(route.services.size(), 0);
    }
    for (std::size_t n = 0; n < state.credits.size(); ++n) {
        state.credits[n] += state.services[n].weight;
    }
    const auto best = std::ranges::max_element(state.credits);
    *best -= std::accumulate(state.services.begin(), state.services.end(), 0.0, [](double sum, const WeightedService &it) { return sum + it.weight; });
    return route.services[static_cast<std::size_t>(best - state.credits.begin())].service;
}

} // namespace banyankeel

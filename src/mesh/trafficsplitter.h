#pragma once

// Distributes the requests of a route among its services by weight.
//
//   TrafficSplitter splitter;
//   const ServiceName &service = splitter.next(route);

#include "state/meshconfiguration.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace banyankeel
{

/// Smooth weighted round robin per route: after any number of requests, each service's count is within one request of its weighted share.
/// Not thread-safe. Takes time linear in the number of services of the route.
class TrafficSplitter
{
public:
    /// Returns the service for the route's next request. A change of services or weights resets the route's state.
    const ServiceName &next(const MeshRoute &route);

private:
    struct RouteState {
        std::vector<WeightedService> services;
        std::vector<double> credits;
    };

    std::unordered_map<RouteName, RouteState> m_routes;
};

} // namespace banyankeel

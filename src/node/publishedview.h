#pragma once

// The configuration data that the request path needs, for one revision.

#include "coordination/configuration/keytable.h"
#include "coordination/configuration/routetable.h"
#include "state/configurationset.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace banyankeel
{

/// Immutable; shared by all requests that started under its revision.
struct PublishedView {
    ConfigurationSet set;
    KeyTable keys;
    RouteTable routes;
    /// For each service, the lowest maximum of executions among the service itself and all services reachable through its calls.
    std::unordered_map<ServiceName, std::uint16_t> executionLimits;

    /// @param previous the view being replaced, or null.
    PublishedView(const ConfigurationSet &published, const PublishedView *previous);
};

using PublishedViewPointer = std::shared_ptr<const PublishedView>;

} // namespace banyankeel

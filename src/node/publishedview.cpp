#include "node/publishedview.h"

#include <algorithm>
#include <limits>

namespace banyankeel
{

namespace
{
using ExecutionLimits = std::unordered_map<ServiceName, std::uint16_t>;

std::uint16_t executionLimit(const ServiceName &name, const ConfigurationSet &set, ExecutionLimits &limits)
{
    const auto it = limits.find(name);
    if (it != limits.end()) {
        return it->second;
    }
    const Service *service = set.find<Service>(ObjectKind::Service, name.text());
    std::uint16_t limit = service == nullptr ? std::numeric_limits<std::uint16_t>::max() : service->maxExecutions;
    // Insert before following the calls, so that recursion ends if an unvalidated configuration contains a cycle.
    limits.emplace(name, limit);
    if (service != nullptr) {
        for (const ServiceName &called : service->calls) {
            limit = std::min(limit, executionLimit(called, set, limits));
        }
    }
    limits[name] = limit;
    return limit;
}

ExecutionLimits executionLimitsOf(const ConfigurationSet &set)
{
    ExecutionLimits limits;
    for (const Service *service : set.all<Service>()) {
        executionLimit(service->name, set, limits);
    }
    return limits;
}
} // namespace

PublishedView::PublishedView(const ConfigurationSet &published, const PublishedView *previous)
    : set(published)
    , keys(published, previous == nullptr ? nullptr : &previous->keys)
    , routes(published)
    , executionLimits(executionLimitsOf(published))
{
}

} // namespace banyankeel

#include "coordination/configuration/benchmark/largeset.h"

#include <fmt/format.h>

#include <algorithm>

namespace banyankeel::benchmark
{

namespace
{
constexpr std::size_t FullFleetNodes = 33'000;
constexpr std::size_t CallsPerService = 3;

Key keyOf(std::size_t n, std::size_t organisations)
{
    return {KeyId(fmt::format("key-{:06}", n)),
            OrganisationId(fmt::format("organisation-{:05}", n % organisations)),
            std::string(16, static_cast<char>(n)),
            std::string(32, static_cast<char>(n))};
}
} // namespace

SetSize sizeForNodes(std::size_t nodes)
{
    const SetSize fullSize;
    const auto scaled = [nodes](std::size_t whole) { return std::max<std::size_t>(8, whole * nodes / FullFleetNodes); };
    return {scaled(fullSize.services), scaled(fullSize.organisations), scaled(fullSize.keys)};
}

ConfigurationSet largeSet(const SetSize &size)
{
    ConfigurationChange change;
    for (unsigned n = 0; n < 4; ++n) {
        change.put.push_back(Priority{PriorityName(fmt::format("level-{}", n)), static_cast<PriorityLevel>(n)});
    }
    for (std::size_t n = 0; n < size.services; ++n) {
        Service service{.name = ServiceName(fmt::format("service-{:04}", n)), .calls = {}};
        for (std::size_t call = 1; call <= CallsPerService && n + call < size.services; ++call) {
            service.calls.push_back(ServiceName(fmt::format("service-{:04}", n + call)));
        }
        const Route route{.name = RouteName(fmt::format("route-{:04}", n)),
                          .service = service.name,
                          .pathPrefix = fmt::format("/service-{:04}", n),
                          .priority = PriorityName("level-1"),
                          .organisations = {}};
        change.put.push_back(route);
        change.put.push_back(std::move(service));
    }
    for (std::size_t n = 0; n < size.organisations; ++n) {
        const LimitName limit(fmt::format("limit-{:05}", n));
        change.put.push_back(Limit{limit, 100, 200});
        change.put.push_back(Organisation{OrganisationId(fmt::format("organisation-{:05}", n)), limit});
    }
    for (std::size_t n = 0; n < size.keys; ++n) {
        change.put.push_back(keyOf(n, size.organisations));
    }
    return ConfigurationSet().with(change, 1);
}

ConfigurationChange typicalChange(const SetSize &size, std::uint64_t n)
{
    const std::size_t key = n / 3 % size.keys;
    switch (n % 3) {
    case 0:
        return {.put = {}, .removed = {{ObjectKind::Key, fmt::format("key-{:06}", key)}}};
    case 1:
        return {.put = {keyOf(key, size.organisations)}, .removed = {}};
    default:
        return {.put = {Limit{LimitName(fmt::format("limit-{:05}", key % size.organisations)), 100.0 + static_cast<double>(n % 100), 200}}, .removed = {}};
    }
}

} // namespace banyankeel::benchmark

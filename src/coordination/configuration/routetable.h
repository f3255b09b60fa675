#pragma once

// Finds the route of a caller's HTTP request. A table is built from one revision of the configuration.
//
//   std::shared_ptr<const RouteTable> table = RouteTable::reuseOrBuild(set, previousTable);
//   const RouteEntry *entry = table->find("/certificates/7?crew=4");
//   if (entry != nullptr && entry->isOpenTo(organisation)) ...

#include "state/configurationset.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace banyankeel
{

/// A route with the service and priority that it refers to. Immutable; valid as long as its table.
struct RouteEntry {
    Route route;
    PriorityLevel priority;
    Service service;
    /// The organisations of the route, sorted.
    std::vector<OrganisationId> organisations;

    /// Whether @p organisation may use the route. A route that lists no organisations is open to all.
    [[nodiscard]] bool isOpenTo(const OrganisationId &organisation) const;
};

/// The routes of one configuration set by their path prefixes. Immutable; may be read from any thread.
class RouteTable
{
public:
    /// Skips routes whose service or priority is missing from @p set, and further routes with the same prefix; a validated set has
    /// neither.
    explicit RouteTable(const ConfigurationSet &set);

    /// Returns @p previous if @p set has the same routes, services and priorities, as after most changes, otherwise a new table.
    /// The comparison is linear in their number. @param previous may be null.
    static std::shared_ptr<const RouteTable> reuseOrBuild(const ConfigurationSet &set, std::shared_ptr<const RouteTable> previous);

    /// Returns the route with the longest prefix of @p requestTarget that ends at a segment boundary, or null. Ignores the query and the
    /// fragment. The path is percent-decoded first; one with dot segments, empty segments or an escaped '/' has no route.
    /// Costs one hash lookup per path segment.
    [[nodiscard]] const RouteEntry *find(std::string_view requestTarget) const;

    /// The revision that the table was built from.
    [[nodiscard]] Revision revision() const
    {
        return m_set.revision();
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct StringHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept
        {
            return std::hash<std::string_view>{}(text);
        }
    };

    [[nodiscard]] const RouteEntry *findExact(std::string_view prefix) const;
    void add(const ConfigurationSet &set, const Route &route);

    ConfigurationSet m_set;
    std::unordered_map<std::string, RouteEntry, StringHash, std::equal_to<>> m_entries;
};

} // namespace banyankeel

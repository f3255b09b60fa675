#pragma once

// The routing configuration of a fleet: services, routes, organisations and their limits.
//
//   const MeshRoute *route = configuration.findRoute("hr.example", "/certificates/7");
//   const MeshOrganisation *caller = configuration.findOrganisation(key);

#include "state/callcontext.h"
#include "state/identifier.h"
#include "state/time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace banyankeel
{

/// Version number of a published configuration. A higher version replaces a lower one; versions need not be consecutive.
enum class ConfigurationVersion : std::uint64_t {};

/// Whether a request may be executed more than once.
enum class Repeatability : std::uint8_t {
    Idempotent,
    AtMostOnce,
};

/// A service of a route and its share of the route's requests.
struct WeightedService {
    ServiceName service;
    /// Relative to the weights of the route's other services; a service receives requests only if it is above zero.
    double weight;

    friend auto operator<=>(const WeightedService &, const WeightedService &) = default;
};

/// Maps requests to services and sets the rules that apply to them.
struct MeshRoute {
    RouteName name;
    std::string host;
    /// The longest matching prefix of the host is chosen.
    std::string pathPrefix;
    Repeatability repeatability;
    /// Maximum time until the caller gets a response.
    Duration timeLimit;
    /// Response time within which a response has its full value to the caller.
    Duration targetLatency;
    PriorityLevel priority;
    /// Must not be empty.
    std::vector<WeightedService> services;
    /// Maximum number of targets that one request may be sent to.
    std::uint16_t maxAttempts;
    /// Whether requests are accepted without a key.
    bool isAnonymous;

    friend auto operator<=>(const MeshRoute &, const MeshRoute &) = default;
};

struct MeshService {
    ServiceName name;
    std::string healthPath;
    /// Maximum number of connections that one target accepts, summed over all callers.
    std::uint32_t connections;

    friend auto operator<=>(const MeshService &, const MeshService &) = default;
};

/// An organisation, its keys and its rate limit.
struct MeshOrganisation {
    OrganisationId name;
    std::vector<std::string> keys;
    /// Overrides the route's priority.
    std::optional<PriorityLevel> priority;
    /// Requests per second, summed over all nodes; 0 means unlimited.
    double ratePerSecond;
    double burst;

    friend auto operator<=>(const MeshOrganisation &, const MeshOrganisation &) = default;
};

/// Size and time limits for requests of callers.
struct CallerLimits {
    std::size_t headerBytes;
    std::size_t bodyBytes;
    Duration headerTimeout;
    Duration idleTimeout;

    friend auto operator<=>(const CallerLimits &, const CallerLimits &) = default;
};

/// The objects of one published configuration version.
struct MeshObjects {
    ConfigurationVersion version;
    std::vector<MeshRoute> routes;
    std::vector<MeshService> services;
    std::vector<MeshOrganisation> organisations;
    CallerLimits limits;

    friend auto operator<=>(const MeshObjects &, const MeshObjects &) = default;
};

/// One published configuration version with its lookup tables. Immutable and thread-safe. Returned pointers are valid for its lifetime.
class MeshConfiguration
{
public:
    /// @throws ValueError that names the object and field if a route has no service or an undefined one, or if two organisations share a key.
    explicit MeshConfiguration(MeshObjects objects);
    MeshConfiguration(const MeshConfiguration &) = delete;
    MeshConfiguration &operator=(const MeshConfiguration &) = delete;

    [[nodiscard]] const MeshObjects &objects() const
    {
        return m_objects;
    }
    [[nodiscard]] ConfigurationVersion version() const
    {
        return m_objects.version;
    }
    /// Returns the route of @p host with the longest prefix of @p target, or null. The port of the host and the query of the target are ignored.
    [[nodiscard]] const MeshRoute *findRoute(std::string_view host, std::string_view target) const;
    /// Returns the organisation that owns @p key, or null.
    [[nodiscard]] const MeshOrganisation *findOrganisation(std::string_view key) const;
    [[nodiscard]] const MeshOrganisation *findOrganisation(const OrganisationId &name) const;
    [[nodiscard]] const MeshService *findService(const ServiceName &name) const;
    /// The rank of the requests of @p organisation, null for none, on @p route among all that callers may send: 0 is shed last. The priority of the
    /// organisation goes before that of the route, which ranks the requests of organisations of one priority among each other.
    [[nodiscard]] PriorityLevel rankOf(const MeshOrganisation *organisation, const MeshRoute &route) const;
    /// Whether callers must send a key on routes that are not anonymous.
    [[nodiscard]] bool needsKeys() const
    {
        return !m_objects.organisations.empty();
    }

private:
    struct StringHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept
        {
            return std::hash<std::string_view>{}(text);
        }
    };
    template<typename Value>
    using StringMap = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

    /// The priority that counts first, and the route's own one.
    using PriorityPair = std::pair<PriorityLevel, PriorityLevel>;

    void checkRoutes() const;
    void rankPriorities();
    [[nodiscard]] static PriorityPair prioritiesOf(const MeshOrganisation *organisation, const MeshRoute &route);

    MeshObjects m_objects;
    /// Routes by host, ordered by descending prefix length.
    StringMap<std::vector<const MeshRoute *>> m_routes;
    StringMap<const MeshOrganisation *> m_organisationsByKey;
    std::unordered_map<OrganisationId, const MeshOrganisation *> m_organisationsByName;
    std::unordered_map<ServiceName, const MeshService *> m_services;
    /// In ascending order; the position is the rank.
    std::vector<PriorityPair> m_priorities;
};

using MeshConfigurationPointer = std::shared_ptr<const MeshConfiguration>;

} // namespace banyankeel

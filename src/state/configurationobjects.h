#pragma once

// The named configuration objects that operators publish. Objects refer to one another by name;
// checkConfiguration() in configurationcheck.h validates the references of a complete set.
//
//   Service service{.name = ServiceName("zertifikat"), .calls = {ServiceName("archiv")}, .maxExecutions = 3};

#include "state/callcontext.h"
#include "state/identifier.h"
#include "state/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyankeel
{

/// A service of the call graph. Its targets register under its name.
struct Service {
    ServiceName name;
    /// The services that its targets call. The call graph is acyclic and at most 11 services deep.
    std::vector<ServiceName> calls;
    /// Maximum number of executions of one root request at this service, including retries and repeats by the caller. 1 to 16.
    std::uint16_t maxExecutions = 3;

    friend auto operator<=>(const Service &, const Service &) = default;
};

/// Maps HTTP requests of callers to a service, and sets the rules that apply to them.
struct Route {
    RouteName name;
    ServiceName service;
    /// Must start with '/'. The longest matching prefix is chosen.
    std::string pathPrefix;
    PriorityName priority;
    /// False for requests that must be executed at most once, such as issuing a certificate; these require an idempotency key.
    bool isIdempotent = true;
    /// Organisations that may use the route; empty allows all.
    std::vector<OrganisationId> organisations;
    /// Default deadline of a request, and the upper bound of a deadline that a request specifies.
    Duration deadline = std::chrono::seconds(5);

    friend auto operator<=>(const Route &, const Route &) = default;
};

/// A customer. All its requests share one rate limit, one burst and one fair share.
struct Organisation {
    OrganisationId name;
    LimitName limit;
    /// Relative share of an overloaded service, compared with the other organisations. 1 to 1000.
    std::uint16_t weight = 1;

    friend auto operator<=>(const Organisation &, const Organisation &) = default;
};

/// A caller's key, stored only as a salted hash. Withdrawing a key removes the object.
struct Key {
    KeyId name;
    OrganisationId organisation;
    /// 16 random bytes.
    std::string salt;
    /// SHA-256 of the salt and the secret, 32 bytes.
    std::string hash;

    friend auto operator<=>(const Key &, const Key &) = default;
};

/// A priority class. Level 0 is shed last.
struct Priority {
    PriorityName name;
    PriorityLevel level;

    friend auto operator<=>(const Priority &, const Priority &) = default;
};

/// Rate limit and burst of an organisation, summed over all hosts.
struct Limit {
    LimitName name;
    /// Requests per second, above zero.
    double ratePerSecond;
    /// Maximum number of requests in a burst, at least 1.
    double burst;

    friend auto operator<=>(const Limit &, const Limit &) = default;
};

/// Fleet-wide rules. A set without this object uses the defaults.
struct FleetRules {
    /// A node refuses new requests if, for longer than this, it has reached neither the store nor a peer that has.
    Duration stalenessLimit = std::chrono::hours(2);
    /// How long the claim of a non-idempotent request is kept, so that repeats are detected.
    Duration claimRetention = std::chrono::hours(24);
    std::uint16_t quotaShards = 8;
    std::uint16_t claimShards = 8;
    std::uint16_t directoryShards = 8;
    /// Bytes per second that requests may use of one node's share of the link to other regions.
    std::uint64_t interRegionBytesPerSecond = 200'000;

    friend auto operator<=>(const FleetRules &, const FleetRules &) = default;
};

/// The type of a configuration object. The values are part of store rows and messages.
enum class ObjectKind : std::uint8_t {
    Service = 1,
    Route = 2,
    Organisation = 3,
    Key = 4,
    Priority = 5,
    Limit = 6,
    FleetRules = 7,
};

/// Returns the keyword of @p kind in the configuration language, such as "organisation".
std::string_view nameOf(ObjectKind kind);

/// Identifies an object across all kinds. The fleet rules are named "fleet".
struct ObjectName {
    ObjectKind kind;
    std::string name;

    friend auto operator<=>(const ObjectName &, const ObjectName &) = default;
};

using ConfigurationObject = std::variant<Service, Route, Organisation, Key, Priority, Limit, FleetRules>;

/// Returns the kind and name of @p object.
ObjectName nameOf(const ConfigurationObject &object);

} // namespace banyankeel

#include "state/meshconfiguration.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <utility>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
MeshRoute routeOf(const std::string &name, std::uint8_t priority)
{
    return {.name = RouteName(name),
            .host = "h",
            .pathPrefix = "/" + name + "/",
            .repeatability = Repeatability::Idempotent,
            .timeLimit = 1s,
            .targetLatency = 1s,
            .priority = PriorityLevel{priority},
            .services = {{ServiceName("archive"), 1}},
            .maxAttempts = 2,
            .isAnonymous = true};
}

MeshOrganisation organisationOf(const std::string &name, std::optional<std::uint8_t> priority)
{
    return {.name = OrganisationId(name),
            .keys = {name + "-key"},
            .priority = priority ? std::optional(PriorityLevel{*priority}) : std::nullopt,
            .ratePerSecond = 0,
            .burst = 0};
}
} // namespace

BOOST_AUTO_TEST_SUITE(meshconfiguration)

// Failure: all organisations have the same priority, and the requests of urgent routes are treated like those of any other.
BOOST_AUTO_TEST_CASE(RoutesRankTheRequestsOfOrganisationsOfOnePriority)
{
    const MeshConfiguration configuration({.version = ConfigurationVersion{1},
                                           .routes = {routeOf("urgent", 0), routeOf("late", 2)},
                                           .services = {{ServiceName("archive"), "/", 10}},
                                           .organisations = {organisationOf("large", 1), organisationOf("first", 0), organisationOf("plain", std::nullopt)},
                                           .limits = {}});
    const MeshRoute &urgent = configuration.objects().routes[0];
    const MeshRoute &late = configuration.objects().routes[1];
    const auto organisation = [&](const std::string &name) { return configuration.findOrganisation(OrganisationId(name)); };
    BOOST_CHECK(configuration.rankOf(organisation("large"), urgent) < configuration.rankOf(organisation("large"), late));
    // The priority of the organisation goes first.
    BOOST_CHECK(configuration.rankOf(organisation("first"), late) < configuration.rankOf(organisation("large"), urgent));
    // Without one, the route's counts.
    BOOST_CHECK(configuration.rankOf(organisation("plain"), urgent) < configuration.rankOf(organisation("large"), urgent));
    BOOST_CHECK(configuration.rankOf(organisation("large"), late) < configuration.rankOf(organisation("plain"), late));
    BOOST_CHECK(configuration.rankOf(nullptr, urgent) == configuration.rankOf(organisation("plain"), urgent));
    BOOST_CHECK(configuration.rankOf(nullptr, urgent) == PriorityLevel{0});
}

BOOST_AUTO_TEST_SUITE_END()

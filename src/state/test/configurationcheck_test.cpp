#include "state/configurationcheck.h"
#include "state/durationtext.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
std::vector<ConfigurationObject> validObjects()
{
    return {
        Service{.name = ServiceName("archiv"), .calls = {}},
        Service{.name = ServiceName("einsatz"), .calls = {ServiceName("archiv")}},
        Route{.name = RouteName("schedule"),
              .service = ServiceName("einsatz"),
              .pathPrefix = "/schedule",
              .priority = PriorityName("safety"),
              .organisations = {OrganisationId("lufthafen")}},
        Organisation{.name = OrganisationId("lufthafen"), .limit = LimitName("large")},
        Key{.name = KeyId("lufthafen-1"), .organisation = OrganisationId("lufthafen"), .salt = std::string(16, 's'), .hash = std::string(32, 'h')},
        Priority{.name = PriorityName("safety"), .level = PriorityLevel{0}},
        Limit{.name = LimitName("large"), .ratePerSecond = 100, .burst = 200},
        FleetRules{},
    };
}

ConfigurationSet validSetWith(std::vector<ConfigurationObject> changed)
{
    return ConfigurationSet().with({.put = validObjects(), .removed = {}}, 1).with({.put = std::move(changed), .removed = {}}, 2);
}

bool hasFault(const std::vector<ConfigurationFault> &faults, const ObjectName &object, std::string_view field)
{
    return std::any_of(faults.begin(), faults.end(), [&](const auto &it) { return it.object == object && it.field == field; });
}

/// Returns @p n services, each of which calls the next.
std::vector<ConfigurationObject> callChain(int n)
{
    std::vector<ConfigurationObject> services;
    for (int i = 1; i <= n; ++i) {
        std::vector<ServiceName> calls;
        if (i < n) {
            calls.emplace_back("s" + std::to_string(i + 1));
        }
        services.push_back(Service{.name = ServiceName("s" + std::to_string(i)), .calls = calls});
    }
    return services;
}
} // namespace

BOOST_AUTO_TEST_SUITE(configurationchecks)

BOOST_AUTO_TEST_CASE(ValidSetHasNoFaults)
{
    BOOST_CHECK(checkConfiguration(validSetWith({})).empty());
    BOOST_CHECK(checkConfiguration(ConfigurationSet()).empty());
}

BOOST_AUTO_TEST_CASE(AllFaultsAreReportedAtOnce)
{
    const auto faults = checkConfiguration(validSetWith({
        Service{.name = ServiceName("archiv"), .calls = {ServiceName("gone"), ServiceName("gone")}, .maxExecutions = 17},
        Route{.name = RouteName("a"),
              .service = ServiceName("none"),
              .pathPrefix = "schedule",
              .priority = PriorityName("low"),
              .organisations = {OrganisationId("nobody")},
              .deadline = 0s},
        Route{.name = RouteName("z"), .service = ServiceName("archiv"), .pathPrefix = "/schedule", .priority = PriorityName("safety"), .organisations = {}},
        Organisation{.name = OrganisationId("lufthafen"), .limit = LimitName("absent"), .weight = 0},
        Key{.name = KeyId("stray"), .organisation = OrganisationId("nobody"), .salt = "short", .hash = "short"},
        Priority{.name = PriorityName("urgent"), .level = PriorityLevel{0}},
        Limit{.name = LimitName("large"), .ratePerSecond = 0, .burst = 0.5},
        FleetRules{.stalenessLimit = 1s, .claimRetention = 1s, .quotaShards = 0, .claimShards = 5000, .directoryShards = 0, .interRegionBytesPerSecond = 0},
    }));

    BOOST_CHECK(hasFault(faults, {ObjectKind::Service, "archiv"}, "calls"));
    BOOST_CHECK(hasFault(faults, {ObjectKind::Service, "archiv"}, "max_executions"));
    for (const char *field : {"service", "priority", "organisations", "path_prefix", "deadline"}) {
        BOOST_CHECK_MESSAGE(hasFault(faults, {ObjectKind::Route, "a"}, field), field);
    }
    BOOST_CHECK(hasFault(faults, {ObjectKind::Route, "z"}, "path_prefix"));
    BOOST_CHECK(hasFault(faults, {ObjectKind::Organisation, "lufthafen"}, "limit"));
    BOOST_CHECK(hasFault(faults, {ObjectKind::Organisation, "lufthafen"}, "weight"));
    for (const char *field : {"organisation", "salt", "hash"}) {
        BOOST_CHECK_MESSAGE(hasFault(faults, {ObjectKind::Key, "stray"}, field), field);
    }
    BOOST_CHECK(hasFault(faults, {ObjectKind::Priority, "urgent"}, "level"));
    BOOST_CHECK(hasFault(faults, {ObjectKind::Limit, "large"}, "rate_per_second"));
    BOOST_CHECK(hasFault(faults, {ObjectKind::Limit, "large"}, "burst"));
    for (const char *field : {"staleness_limit", "claim_retention", "quota_shards", "claim_shards", "directory_shards", "inter_region_bytes_per_second"}) {
        BOOST_CHECK_MESSAGE(hasFault(faults, {ObjectKind::FleetRules, "fleet"}, field), field);
    }
    // An undefined name that is listed twice gives three faults: one per reference and one for the duplicate.
    BOOST_CHECK_EQUAL(faults.size(), 24U);
}

BOOST_AUTO_TEST_CASE(CallCycleIsReportedOnceWithItsServices)
{
    const auto faults = checkConfiguration(validSetWith({Service{.name = ServiceName("archiv"), .calls = {ServiceName("einsatz")}}}));
    BOOST_REQUIRE_EQUAL(faults.size(), 1U);
    BOOST_CHECK_EQUAL(faults[0].found, "archiv -> einsatz -> archiv");
    BOOST_CHECK_EQUAL(faults[0].text(), "service einsatz: field calls: found \"archiv -> einsatz -> archiv\", allowed: calls without a cycle");
}

BOOST_AUTO_TEST_CASE(CallChainIsLimitedToElevenServices)
{
    BOOST_CHECK(checkConfiguration(validSetWith(callChain(11))).empty());
    const auto faults = checkConfiguration(validSetWith(callChain(14)));
    BOOST_REQUIRE_EQUAL(faults.size(), 1U);
    BOOST_CHECK_EQUAL(faults[0].object.name, "s3");
}

BOOST_AUTO_TEST_CASE(NonFiniteLimitIsRejected)
{
    const auto faults = checkConfiguration(validSetWith({Limit{.name = LimitName("large"), .ratePerSecond = std::nan(""), .burst = INFINITY}}));
    BOOST_CHECK_EQUAL(faults.size(), 2U);
}

BOOST_AUTO_TEST_CASE(DurationsAreParsedAndFormatted)
{
    BOOST_CHECK(parseDuration("200ms") == 200ms);
    BOOST_CHECK(parseDuration("2h") == 2h);
    BOOST_CHECK_EQUAL(durationText(90s), "90s");
    BOOST_CHECK_EQUAL(durationText(24h), "1d");
    for (const char *text : {"", "5", "s", "-5s", "5 s", "5.5s", "99999999999d", "1week"}) {
        BOOST_CHECK_MESSAGE(!parseDuration(text), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include "protocol/configurationyaml.h"
#include "protocol/yamlfaults.h"
#include "state/configurationcheck.h"
#include "state/errors.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
std::string faultsOf(std::string_view text)
{
    try {
        readConfigurationYaml(text, "fleet.yaml");
    } catch (const SettingsError &error) {
        return error.what();
    }
    return "";
}
} // namespace

BOOST_AUTO_TEST_SUITE(configurationyaml)

BOOST_AUTO_TEST_CASE(WrittenSetIsReadBackUnchanged)
{
    const ConfigurationSet set = ConfigurationSet().with(
        {.put =
             {Service{.name = ServiceName("archiv"), .calls = {}},
              Service{.name = ServiceName("einsatz"), .calls = {ServiceName("archiv")}, .maxExecutions = 2},
              Route{.name = RouteName("issue"),
                    .service = ServiceName("einsatz"),
                    .pathPrefix = "/issue",
                    .priority = PriorityName("safety"),
                    .isIdempotent = false,
                    .organisations = {OrganisationId("o1"), OrganisationId("o2")},
                    .deadline = 1500ms},
              Organisation{.name = OrganisationId("o1"), .limit = LimitName("large"), .weight = 7},
              Key{.name = KeyId("k"), .organisation = OrganisationId("o1"), .salt = std::string("\x00\xff 0123456789abc", 16), .hash = std::string(32, '\x7f')},
              Priority{.name = PriorityName("safety"), .level = PriorityLevel{3}},
              Limit{.name = LimitName("large"), .ratePerSecond = 0.1, .burst = 12.5},
              FleetRules{.stalenessLimit = 90s, .quotaShards = 3}},
         .removed = {}},
        0);
    const ConfigurationFile document = readConfigurationYaml(writeConfigurationYaml(set), "fleet.yaml");
    BOOST_CHECK(document.set == set);
    BOOST_CHECK(document.listsKeys);
}

BOOST_AUTO_TEST_CASE(EmptyFileIsAnEmptySetThatDoesNotListKeys)
{
    const ConfigurationFile document = readConfigurationYaml("", "fleet.yaml");
    BOOST_CHECK(document.set.objects().empty());
    BOOST_CHECK(!document.listsKeys);
}

BOOST_AUTO_TEST_CASE(EveryFaultIsReportedWithFileLineObjectAndField)
{
    const std::string text = R"(services:
  - name: archiv
    calls: archiv
    max_executions: many
    colour: red
  - name: archiv
  - calls: [x y]
routes:
  - name: issue
    name: issue
    service: archiv
    path_prefix: /issue
    deadline: soon
    idempotent: maybe
keys: {}
limits:
  - name: large
    rate_per_second: 1.5x
fleet:
  staleness_limit: 5
plans: []
)";
    const std::string expected = R"(fleet.yaml:3: service archiv: field calls: found "archiv", allowed: a list
fleet.yaml:4: service archiv: field max_executions: found "many", allowed: a whole number from 0 to 65535
fleet.yaml:5: service archiv: field colour: found an unknown field, allowed: name, calls, max_executions
fleet.yaml:6: service archiv: field name: found "archiv", allowed: each name once; it is also defined at line 2
fleet.yaml:7: service (unnamed): field name: found nothing, allowed: a name
fleet.yaml:7: service (unnamed): field calls: found "x y", allowed: 1 to 64 characters of letters, digits, '-', '_' and '.'
fleet.yaml:9: route issue: field priority: found nothing, allowed: a name
fleet.yaml:10: route issue: field name: found a repeated field, allowed: each field once
fleet.yaml:13: route issue: field deadline: found "soon", allowed: a whole number with a unit, such as 200ms, 5s, 10m or 2h
fleet.yaml:14: route issue: field idempotent: found "maybe", allowed: true or false
fleet.yaml:15: configuration: field keys: found a map, allowed: a list
fleet.yaml:17: limit large: field burst: found nothing, allowed: a number
fleet.yaml:18: limit large: field rate_per_second: found "1.5x", allowed: a number
fleet.yaml:20: fleet: field staleness_limit: found "5", allowed: a whole number with a unit, such as 200ms, 5s, 10m or 2h
fleet.yaml:21: configuration: field plans: found an unknown field, allowed: services, routes, organisations, keys, priorities, limits, fleet)";
    BOOST_CHECK_EQUAL(faultsOf(text), expected);
}

BOOST_AUTO_TEST_CASE(InvalidYamlIsRejectedWithItsLine)
{
    BOOST_CHECK(faultsOf("services:\n  - [\n").starts_with("fleet.yaml:"));
    BOOST_CHECK_EQUAL(faultsOf("just text"), "fleet.yaml:1: configuration: field (all): found \"just text\", allowed: a map of fields");
}

BOOST_AUTO_TEST_CASE(ValidationFaultIsReportedAtTheLineOfItsObject)
{
    const ConfigurationFile document = readConfigurationYaml("organisations:\n  - name: o1\n    limit: none\n", "fleet.yaml");
    const auto lines = document.describe({{{ObjectKind::Organisation, "o1"}, "limit", "none", "the name of a limit of this set"}});
    BOOST_REQUIRE_EQUAL(lines.size(), 1U);
    BOOST_CHECK_EQUAL(lines[0], "fleet.yaml:2: organisation o1: field limit: found \"none\", allowed: the name of a limit of this set");
}

BOOST_AUTO_TEST_CASE(ExampleSetsHaveNoFaults)
{
    for (const char *name : {"steigflug", "aigaio"}) {
        const std::string file = std::string(BANYANKEEL_EXAMPLES) + "/" + name + ".yaml";
        const ConfigurationFile document = readConfigurationYaml(readTextFile(file), file);
        for (const std::string &line : document.describe(checkConfiguration(document.set))) {
            BOOST_ERROR(line);
        }
        BOOST_CHECK_EQUAL(document.set.all<Organisation>().size(), 8U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

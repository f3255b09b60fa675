#include "coordination/configuration/routetable.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;

namespace
{
Route routeOf(const std::string &name, const std::string &prefix, std::vector<OrganisationId> organisations = {})
{
    return {.name = RouteName(name),
            .service = ServiceName("zertifikat"),
            .pathPrefix = prefix,
            .priority = PriorityName("high"),
            .organisations = std::move(organisations)};
}

RouteTable sampleTable()
{
    const ConfigurationChange change{
        .put = {Service{.name = ServiceName("zertifikat"), .calls = {}},
                Priority{PriorityName("high"), PriorityLevel{1}},
                routeOf("root", "/"),
                routeOf("certificates", "/certificates/", {OrganisationId("lufthafen"), OrganisationId("bergwacht")}),
                routeOf("issue", "/certificates/issue")},
        .removed = {},
    };
    return RouteTable(ConfigurationSet().with(change, 4));
}

std::string matchedRoute(const RouteTable &table, std::string_view requestTarget)
{
    const RouteEntry *entry = table.find(requestTarget);
    return entry == nullptr ? "none" : entry->route.name.text();
}
} // namespace

BOOST_AUTO_TEST_SUITE(routetable)

BOOST_AUTO_TEST_CASE(LongestPrefixAtSegmentBoundaryMatches)
{
    const RouteTable table = sampleTable();
    BOOST_CHECK_EQUAL(matchedRoute(table, "/certificates/issue/7?crew=/x"), "issue");
    BOOST_CHECK_EQUAL(matchedRoute(table, "/certificates/issue?crew=7"), "issue");
    BOOST_CHECK_EQUAL(matchedRoute(table, "/certificates/issued"), "certificates");
    BOOST_CHECK_EQUAL(matchedRoute(table, "/certificates"), "certificates");
    BOOST_CHECK_EQUAL(matchedRoute(table, "/certificatesX"), "root");
    BOOST_CHECK_EQUAL(matchedRoute(table, "/"), "root");
    BOOST_CHECK_EQUAL(matchedRoute(table, "certificates"), "none");
    BOOST_CHECK_EQUAL(matchedRoute(table, ""), "none");
}

BOOST_AUTO_TEST_CASE(AmbiguousPathMatchesNoRoute)
{
    const RouteTable table = sampleTable();
    BOOST_CHECK_EQUAL(matchedRoute(table, "/certificates/%69ssue"), "issue");
    for (const char *path :
         {"/x/../certificates", "/x/%2e%2E/certificates", "/certificates//issue", "/certificates%2fissue", "/certificates/.", "/%0", "/%zz", "/a%00"}) {
        BOOST_CHECK_EQUAL(matchedRoute(table, path), "none");
    }
}

BOOST_AUTO_TEST_CASE(RouteIsOpenToItsOrganisationsOnly)
{
    const RouteTable table = sampleTable();
    BOOST_CHECK(table.find("/certificates")->isOpenTo(OrganisationId("bergwacht")));
    BOOST_CHECK(!table.find("/certificates")->isOpenTo(OrganisationId("other")));
    BOOST_CHECK(table.find("/")->isOpenTo(OrganisationId("other")));
    BOOST_CHECK(table.find("/")->priority == PriorityLevel{1});
}

BOOST_AUTO_TEST_CASE(TableIsReusedUnlessRoutesServicesOrPrioritiesChange)
{
    const ConfigurationChange change{
        .put = {Service{.name = ServiceName("zertifikat"), .calls = {}}, Priority{PriorityName("high"), PriorityLevel{1}}, routeOf("root", "/")},
        .removed = {}};
    const ConfigurationSet set = ConfigurationSet().with(change, 1);
    const auto first = RouteTable::reuseOrBuild(set, nullptr);
    const ConfigurationSet limited = set.with({.put = {Limit{LimitName("small"), 1, 1}}, .removed = {}}, 2);
    BOOST_CHECK(RouteTable::reuseOrBuild(limited, first) == first);
    const ConfigurationSet lower = limited.with({.put = {Priority{PriorityName("high"), PriorityLevel{2}}}, .removed = {}}, 3);
    const auto second = RouteTable::reuseOrBuild(lower, first);
    BOOST_CHECK(second->find("/")->priority == PriorityLevel{2});
    const ConfigurationSet without = lower.with({.put = {}, .removed = {{ObjectKind::Route, "root"}}}, 4);
    BOOST_CHECK(RouteTable::reuseOrBuild(without, second)->find("/") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

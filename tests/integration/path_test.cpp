#include "integration/fleetcontrol.h"
#include "protocol/headernames.h"
#include "testing/fleet/caller.h"
#include "testing/fleet/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
const std::string Binaries = BANYANKEEL_BINARIES;
const std::string Examples = BANYANKEEL_EXAMPLES;
} // namespace

BOOST_AUTO_TEST_SUITE(path)

BOOST_AUTO_TEST_CASE(EveryCallerGetsTheWholeAnswerOverThreeHops)
{
    Fleet fleet(FleetPlan::chain(2), Binaries);
    fleet.start();
    fleet.publish(Examples + "/steigflug.yaml");
    Caller caller(fleet.grantKey("kranich", "crew-desk"));
    // Nodes of a new fleet refuse calls until they know who holds the quota shards.
    for (const Host &host : fleet.hosts()) {
        waitUntilServed(caller, host.callers, "/archiv/lookup/settle");
    }
    for (const Host &host : fleet.hosts()) {
        const HttpResult result = caller.call(host.callers, "GET", "/einsatz/check/crew-7");
        BOOST_REQUIRE(result.response.has_value());
        BOOST_TEST_CONTEXT(reasonOf(result))
        {
            BOOST_CHECK_EQUAL(result.response->status, 200);
            BOOST_CHECK_EQUAL(verdictOf(result), "ran");
        }
    }
}

// Failure: a node whose bodies may be short closes the connection of a peer that sends a long one, with all that is under way on it.
BOOST_AUTO_TEST_CASE(ANodeReadsWhateverItsPeersMaySend)
{
    constexpr std::size_t BodyBytes = std::size_t{2} * 1024 * 1024;
    Fleet fleet(FleetPlan::chain(1), Binaries);
    Host *entry = nullptr;
    for (Host &host : fleet.hosts()) {
        if (host.service == "archiv") {
            host.nodeLimits = {{"body_bytes", 16 * 1024}};
        } else {
            entry = &host;
        }
    }
    BOOST_REQUIRE(entry != nullptr);
    fleet.start();
    fleet.publish(Examples + "/steigflug.yaml");
    Caller caller(fleet.grantKey("kranich", "crew-desk"));
    waitUntilServed(caller, entry->callers, "/archiv/lookup/settle");
    const HttpResult result = caller.call(entry->callers, "GET", "/archiv/lookup/long", {}, std::string(BodyBytes, 'b'));
    BOOST_REQUIRE(result.response.has_value());
    BOOST_CHECK_EQUAL(result.response->status, 200);
    BOOST_CHECK_EQUAL(verdictOf(result), "ran");
}

BOOST_AUTO_TEST_CASE(ARequestWithoutAKeyInForceIsRefusedAndNotRun)
{
    Fleet fleet(FleetPlan::chain(1), Binaries);
    fleet.start();
    fleet.publish(Examples + "/steigflug.yaml");
    Caller stranger("nobody.0000");
    const HttpResult result = stranger.call(fleet.hosts().front().callers, "GET", "/einsatz/check");
    BOOST_REQUIRE(result.response.has_value());
    BOOST_CHECK_EQUAL(result.response->status, 401);
    BOOST_CHECK_EQUAL(verdictOf(result), "not-run");
    BOOST_CHECK_EQUAL(reasonOf(result), "unknown-key");
}

BOOST_AUTO_TEST_SUITE_END()

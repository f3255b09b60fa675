#include "state/configurationset.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;

BOOST_AUTO_TEST_SUITE(configurationsets)

BOOST_AUTO_TEST_CASE(AppliedChangeProducesTheOtherSet)
{
    const ConfigurationSet empty;
    const Service archiv{.name = ServiceName("archiv"), .calls = {}};
    const Service einsatz{.name = ServiceName("einsatz"), .calls = {ServiceName("archiv")}};
    const ConfigurationSet first = empty.with({.put = {archiv, einsatz}, .removed = {}}, 1);
    const Service changedArchiv{.name = ServiceName("archiv"), .calls = {}, .maxExecutions = 2};
    const ConfigurationSet second = first.with({.put = {changedArchiv}, .removed = {{ObjectKind::Service, "einsatz"}}}, 2);

    const ConfigurationChange change = first.changeTo(second);
    BOOST_CHECK_EQUAL(change.put.size(), 1U);
    BOOST_CHECK_EQUAL(change.removed.size(), 1U);
    BOOST_CHECK(first.with(change, 2) == second);
    BOOST_CHECK(first != second);
    BOOST_CHECK_EQUAL(second.find<Service>(ObjectKind::Service, "archiv")->maxExecutions, 2);
}

BOOST_AUTO_TEST_SUITE_END()

#include "telemetry/logging.h"
#include "telemetry/metrics.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace banyankeel;

BOOST_AUTO_TEST_SUITE(telemetry)

// Failure: a name that another system has chosen forges a line of the log, or a field.
BOOST_AUTO_TEST_CASE(NoValueCanForgeALineOrAField)
{
    BOOST_CHECK_EQUAL(formatLogLine("e", {{"name", "North Airport"}, {"n", "1"}}), "event=e name=\"North Airport\" n=1");
    BOOST_CHECK_EQUAL(formatLogLine("e", {{"name", "a\nevent=stopped"}}), "event=e name=\"a event=stopped\"");
    BOOST_CHECK_EQUAL(formatLogLine("e", {{"name", "a\" b=c\\"}}), "event=e name=\"a\\\" b=c\\\\\"");
    BOOST_CHECK_EQUAL(formatLogLine("e", {{"name", "\x1b[2J"}}), "event=e name=\"\\x1b[2J\"");
    BOOST_CHECK_EQUAL(formatLogLine("e", {{"name", "M\u00fcnchen"}}), "event=e name=M\u00fcnchen");
    BOOST_CHECK_EQUAL(formatLogLine("e", {{"name", ""}}), "event=e name=\"\"");
}

BOOST_AUTO_TEST_CASE(ALongValueIsCut)
{
    BOOST_CHECK_LT(formatLogLine("e", {{"name", std::string(100'000, 'n')}}).size(), 5'000);
}

// Failure: a name spoils the text that a monitoring system reads.
BOOST_AUTO_TEST_CASE(LabelsAreEscaped)
{
    Metrics metrics;
    metrics.counter("served", {{"route", "a\"b\\c\nd e"}}).add(3);
    BOOST_CHECK_EQUAL(metrics.exposition(), "served{route=\"a\\\"b\\\\c\\nd e\"} 3\n");
}

BOOST_AUTO_TEST_SUITE_END()

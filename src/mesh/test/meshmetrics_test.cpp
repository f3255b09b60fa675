#include "mesh/meshmetrics.h"
#include "mesh/peertraffic.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
bool hasLine(const std::string &text, const std::string &line)
{
    return ('\n' + text).find('\n' + line + '\n') != std::string::npos;
}
} // namespace

BOOST_AUTO_TEST_SUITE(meshmetrics)

BOOST_AUTO_TEST_CASE(RequestsAreCountedByOutcomeAndTimedByRoute)
{
    MeshMetrics metrics;
    metrics.recordRequest(Verdict::ran(), "lookup", "amsel", 3ms);
    metrics.recordRequest(Verdict::ran(), "lookup", "amsel", 20s);
    metrics.recordRequest(Verdict::refused(Reason::Overloaded), "lookup", "star", 1ms);
    const std::string text = metrics.exposition({{"banyankeel_known_peers", 4}});
    BOOST_TEST(hasLine(text, R"(banyankeel_requests_total{verdict="ran",reason="none"} 2)"));
    BOOST_TEST(hasLine(text, R"(banyankeel_requests_total{verdict="not-run",reason="overloaded"} 1)"));
    BOOST_TEST(hasLine(text, R"(banyankeel_request_seconds_bucket{route="lookup",le="0.001"} 1)"));
    BOOST_TEST(hasLine(text, R"(banyankeel_request_seconds_bucket{route="lookup",le="0.005"} 2)"));
    BOOST_TEST(hasLine(text, R"(banyankeel_request_seconds_bucket{route="lookup",le="10"} 2)"));
    BOOST_TEST(hasLine(text, R"(banyankeel_request_seconds_bucket{route="lookup",le="+Inf"} 3)"));
    BOOST_TEST(hasLine(text, R"(banyankeel_request_seconds_count{route="lookup"} 3)"));
    BOOST_TEST(hasLine(text, R"(banyankeel_not_served_total{organisation="star",reason="overloaded"} 1)"));
    BOOST_TEST(hasLine(text, "banyankeel_known_peers 4"));
}

BOOST_AUTO_TEST_CASE(SeriesAreBounded)
{
    MeshMetrics metrics;
    for (int n = 0; n < 10'000; ++n) {
        metrics.recordRequest(Verdict::refused(Reason::RateExceeded), "route-" + std::to_string(n), "organisation-" + std::to_string(n), 1ms);
    }
    const std::string text = metrics.exposition({});
    constexpr std::ptrdiff_t LinesPerHistogram = 15;
    constexpr auto MaxLines =
        static_cast<std::ptrdiff_t>(MeshMetrics::MaxRoutes + 1) * LinesPerHistogram + MeshMetrics::MaxOrganisations + 2 * LinesPerHistogram + 2;
    BOOST_TEST(std::ranges::count(text, '\n') <= MaxLines);
    BOOST_TEST(hasLine(text, R"(banyankeel_not_served_total{organisation="other",reason="rate-exceeded"} 9800)"));
}

BOOST_AUTO_TEST_CASE(AttemptsAndStoreCallsAreTimed)
{
    MeshMetrics metrics;
    metrics.recordAttempt(Verdict::unknown(Reason::ConnectionLost), 2ms, 40ms);
    metrics.recordStoreCall("follow", false, 700ms);
    const std::string text = metrics.exposition({});
    BOOST_TEST(hasLine(text, R"(banyankeel_attempts_total{verdict="may-have-run",reason="connection-lost"} 1)"));
    BOOST_TEST(hasLine(text, R"(banyankeel_attempt_run_seconds_bucket{le="0.05"} 1)"));
    BOOST_TEST(hasLine(text, R"(banyankeel_store_call_seconds_count{call="follow",answered="no"} 1)"));
}

BOOST_AUTO_TEST_CASE(ConfigurationDocumentsAreCountedByEvent)
{
    MeshMetrics metrics;
    metrics.recordConfigurationDocument("sent", 200);
    metrics.recordConfigurationDocument("sent", 300);
    const std::string text = metrics.exposition({});
    BOOST_TEST(hasLine(text, R"(banyankeel_configuration_documents_total{event="sent"} 2)"));
    BOOST_TEST(hasLine(text, R"(banyankeel_configuration_document_bytes_total{event="sent"} 500)"));
}

BOOST_AUTO_TEST_CASE(MessagesBetweenNodesAreCountedByTypeAndDistance)
{
    PeerTraffic traffic;
    traffic.record(TrafficDirection::Sent, MessageType::NodeReport, PeerDistance::OtherRegion, 100);
    traffic.record(TrafficDirection::Sent, MessageType::NodeReport, PeerDistance::OtherRegion, 50);
    traffic.record(TrafficDirection::Received, MessageType::CallRequest, PeerDistance::Region, 7);
    BOOST_CHECK(traffic.exposition().find("banyankeel_peer_bytes_total{direction=\"sent\",type=\"node-report\",distance=\"other-region\"} 150\n")
                != std::string::npos);
    BOOST_CHECK_EQUAL(traffic.takeSummary(TrafficDirection::Sent), "node-report/other-region=2:150");
    BOOST_CHECK_EQUAL(traffic.takeSummary(TrafficDirection::Sent), "");
    BOOST_CHECK_EQUAL(traffic.takeSummary(TrafficDirection::Received), "call-request/region=1:7");
}

BOOST_AUTO_TEST_SUITE_END()

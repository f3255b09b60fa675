#include "mesh/meshmetrics.h"

#include "telemetry/metrics.h"

#include <fmt/format.h>

namespace banyankeel
{

namespace
{
const std::string Other = "other";

std::string outcomeLabels(RunState runState, Reason reason)
{
    return fmt::format("verdict=\"{}\",reason=\"{}\"", nameOf(runState), nameOf(reason));
}
} // namespace

void MeshMetrics::recordRequest(const Verdict &verdict, const std::string &route, const std::string &organisation, Duration age)
{
    ++m_requests[{verdict.runState(), verdict.reason()}];
    const bool isRouteTracked = m_routes.size() < MaxRoutes || m_routes.contains(route);
    m_routes[isRouteTracked ? route : Other].observe(age);
    if (verdict.runState() == RunState::Ran) {
        return;
    }
    const std::pair key(organisation, verdict.reason());
    const bool isOrganisationTracked = m_notServed.size() < MaxOrganisations || m_notServed.contains(key);
    ++m_notServed[isOrganisationTracked ? key : std::pair(Other, verdict.reason())];
}

void MeshMetrics::recordAttempt(const Verdict &verdict, Duration waited, Duration ran)
{
    ++m_attempts[{verdict.runState(), verdict.reason()}];
    m_waited.observe(waited);
    m_ran.observe(ran);
}

void MeshMetrics::recordStoreCall(std::string_view call, bool isAnswered, Duration time)
{
    m_store[{std::string(call), isAnswered}].observe(time);
}

void MeshMetrics::recordConfigurationDocument(std::string_view event, std::size_t bytes)
{
    DocumentCount &count = m_configurationDocuments[std::string(event)];
    ++count.documents;
    count.bytes += bytes;
}

std::string MeshMetrics::exposition(const std::vector<Gauge> &gauges) const
{
    std::string text;
    for (const auto &[outcome, n] : m_requests) {
        text += fmt::format("banyankeel_requests_total{{{}}} {}\n", outcomeLabels(outcome.first, outcome.second), n);
    }
    for (const auto &[route, histogram] : m_routes) {
        text += histogram.exposition("banyankeel_request_seconds", fmt::format("route=\"{}\"", labelValueOf(route)));
    }
    for (const auto &[key, n] : m_notServed) {
        text += fmt::format("banyankeel_not_served_total{{organisation=\"{}\",reason=\"{}\"}} {}\n", labelValueOf(key.first), nameOf(key.second), n);
    }
    for (const auto &[outcome, n] : m_attempts) {
        text += fmt::format("banyankeel_attempts_total{{{}}} {}\n", outcomeLabels(outcome.first, outcome.second), n);
    }
    text += m_waited.exposition("banyankeel_attempt_wait_seconds", {});
    text += m_ran.exposition("banyankeel_attempt_run_seconds", {});
    for (const auto &[key, histogram] : m_store) {
        text += histogram.exposition("banyankeel_store_call_seconds", fmt::format("call=\"{}\",answered=\"{}\"", key.first, key.second ? "yes" : "no"));
    }
    for (const auto &[event, count] : m_configurationDocuments) {
        text += fmt::format("banyankeel_configuration_documents_total{{event=\"{}\"}} {}\n", event, count.documents);
        text += fmt::format("banyankeel_configuration_document_bytes_total{{event=\"{}\"}} {}\n", event, count.bytes);
    }
    for (const Gauge &it : gauges) {
        text += fmt::format("{} {}\n", it.name, it.value);
    }
    return text;
}

} // namespace banyankeel

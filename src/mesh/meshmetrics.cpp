#include "mesh/meshmetrics.h"

#include <fmt/format.h>

namespace banyankeel
{

namespace
{
const std::string Other = "other";

std::string endingLabels(RunState runState, Reason reason)
{
    return fmt::format("verdict=\"{}\",reason=\"{}\"", nameOf(runState), nameOf(reason));
}
} // namespace

void MeshMetrics::requestEnded(const Verdict &verdict, const std::string &route, const std::string &organisation, Duration age)
{
    ++m_requests[{verdict.runState(), verdict.reason()}];
    const bool isRouteKept = m_routes.size() < MostRoutes || m_routes.contains(route);
    m_routes[isRouteKept ? route : Other].observe(age);
    if (verdict.runState() == RunState::Ran) {
        return;
    }
    const std::pair key(organisation, verdict.reason());
    const bool isOrganisationKept = m_refused.size() < MostOrganisations || m_refused.contains(key);
    ++m_refused[isOrganisationKept ? key : std::pair(Other, verdict.reason())];
}

void MeshMetrics::attemptEnded(const Verdict &verdict, Duration waited, Duration ran)
{
    ++m_attempts[{verdict.runState(), verdict.reason()}];
    m_waited.observe(waited);
    m_ran.observe(ran);
}

void MeshMetrics::storeCalled(std::string_view call, bool isAnswered, Duration time)
{
    m_store[{std::string(call), isAnswered}].observe(time);
}

std::string MeshMetrics::exposition(const std::vector<Gauge> &gauges) const
{
    std::string text;
    for (const auto &[ending, n] : m_requests) {
        text += fmt::format("banyankeel_requests_total{{{}}} {}\n", endingLabels(ending.first, ending.second), n);
    }
    for (const auto &[route, histogram] : m_routes) {
        text += histogram.exposition("banyankeel_request_seconds", fmt::format("route=\"{}\"", route));
    }
    for (const auto &[key, n] : m_refused) {
        text += fmt::format("banyankeel_not_served_total{{organisation=\"{}\",reason=\"{}\"}} {}\n", key.first, nameOf(key.second), n);
    }
    for (const auto &[ending, n] : m_attempts) {
        text += fmt::format("banyankeel_attempts_total{{{}}} {}\n", endingLabels(ending.first, ending.second), n);
    }
    text += m_waited.exposition("banyankeel_attempt_wait_seconds", {});
    text += m_ran.exposition("banyankeel_attempt_run_seconds", {});
    for (const auto &[key, histogram] : m_store) {
        text += histogram.exposition("banyankeel_store_call_seconds", fmt::format("call=\"{}\",answered=\"{}\"", key.first, key.second ? "yes" : "no"));
    }
    for (const Gauge &it : gauges) {
        text += fmt::format("{} {}\n", it.name, it.value);
    }
    return text;
}

} // namespace banyankeel

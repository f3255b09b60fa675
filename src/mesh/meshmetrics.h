#pragma once

// Counts and times of one node, as text for a metrics collector.
//
//   MeshMetrics metrics;
//   metrics.requestEnded(verdict, route, organisation, age);
//   std::string text = metrics.exposition(gauges);

#include "state/identifier.h"
#include "state/time.h"
#include "state/verdict.h"
#include "telemetry/histogram.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyankeel
{

/// A value that is read when the metrics are.
struct Gauge {
    std::string name;
    double value;
};

/// Not thread-safe. Series are bounded: what comes beyond the most routes and organisations counts as "other".
class MeshMetrics
{
public:
    static constexpr std::size_t MostRoutes = 100;
    static constexpr std::size_t MostOrganisations = 200;

    /// A request ended at its entry. @param route "-" where it was refused before its route was known; @param organisation likewise.
    void requestEnded(const Verdict &verdict, const std::string &route, const std::string &organisation, Duration age);
    /// An attempt ended at this node's target.
    void attemptEnded(const Verdict &verdict, Duration waited, Duration ran);
    /// @param call what was asked of the store; @param isAnswered whether it answered.
    void storeCalled(std::string_view call, bool isAnswered, Duration time);

    [[nodiscard]] std::string exposition(const std::vector<Gauge> &gauges) const;

private:
    using Ending = std::pair<RunState, Reason>;

    std::map<Ending, std::uint64_t> m_requests;
    std::map<std::string, Histogram> m_routes;
    /// Requests that were not served, by organisation and reason.
    std::map<std::pair<std::string, Reason>, std::uint64_t> m_refused;
    std::map<Ending, std::uint64_t> m_attempts;
    Histogram m_waited;
    Histogram m_ran;
    std::map<std::pair<std::string, bool>, Histogram> m_store;
};

} // namespace banyankeel

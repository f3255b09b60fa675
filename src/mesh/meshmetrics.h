#pragma once

// Counters and histograms of one node, in the text exposition format.
//
//   MeshMetrics metrics;
//   metrics.recordRequest(verdict, route, organisation, age);
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

/// A value that is sampled when the metrics are read.
struct Gauge {
    std::string name;
    double value;
};

/// Not thread-safe. The number of series is bounded: values beyond MaxRoutes and MaxOrganisations are counted as "other".
class MeshMetrics
{
public:
    static constexpr std::size_t MaxRoutes = 100;
    static constexpr std::size_t MaxOrganisations = 200;

    /// Records a request that ended at its entry node. @param route "-" if it was refused before it was accepted for routing; @param organisation likewise.
    void recordRequest(const Verdict &verdict, const std::string &route, const std::string &organisation, Duration age);
    /// Records an attempt that ended at this node's target.
    void recordAttempt(const Verdict &verdict, Duration waited, Duration ran);
    /// Records a call to the store. @param call the kind of call; @param isAnswered whether the store answered.
    void recordStoreCall(std::string_view call, bool isAnswered, Duration time);
    /// Records a configuration document that was requested from a peer, received from one or sent to one. @param event one of these words.
    void recordConfigurationDocument(std::string_view event, std::size_t bytes);

    [[nodiscard]] std::string exposition(const std::vector<Gauge> &gauges) const;

private:
    using OutcomeKey = std::pair<RunState, Reason>;
    struct DocumentCount {
        std::uint64_t documents = 0;
        std::uint64_t bytes = 0;
    };

    std::map<OutcomeKey, std::uint64_t> m_requests;
    std::map<std::string, Histogram> m_routes;
    /// Requests that were not served, by organisation and reason; MaxOrganisations limits these pairs.
    std::map<std::pair<std::string, Reason>, std::uint64_t> m_notServed;
    std::map<OutcomeKey, std::uint64_t> m_attempts;
    Histogram m_waited;
    Histogram m_ran;
    std::map<std::pair<std::string, bool>, Histogram> m_store;
    std::map<std::string, DocumentCount> m_configurationDocuments;
};

} // namespace banyankeel

#pragma once

// Combines the load reports of a region's nodes into one for each service.
//
//   LoadMerger merger;
//   merger.record(node, load, now);
//   std::vector<LoadReport> loads = merger.merged(now);
//
// Root admission needs sums and means only, so that a region's nodes need not be told apart elsewhere.

#include "protocol/loadreport.h"
#include "state/identifier.h"
#include "state/time.h"

#include <map>
#include <span>
#include <vector>

namespace banyankeel
{

/// The load of several nodes whose targets belong to one service: sums of rates, slots and retries, and means weighted by them. Pure.
/// @pre @p reports is not empty.
LoadReport mergeLoads(std::span<const LoadReport *const> reports);

/// Keeps the last report of each node. Not thread-safe; merged() takes time linear in the reports.
class LoadMerger
{
public:
    /// @param freshness age at which a report is dropped.
    explicit LoadMerger(Duration freshness = std::chrono::milliseconds(2500));

    void record(const NodeId &node, LoadReport report, TimePoint now);
    void remove(const NodeId &node);
    /// One report for each service.
    [[nodiscard]] std::vector<LoadReport> merged(TimePoint now);

private:
    struct Received {
        LoadReport report;
        TimePoint at;
    };

    Duration m_freshness;
    std::map<NodeId, Received> m_received;
};

} // namespace banyankeel

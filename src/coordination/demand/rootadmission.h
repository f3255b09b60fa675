#pragma once

// Admission of root requests at the entry nodes when a downstream service is short of slots, and choice of the roots whose rejected calls
// are retried when it is short of retries.
//
//   RootAdmission admission(settings);
//   admission.configure(objects);
//   admission.noteReport(node, load, now);        // from every node, this one included
//   if (!admission.admits(rootClass, root, now)) ...    // refuse at the entry, before anything has run
//   if (!admission.allowsRetries(rootClass, root, now)) ...  // do not retry its rejected calls
//
// Handles two kinds of overload of the last service. In a surge it has too few slots: a request that fails there has already run at each
// upstream service, while one refused at its entry has cost nothing. When its targets reject a fraction of their calls, slots are free but
// retries are scarce: a request that makes four calls fails if one of them fails, so retries spread over all requests complete hardly any
// of them. Concentrated on a fraction of the requests, the retries complete these; the others are tried once.

#include "protocol/loadreport.h"
#include "state/identifier.h"
#include "state/meshconfiguration.h"
#include "state/requestid.h"
#include "state/requestkind.h"
#include "state/time.h"

#include <compare>
#include <cstddef>
#include <map>
#include <utility>
#include <variant>
#include <vector>

namespace banyankeel
{

struct RootAdmissionSettings {
    /// Retries per request to a service, over all nodes; see ServiceRetryBudget.
    double retryRatio;
    /// Reports older than this are discarded.
    Duration freshness = std::chrono::milliseconds(2500);
    /// Interval between recomputations of the fractions.
    Duration interval = std::chrono::milliseconds(200);

    friend auto operator<=>(const RootAdmissionSettings &, const RootAdmissionSettings &) = default;
};

/// Root requests that are treated alike.
struct RootClass {
    PriorityLevel priority;
    RequestKind kind;

    friend auto operator<=>(const RootClass &, const RootClass &) = default;
};

/// Load and capacity of one service, aggregated over the reports of all nodes.
struct ServiceLoad {
    double slots = 0;
    /// Requests running or queued at its targets.
    double load = 0;
    /// Calls from targets of other services, the fraction of arrivals that is rejected, and the number of retries still available.
    double callsPerSecond = 0;
    double rejectedShare = 0;
    double repeatsLeft = 0;

    friend auto operator<=>(const ServiceLoad &, const ServiceLoad &) = default;
};

/// Aggregated reports of all nodes.
struct FleetLoad {
    std::map<RootClass, double> offeredPerSecond;
    /// Calls per run, by the kinds of the run and of the call.
    std::map<RequestKind, std::map<RequestKind, double>> calls;
    /// Time for which a run holds a slot.
    std::map<RequestKind, double> runSeconds;
    /// Services to which requests of a kind are routed, with fractions that add up to 1.
    std::map<RequestKind, std::vector<std::pair<ServiceName, double>>> services;
    std::map<ServiceName, ServiceLoad> serviceLoads;
};

/// Fractions of classes, from 0 to 1; a class without an entry has the fraction 1.
using RootFractions = std::map<RootClass, double>;

/// The fraction of each class that can be admitted. Pure.
///
/// A class never gets a larger fraction than one of a higher priority that needs the same scarce service. Within one priority, fractions
/// are inversely proportional to the cost per request. No class is shut out.
RootFractions admittedFractions(const FleetLoad &load);
/// The fraction of each class whose rejected calls can be retried until they succeed. Pure. Allocates like admittedFractions(), but a class may
/// get nothing.
RootFractions retriedFractions(const FleetLoad &load, double retryRatio);

/// The decisions of one node. Not thread-safe. noteReport() takes time logarithmic in the number of nodes; the fractions are recomputed
/// once per RootAdmissionSettings::interval, in time linear in nodes and kinds.
class RootAdmission
{
public:
    explicit RootAdmission(const RootAdmissionSettings &settings);

    void configure(const MeshObjects &objects);
    void noteReport(const NodeId &node, LoadReport report, TimePoint now);
    /// Records the combined load of the nodes of @p region whose targets belong to the service of @p load.
    void noteRegionLoad(const RegionName &region, LoadReport load, TimePoint now);
    /// Drops the report of @p node, which is part of its region's load.
    void removeReport(const NodeId &node);

    /// Whether to admit @p root. Nodes with the same reports decide alike.
    [[nodiscard]] bool admits(const RootClass &rootClass, const RequestId &root, TimePoint now);
    /// Whether to retry the rejected calls of @p root. Nodes with the same reports decide alike.
    [[nodiscard]] bool allowsRetries(const RootClass &rootClass, const RequestId &root, TimePoint now);
    /// The fractions last computed; empty while no service is short of slots.
    [[nodiscard]] const RootFractions &admitted() const
    {
        return m_admitted;
    }
    /// The fractions last computed; empty while no service is short of retries.
    [[nodiscard]] const RootFractions &retried() const
    {
        return m_retried;
    }

private:
    using ReportSource = std::variant<NodeId, std::pair<RegionName, ServiceName>>;

    struct ReceivedReport {
        LoadReport report;
        TimePoint at;
    };

    void updateIfDue(TimePoint now);
    [[nodiscard]] FleetLoad fleetLoad() const;

    RootAdmissionSettings m_settings;
    std::map<RequestKind, std::vector<std::pair<ServiceName, double>>> m_services;
    /// By node, or by region and service.
    std::map<ReportSource, ReceivedReport> m_reports;
    RootFractions m_admitted;
    RootFractions m_retried;
    TimePoint m_updatedAt{};
};

} // namespace banyankeel

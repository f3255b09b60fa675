#pragma once

// Decides which requests from outside are let in when a service further down is short of slots, and which are finished when it is short of
// repeats.
//
//   RootAdmission admission(settings);
//   admission.configure(objects);
//   admission.noteReport(node, load, now);        // from every node, this one included
//   if (!admission.admits(rootClass, root, now)) ...    // refuse at the entry, before anything has run
//   if (!admission.finishes(rootClass, root, now)) ...  // do not repeat its calls that were rejected
//
// Answers two loads of the last service. In a surge it has too few slots: a request that fails there has already run at each service above,
// and refused at its entry it has cost nothing. While its targets reject a part of what they get, slots are free and repeats are short: a
// request that makes four calls fails if one of them does, and repeats that are spread over all requests finish hardly any. Spent on the
// calls of a part of the requests, they finish these; the others are tried once.

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
#include <vector>

namespace banyankeel
{

struct RootAdmissionSettings {
    /// Repeats to a service for each request to it, over all nodes; see ServiceRetryBudget.
    double retryRatio;
    /// A report that is older tells nothing.
    Duration freshness = std::chrono::milliseconds(2500);
    /// Decisions are made anew this often.
    Duration interval = std::chrono::milliseconds(200);

    friend auto operator<=>(const RootAdmissionSettings &, const RootAdmissionSettings &) = default;
};

/// Requests that are let in or refused alike.
struct RootClass {
    PriorityLevel priority;
    RequestKind kind;

    friend auto operator<=>(const RootClass &, const RootClass &) = default;
};

/// What all nodes together tell of one service.
struct ServiceRoom {
    double slots = 0;
    /// Requests that run or wait at its targets.
    double load = 0;
    /// Calls of other services' targets, the part of the arrivals that is rejected, and the repeats that may still be made.
    double callsPerSecond = 0;
    double rejectedShare = 0;
    double repeatsLeft = 0;

    friend auto operator<=>(const ServiceRoom &, const ServiceRoom &) = default;
};

/// The reports of all nodes, put together.
struct FleetLoad {
    std::map<RootClass, double> offeredPerSecond;
    /// Calls that a run makes, by kind.
    std::map<RequestKind, std::map<RequestKind, double>> calls;
    /// For which a run holds a slot.
    std::map<RequestKind, double> runSeconds;
    /// Where requests of a kind go, as shares of one.
    std::map<RequestKind, std::vector<std::pair<ServiceName, double>>> services;
    std::map<ServiceName, ServiceRoom> rooms;
};

/// Parts of classes from 0 to 1; a class that is not named has all.
using RootParts = std::map<RootClass, double>;

/// The part of each class that can be let in. Pure.
///
/// A class of a lower priority never gets a larger part than one of a higher priority that needs the same short service. Among classes of one
/// priority each offered request has the same claim: the more one costs, the fewer of its class get through. None gets nothing.
RootParts admittedParts(const FleetLoad &load);
/// The part of each class whose rejected calls can be repeated until they are taken. Pure; shares out as admittedParts(), but some get nothing.
RootParts finishedParts(const FleetLoad &load, double retryRatio);

/// The view of one node. Not thread-safe; noteReport() takes constant time, a decision time linear in nodes and kinds, five times a second.
class RootAdmission
{
public:
    explicit RootAdmission(const RootAdmissionSettings &settings);

    void configure(const MeshObjects &objects);
    void noteReport(const NodeId &node, LoadReport report, TimePoint now);

    /// Both are the same on every node that has the same reports.
    [[nodiscard]] bool admits(const RootClass &rootClass, const RequestId &root, TimePoint now);
    [[nodiscard]] bool finishes(const RootClass &rootClass, const RequestId &root, TimePoint now);
    /// As of the last decision; empty while nothing is short.
    [[nodiscard]] const RootParts &admitted() const
    {
        return m_admitted;
    }
    [[nodiscard]] const RootParts &finished() const
    {
        return m_finished;
    }

private:
    struct Heard {
        LoadReport report;
        TimePoint at;
    };

    void decideIfDue(TimePoint now);
    [[nodiscard]] FleetLoad fleetLoad() const;

    RootAdmissionSettings m_settings;
    std::map<RequestKind, std::vector<std::pair<ServiceName, double>>> m_services;
    std::map<NodeId, Heard> m_heard;
    RootParts m_admitted;
    RootParts m_finished;
    TimePoint m_decidedAt{};
};

} // namespace banyankeel

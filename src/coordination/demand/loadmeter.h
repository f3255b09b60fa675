#pragma once

// Measures the load of one node for the reports to its peers.
//
//   LoadMeter meter(service);
//   meter.rootOffered({priority, kind}, now); meter.runBegan(kind, now); ...
//   LoadReport report = meter.report(slots, repeatsLeft, now);

#include "coordination/demand/callestimator.h"
#include "coordination/demand/decayedcount.h"
#include "coordination/demand/rootadmission.h"
#include "protocol/loadreport.h"
#include "state/identifier.h"
#include "state/requestkind.h"
#include "state/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace banyankeel
{

/// Not thread-safe. Recording an event takes time logarithmic in the number of kinds and services, a report linear time.
class LoadMeter
{
public:
    /// @param service the service of the host's target.
    explicit LoadMeter(ServiceName service);

    /// Records a request from outside the fleet that arrived at this node within its rate allowance.
    void rootOffered(const RootClass &rootClass, TimePoint now);
    /// Records that a request starts to run at this node's target.
    void runBegan(RequestKind kind, TimePoint now);
    /// @param isComplete whether the target answered, so that @p time is that of a complete run.
    void runEnded(RequestKind kind, Duration time, bool isComplete, TimePoint now);
    /// Records that this node's target calls another service. @param parent kind of the run that made the call, if known.
    void called(RequestKind kind, std::optional<RequestKind> parent, const ServiceName &service, TimePoint now);
    /// Records that such a call reached a target. @param isRejected whether the target refused to run it.
    void callArrived(const ServiceName &service, bool isRejected, TimePoint now);
    /// Records the number of requests running and queued at this node's target. To be called ten times per second.
    void recordLoad(std::size_t load, TimePoint now);

    /// @param slots of the target, or zero if it serves nothing. @param repeatsLeft number of retries still available for a service.
    [[nodiscard]] LoadReport report(std::uint32_t slots, const std::function<double(const ServiceName &)> &repeatsLeft, TimePoint now) const;
    /// Whether the fraction of calls that targets reject has changed so much since @p last that peers should be informed early.
    [[nodiscard]] bool isReportUrgent(const LoadReport &last, TimePoint now) const;

private:
    struct Runs {
        DecayedCount ended;
        DecayedCount seconds;
    };
    struct Calls {
        DecayedCount made;
        DecayedCount arrived;
        DecayedCount rejected;
    };

    [[nodiscard]] static double rejectedShare(const Calls &calls, TimePoint now);

    ServiceName m_service;
    CallEstimator m_callEstimator;
    std::map<RootClass, DecayedCount> m_roots;
    std::map<RequestKind, Runs> m_runs;
    std::map<ServiceName, Calls> m_calls;
    DecayedCount m_loadSum;
    DecayedCount m_loadSamples;
};

} // namespace banyankeel

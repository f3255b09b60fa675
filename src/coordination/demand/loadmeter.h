#pragma once

// Measures what one node tells its peers of its load.
//
//   LoadMeter meter(service);
//   meter.rootOffered({priority, kind}, now); meter.runBegan(kind, now); ...
//   LoadReport report = meter.report(slots, repeatsLeft, now);

#include "coordination/demand/calllearner.h"
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

/// Not thread-safe. An event takes time logarithmic in the kinds and services, a report linear in them.
class LoadMeter
{
public:
    /// @param service of the host's target.
    explicit LoadMeter(ServiceName service);

    /// A request from outside the fleet came in at this node, within its allowance.
    void rootOffered(const RootClass &rootClass, TimePoint now);
    /// A request begins to run at this node's target.
    void runBegan(RequestKind kind, TimePoint now);
    /// @param isWhole whether the target answered, so that the time is that of a whole run.
    void runEnded(RequestKind kind, Duration time, bool isWhole, TimePoint now);
    /// This node's target calls another service. @param parent of the run that made the call, where it is known.
    void called(RequestKind kind, std::optional<RequestKind> parent, const ServiceName &service, TimePoint now);
    /// Such a call reached a target. @param isRejected whether the target refused to run it.
    void callArrived(const ServiceName &service, bool isRejected, TimePoint now);
    /// What runs and waits at this node's target; due ten times a second.
    void noteLoad(std::size_t load, TimePoint now);

    /// @param slots of the target, or zero if it serves nothing. @param repeatsLeft what may still be repeated to a service.
    [[nodiscard]] LoadReport report(std::uint32_t slots, const std::function<double(const ServiceName &)> &repeatsLeft, TimePoint now) const;
    /// Whether targets reject another part of the calls than the last report said, so that peers should hear of it soon.
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
    CallLearner m_learner;
    std::map<RootClass, DecayedCount> m_roots;
    std::map<RequestKind, Runs> m_runs;
    std::map<ServiceName, Calls> m_calls;
    DecayedCount m_loadSum;
    DecayedCount m_loadSamples;
};

} // namespace banyankeel

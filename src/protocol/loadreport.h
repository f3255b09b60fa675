#pragma once

// Load that a node measures: requests of its callers, executions at its target and calls made by its target. The reports of all nodes combined show
// which service is short of capacity and what a request costs there.
//
//   report.load = meter.report(now);

#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/callcontext.h"
#include "state/identifier.h"
#include "state/requestkind.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace banyankeel
{

/// Rate of requests from outside the fleet, admitted or not.
struct OfferedRoots {
    RequestKind kind;
    PriorityLevel priority;
    double perSecond;

    friend auto operator<=>(const OfferedRoots &, const OfferedRoots &) = default;
};

/// Mean number of calls that an execution of one kind makes.
struct CallsPerRun {
    RequestKind parent;
    RequestKind child;
    double calls;
    /// Number of executions behind the mean, with more weight on recent ones.
    double runs;

    friend auto operator<=>(const CallsPerRun &, const CallsPerRun &) = default;
};

/// Executions at the sender's target.
struct RunTime {
    RequestKind kind;
    double perSecond;
    /// Time for which an execution occupies a slot, including its own downstream calls.
    double seconds;

    friend auto operator<=>(const RunTime &, const RunTime &) = default;
};

/// Calls from the sender's target to another service.
struct CallsToService {
    ServiceName service;
    double perSecond;
    /// Fraction of the arrivals there that targets reject without executing them.
    double rejectedShare;
    /// Retries that the sender may still make to that service.
    double repeatsLeft;

    friend auto operator<=>(const CallsToService &, const CallsToService &) = default;
};

struct LoadReport {
    /// Service of the sender's target; slots is 0 while the target is not serving.
    ServiceName service;
    std::uint32_t slots;
    /// Mean number of requests that are executing or queued at the target.
    double load;
    std::vector<OfferedRoots> roots;
    std::vector<CallsPerRun> calls;
    std::vector<RunTime> runs;
    std::vector<CallsToService> services;

    friend auto operator<=>(const LoadReport &, const LoadReport &) = default;
};

void writeLoadReport(WireWriter &writer, const LoadReport &report);
/// @throws ProtocolError, IdentifierError on malformed payloads.
LoadReport readLoadReport(WireReader &reader);

} // namespace banyankeel

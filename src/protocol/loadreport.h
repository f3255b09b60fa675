#pragma once

// What a node measures of its callers, its target and the calls that its target makes. Together the reports of all nodes tell which service is
// short and what a request costs there.
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

/// Requests from outside the fleet that asked to run, admitted or not.
struct OfferedRoots {
    RequestKind kind;
    PriorityLevel priority;
    double perSecond;

    friend auto operator<=>(const OfferedRoots &, const OfferedRoots &) = default;
};

/// Calls that a run of one kind makes, as a mean.
struct CallsPerRun {
    RequestKind parent;
    RequestKind child;
    double calls;
    /// Runs that the mean stands for; later ones weigh more.
    double runs;

    friend auto operator<=>(const CallsPerRun &, const CallsPerRun &) = default;
};

/// Runs at the sender's target.
struct RunTime {
    RequestKind kind;
    double perSecond;
    /// For which a run holds a slot, calls of its own included.
    double seconds;

    friend auto operator<=>(const RunTime &, const RunTime &) = default;
};

/// Calls of the sender's target to another service.
struct CallsToService {
    ServiceName service;
    double perSecond;
    /// The part of the arrivals there that targets reject without having run them.
    double rejectedShare;
    /// Repeats that the sender may still make there.
    double repeatsLeft;

    friend auto operator<=>(const CallsToService &, const CallsToService &) = default;
};

struct LoadReport {
    /// Of the sender's target; with slots of zero while it serves none.
    ServiceName service;
    std::uint32_t slots;
    /// Requests that run or wait at the target, as a mean.
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

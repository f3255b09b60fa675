#pragma once

// Estimates the downstream calls that a run of each request kind makes, also where a call does not identify the run that made it.
//
//   CallEstimator estimator;
//   estimator.runBegan(kind, now); ... estimator.called(child, now); ... estimator.runEnded(kind, now);
//   for (const CallsPerRun &it : estimator.estimates(now)) ...
//
// With call fan-out, the cost of a request at the last service can only be computed from the number of calls that each kind makes.

#include "coordination/demand/decayedcount.h"
#include "protocol/loadreport.h"
#include "state/requestkind.h"
#include "state/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace banyankeel
{

/// The calls of one target. Not thread-safe. Recording a call takes time linear in the number of running kinds, which is small.
///
/// A call whose run is not known is attributed to the kinds that are running, in proportion to the number of their runs and to their
/// estimated call rates (expectation maximisation). Periods in which only some of the kinds are running separate their estimates.
class CallEstimator
{
public:
    /// Maximum number of (parent, child) pairs of kinds; calls of further pairs are ignored.
    static constexpr std::size_t MaxPairs = 1'024;

    void runBegan(RequestKind kind, TimePoint now);
    void runEnded(RequestKind kind, TimePoint now);
    /// @param parent kind of the run that made the call, if known.
    void called(RequestKind child, std::optional<RequestKind> parent, TimePoint now);

    /// Sorted by kind. Contains only pairs with enough observed runs of the parent.
    [[nodiscard]] std::vector<CallsPerRun> estimates(TimePoint now) const;

private:
    struct Runs {
        std::size_t running = 0;
        DecayedCount ended;
        /// Total run time of all runs of the kind, up to updatedAt.
        DecayedCount runSeconds;
        TimePoint updatedAt{};
    };

    static void updateRunTime(Runs &runs, TimePoint now);
    void addCalls(RequestKind parent, RequestKind child, double weight, TimePoint now);
    /// Estimated calls of @p child per second of a run of @p parent.
    [[nodiscard]] double callRate(RequestKind parent, const Runs &runs, RequestKind child, TimePoint now) const;

    std::map<RequestKind, Runs> m_runs;
    std::map<std::pair<RequestKind, RequestKind>, DecayedCount> m_calls;
};

} // namespace banyankeel

#pragma once

// Learns which calls a run of each kind makes, also where a call does not say which run made it.
//
//   CallLearner learner;
//   learner.runBegan(kind, now); ... learner.called(child, now); ... learner.runEnded(kind, now);
//   for (const CallsPerRun &it : learner.learnt(now)) ...
//
// Answers the load of inner calls that multiply on their way down: what a request costs at the last service can only be known if the calls of
// each kind are.

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

/// The calls of one target. Not thread-safe; a call takes time linear in the kinds that run, of which there are few.
///
/// A call of which the run is not known is shared out among the kinds that run at that moment, in proportion to how many runs there are and how often that kind
/// is known to call (expectation maximisation). Moments at which only some kinds run set the kinds apart.
class CallLearner
{
public:
    /// Pairs of kinds that are kept at most; calls of further ones are not learnt.
    static constexpr std::size_t HighestPairs = 1'024;

    void runBegan(RequestKind kind, TimePoint now);
    void runEnded(RequestKind kind, TimePoint now);
    /// @param parent of the run that made the call, where it is known.
    void called(RequestKind child, std::optional<RequestKind> parent, TimePoint now);

    /// In the order of the kinds. Only pairs of which enough runs were seen.
    [[nodiscard]] std::vector<CallsPerRun> learnt(TimePoint now) const;

private:
    struct Runs {
        std::size_t running = 0;
        DecayedCount ended;
        /// Run by all runs of the kind together, up to the last change.
        DecayedCount seconds;
        TimePoint countedAt{};
    };

    static void countSeconds(Runs &runs, TimePoint now);
    void add(RequestKind parent, RequestKind child, double part, TimePoint now);
    /// Calls per second of one run.
    [[nodiscard]] double rateOf(RequestKind parent, const Runs &runs, RequestKind child, TimePoint now) const;

    std::map<RequestKind, Runs> m_runs;
    std::map<std::pair<RequestKind, RequestKind>, DecayedCount> m_calls;
};

} // namespace banyankeel

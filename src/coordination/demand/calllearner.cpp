#include "coordination/demand/calllearner.h"

#include <utility>

namespace banyankeel
{

namespace
{
/// Long enough to hold moments at which one kind runs alone, short enough to follow a changed program.
constexpr Duration Memory = std::chrono::seconds(15);
/// A kind of which nothing is known is taken to call as often as this, with the weight of so many seconds, until its calls are seen.
constexpr double PriorRate = 1;
constexpr double PriorSeconds = 0.2;
/// Fewer runs tell nothing yet.
constexpr double FewestRuns = 3;
} // namespace

void CallLearner::countSeconds(Runs &runs, TimePoint now)
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - runs.countedAt).count());
    runs.seconds.add(elapsed * static_cast<double>(runs.running), now);
    runs.countedAt = now;
}

void CallLearner::runBegan(RequestKind kind, TimePoint now)
{
    Runs &runs = m_runs.try_emplace(kind, Runs{.ended = DecayedCount(Memory), .seconds = DecayedCount(Memory), .countedAt = now}).first->second;
    countSeconds(runs, now);
    ++runs.running;
}

void CallLearner::runEnded(RequestKind kind, TimePoint now)
{
    const auto found = m_runs.find(kind);
    if (found == m_runs.end() || found->second.running == 0) {
        return;
    }
    countSeconds(found->second, now);
    found->second.ended.add(1, now);
    --found->second.running;
}

double CallLearner::rateOf(RequestKind parent, const Runs &runs, RequestKind child, TimePoint now) const
{
    const auto calls = m_calls.find({parent, child});
    const double made = calls == m_calls.end() ? 0 : calls->second.sum(now);
    return (made + PriorRate * PriorSeconds) / (runs.seconds.sum(now) + PriorSeconds);
}

void CallLearner::add(RequestKind parent, RequestKind child, double part, TimePoint now)
{
    const std::pair key(parent, child);
    if (m_calls.size() < HighestPairs || m_calls.contains(key)) {
        m_calls.try_emplace(key, Memory).first->second.add(part, now);
    }
}

void CallLearner::called(RequestKind child, std::optional<RequestKind> parent, TimePoint now)
{
    if (parent && m_runs.contains(*parent)) {
        add(*parent, child, 1, now);
        return;
    }
    double total = 0;
    std::vector<std::pair<RequestKind, double>> rates;
    for (auto &[kind, runs] : m_runs) {
        if (runs.running > 0) {
            countSeconds(runs, now);
            rates.emplace_back(kind, static_cast<double>(runs.running) * rateOf(kind, runs, child, now));
            total += rates.back().second;
        }
    }
    for (const auto &[kind, rate] : rates) {
        add(kind, child, rate / total, now);
    }
}

std::vector<CallsPerRun> CallLearner::learnt(TimePoint now) const
{
    std::vector<CallsPerRun> found;
    for (const auto &[pair, calls] : m_calls) {
        const Runs &runs = m_runs.at(pair.first);
        const double ended = runs.ended.sum(now);
        if (ended >= FewestRuns) {
            found.push_back({pair.first, pair.second, calls.sum(now) / ended, ended});
        }
    }
    return found;
}

} // namespace banyankeel

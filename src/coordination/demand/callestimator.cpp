#include "coordination/demand/callestimator.h"

#include <utility>

namespace banyankeel
{

namespace
{
/// Long enough to include periods in which one kind runs alone, short enough to follow a changed service.
constexpr Duration TimeConstant = std::chrono::seconds(15);
/// Prior of the call rate, in calls per second, with the weight of this many seconds of run time.
constexpr double PriorCallsPerSecond = 1;
constexpr double PriorSeconds = 0.2;
/// Minimum number of ended runs for an estimate.
constexpr double MinRuns = 3;
} // namespace

void CallEstimator::updateRunTime(Runs &runs, TimePoint now)
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - runs.updatedAt).count());
    runs.runSeconds.add(elapsed * static_cast<double>(runs.running), now);
    runs.updatedAt = now;
}

void CallEstimator::runBegan(RequestKind kind, TimePoint now)
{
    Runs &runs = m_runs.try_emplace(kind, Runs{.ended = DecayedCount(TimeConstant), .runSeconds = DecayedCount(TimeConstant), .updatedAt = now}).first->second;
    updateRunTime(runs, now);
    ++runs.running;
}

void CallEstimator::runEnded(RequestKind kind, TimePoint now)
{
    const auto found = m_runs.find(kind);
    if (found == m_runs.end() || found->second.running == 0) {
        return;
    }
    updateRunTime(found->second, now);
    found->second.ended.add(1, now);
    --found->second.running;
}

double CallEstimator::callRate(RequestKind parent, const Runs &runs, RequestKind child, TimePoint now) const
{
    const auto calls = m_calls.find({parent, child});
    const double made = calls == m_calls.end() ? 0 : calls->second.sum(now);
    return (made + PriorCallsPerSecond * PriorSeconds) / (runs.runSeconds.sum(now) + PriorSeconds);
}

void CallEstimator::addCalls(RequestKind parent, RequestKind child, double weight, TimePoint now)
{
    const std::pair key(parent, child);
    if (m_calls.size() < MaxPairs || m_calls.contains(key)) {
        m_calls.try_emplace(key, TimeConstant).first->second.add(weight, now);
    }
}

void CallEstimator::called(RequestKind child, std::optional<RequestKind> parent, TimePoint now)
{
    if (parent && m_runs.contains(*parent)) {
        addCalls(*parent, child, 1, now);
        return;
    }
    double total = 0;
    std::vector<std::pair<RequestKind, double>> rates;
    for (auto &[kind, runs] : m_runs) {
        if (runs.running > 0) {
            updateRunTime(runs, now);
            rates.emplace_back(kind, static_cast<double>(runs.running) * callRate(kind, runs, child, now));
            total += rates.back().second;
        }
    }
    for (const auto &[kind, rate] : rates) {
        addCalls(kind, child, rate / total, now);
    }
}

std::vector<CallsPerRun> CallEstimator::estimates(TimePoint now) const
{
    std::vector<CallsPerRun> found;
    for (const auto &[pair, calls] : m_calls) {
        const Runs &runs = m_runs.at(pair.first);
        const double ended = runs.ended.sum(now);
        if (ended >= MinRuns) {
            found.push_back({pair.first, pair.second, calls.sum(now) / ended, ended});
        }
    }
    return found;
}

} // namespace banyankeel

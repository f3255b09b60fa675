#include "timeline/clockoffsetestimator.h"

#include <algorithm>
#include <deque>

namespace banyankeel
{

ClockOffsetEstimator::ClockOffsetEstimator(std::size_t processCount)
    : m_processCount(processCount)
{
}

void ClockOffsetEstimator::addMessage(std::size_t from, std::size_t to, Duration delay)
{
    const auto [it, isNew] = m_minimumDelays.emplace(std::pair(from, to), delay);
    if (!isNew) {
        it->second = std::min(it->second, delay);
    }
}

std::vector<std::vector<ClockOffsetEstimator::Edge>> ClockOffsetEstimator::edges() const
{
    std::vector<std::vector<Edge>> edges(m_processCount);
    for (const auto &[pair, delay] : m_minimumDelays) {
        const auto [from, to] = pair;
        const auto reverse = m_minimumDelays.find({to, from});
        if (reverse != m_minimumDelays.end()) {
            // Assumes that the fastest messages of both directions have the same latency: half the difference of their apparent delays is then
            // the clock offset.
            edges[from].push_back({to, (delay - reverse->second) / 2, true});
            continue;
        }
        // With messages in one direction only, the clocks are assumed equal unless a message would arrive before it was sent.
        const Duration ahead = std::min(delay, Duration(0));
        edges[from].push_back({to, ahead, false});
        edges[to].push_back({from, -ahead, false});
    }
    return edges;
}

std::vector<Duration> ClockOffsetEstimator::estimate() const
{
    const std::vector<std::vector<Edge>> edges = this->edges();
    std::vector<Duration> offsets(m_processCount, Duration(0));
    std::vector<bool> isVisited(m_processCount, false);
    for (std::size_t start = 0; start < m_processCount; ++start) {
        if (isVisited[start]) {
            continue;
        }
        isVisited[start] = true;
        std::deque<std::size_t> pending{start};
        while (!pending.empty()) {
            const std::size_t process = pending.front();
            pending.pop_front();
            // Follows bidirectional edges first: their estimates are more accurate.
            for (const bool isBidirectional : {true, false}) {
                for (const Edge &edge : edges[process]) {
                    if (edge.isBidirectional == isBidirectional && !isVisited[edge.to]) {
                        isVisited[edge.to] = true;
                        offsets[edge.to] = offsets[process] + edge.ahead;
                        pending.push_back(edge.to);
                    }
                }
            }
        }
    }
    return offsets;
}

} // namespace banyankeel

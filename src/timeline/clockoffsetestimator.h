#pragma once

// Estimates the clock offsets between processes from the send and receive times of their messages.
//
//   ClockOffsetEstimator estimator(processCount);
//   estimator.addMessage(from, to, receivedAt - sentAt);
//   std::vector<Duration> offsets = estimator.estimate();

#include "state/time.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace banyankeel
{

/// Not thread-safe.
class ClockOffsetEstimator
{
public:
    explicit ClockOffsetEstimator(std::size_t processCount);

    /// Adds a message from process @p from to process @p to. @p delay is the receive time on the clock of @p to minus the send time on the clock
    /// of @p from; it includes the clock offset and may be negative.
    void addMessage(std::size_t from, std::size_t to, Duration delay);

    /// Returns for each process how far its clock is ahead of that of the lowest-numbered process connected to it by messages, directly or
    /// through others; zero for a process without messages.
    [[nodiscard]] std::vector<Duration> estimate() const;

private:
    struct Edge {
        std::size_t to;
        /// How far the clock of the process @c to is ahead.
        Duration ahead;
        /// Whether messages in both directions support the estimate.
        bool isBidirectional;
    };

    [[nodiscard]] std::vector<std::vector<Edge>> edges() const;

    std::size_t m_processCount;
    // The smallest apparent delay from the first process to the second.
    std::map<std::pair<std::size_t, std::size_t>, Duration> m_minimumDelays;
};

} // namespace banyankeel

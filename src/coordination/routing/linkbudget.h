#pragma once

// Limits the bytes that this node transfers over the metered link to other regions.
//
//   LinkBudget budget(200'000, now);
//   if (budget.tryTake(bytes, priority, now)) ...

#include "state/callcontext.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>

namespace banyankeel
{

/// A token bucket of bytes. Not thread-safe; constant time and size.
/// A fraction of the bucket is reserved for priority 0, so that lower priorities can't exhaust the link.
class LinkBudget
{
public:
    /// @throws ValueError if @p bytesPerSecond is zero.
    LinkBudget(std::uint64_t bytesPerSecond, TimePoint now);

    /// Takes @p bytes if enough are available.
    bool tryTake(std::size_t bytes, PriorityLevel priority, TimePoint now);
    /// Takes @p bytes that were already transferred; the balance may become negative. The size of an answer is known only after it was received
    /// completely.
    void charge(std::size_t bytes, TimePoint now);
    /// Records an answer that came over the link. A latency far above the recent minimum indicates that the link or the systems behind it are
    /// congested; the node then reduces its rate for a time.
    /// @param latency of the attempt.
    void recordAnswer(Duration latency, TimePoint now);
    /// Records an attempt over the link that got no answer in time.
    void recordTimeout(TimePoint now);
    /// Total bytes taken and charged.
    [[nodiscard]] std::uint64_t used() const
    {
        return m_used;
    }

private:
    void refill(TimePoint now);
    void backOff(TimePoint now);
    [[nodiscard]] double rate() const;

    double m_bytesPerSecond;
    double m_bytes;
    TimePoint m_filledAt;
    std::uint64_t m_used = 0;
    /// Current rate as a fraction of the configured rate.
    double m_rateFraction = 1;
    Duration m_minLatency = Duration::max();
    TimePoint m_backedOffAt;
    TimePoint m_grownAt;
};

} // namespace banyankeel

#pragma once

// Concurrency limit of a target that keeps the services it calls fully used but not overloaded.
//
//   DownstreamWindow window;
//   window.completed(hintOfDownstream, running, now);
//   if (running < window.value(limit)) ...

#include "protocol/callmessages.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>

namespace banyankeel
{

/// Estimates the relation between the concurrency here and the load of the most loaded downstream service. Not thread-safe. Constant
/// time and size.
///
/// The ratio of the two predicts the concurrency at which the downstream service is full, also before it is. A surge is therefore
/// shed at the first hop, before it causes any work, and not after the hops above the full service have done theirs.
class DownstreamWindow
{
public:
    /// Records the arrival of a request that is @p depth hops from the entry node.
    void offered(std::uint8_t depth);
    /// Records the end of a request. @param hint of the most loaded service that it called.
    void completed(const AdmissionHint &hint, std::size_t running, TimePoint now);
    /// Number of requests that may run concurrently, at most @p limit.
    [[nodiscard]] std::uint32_t value(std::uint32_t limit, TimePoint now) const;

    /// Requests at a target relative to its concurrency limit; above 1 they are queued.
    static double loadRatioOf(const AdmissionHint &hint);

private:
    double m_running = 0;
    double m_loadRatio = 0;
    /// Smoothed fraction of the requests that came from other services.
    double m_innerFraction = 0;
    std::uint32_t m_samples = 0;
    TimePoint m_lastSample;
};

} // namespace banyankeel

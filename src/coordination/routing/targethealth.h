#pragma once

// Decides whether a target is eligible, based on the results of this node's attempts (passive health checking).
//
//   TargetHealth health;
//   if (health.recordFailure(now)) health.eject(now);

#include "state/time.h"

#include <cstdint>

namespace banyankeel
{

/// Tracks failures, ejection and slow start of one target from one node's point of view. Not thread-safe; constant time and size.
///
/// The ejection time doubles with each consecutive ejection. When it has passed, the target is probed with one attempt at a time;
/// a success ends the ejection and starts a slow start, during which the weight of the target increases.
class TargetHealth
{
public:
    /// Begins a slow start, for a target that announced itself as starting: it receives few requests at first.
    void beginSlowStart(TimePoint now);

    void recordSuccess(TimePoint now);
    /// Returns whether the failures suffice to eject the target.
    bool recordFailure(TimePoint now);
    void eject(TimePoint now);

    /// Whether the target is ejected and not yet due for a probe.
    [[nodiscard]] bool isEjected(TimePoint now) const;
    /// Whether the target is due for a probe. It then accepts one attempt at a time.
    [[nodiscard]] bool isProbing(TimePoint now) const;
    /// In (0, 1]; below 1 for a target that recently started or returned from an ejection.
    [[nodiscard]] double weight(TimePoint now) const;

private:
    TimePoint m_windowBegin;
    TimePoint m_ejectedUntil;
    TimePoint m_slowStartBegin;
    std::uint16_t m_failures = 0;
    std::uint16_t m_successes = 0;
    std::uint16_t m_consecutiveFailures = 0;
    std::uint8_t m_ejections = 0;
    bool m_isOutOfService = false;
    bool m_isInSlowStart = false;
};

} // namespace banyankeel

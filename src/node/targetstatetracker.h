#pragma once

// Derives the state to announce for the node's target from probes, announcements and connection losses. Performs no I/O.
//
//   TargetStateTracker tracker;
//   if (auto state = tracker.handleProbe(true, now)) announce(*state);

#include "state/targetrecord.h"
#include "state/time.h"

#include <optional>

namespace banyankeel
{

/// Not thread-safe. Each function returns the new state if it changed and must be announced.
class TargetStateTracker
{
public:
    /// @param isReachable whether the target sent any HTTP response, whatever its status: the health that a target reports is not relied on.
    std::optional<TargetState> handleProbe(bool isReachable, TimePoint now);
    /// Records that the target is unreachable.
    std::optional<TargetState> handleLoss();
    /// Applies a state that the target itself announced.
    std::optional<TargetState> handleAnnouncement(TargetState state);
    /// Records that the node is about to stop.
    std::optional<TargetState> startDraining();

    [[nodiscard]] TargetState state() const
    {
        return m_state;
    }

private:
    std::optional<TargetState> setState(TargetState state);

    TargetState m_state = TargetState::Gone;
    TimePoint m_startedAt{};
    bool m_isLeaving = false;
};

} // namespace banyankeel

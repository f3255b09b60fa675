#include "node/targetstatetracker.h"

namespace banyankeel
{

namespace
{
// A target that has returned is announced as starting for this long, which limits its share of requests.
constexpr Duration StartingPeriod = std::chrono::seconds(2);
} // namespace

std::optional<TargetState> TargetStateTracker::setState(TargetState state)
{
    if (state == m_state) {
        return std::nullopt;
    }
    m_state = state;
    return state;
}

std::optional<TargetState> TargetStateTracker::handleProbe(bool isReachable, TimePoint now)
{
    if (!isReachable) {
        return handleLoss();
    }
    if (m_isLeaving) {
        return setState(TargetState::Draining);
    }
    if (m_state == TargetState::Gone) {
        m_startedAt = now;
        return setState(TargetState::Starting);
    }
    if (m_state == TargetState::Starting && now - m_startedAt >= StartingPeriod) {
        return setState(TargetState::Serving);
    }
    return std::nullopt;
}

std::optional<TargetState> TargetStateTracker::handleLoss()
{
    return setState(TargetState::Gone);
}

std::optional<TargetState> TargetStateTracker::handleAnnouncement(TargetState state)
{
    m_isLeaving = state == TargetState::Draining || state == TargetState::Gone;
    return setState(state);
}

std::optional<TargetState> TargetStateTracker::startDraining()
{
    m_isLeaving = true;
    return setState(TargetState::Draining);
}

} // namespace banyankeel

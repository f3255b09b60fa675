#pragma once

// Tracks which boot of a node's local target may receive requests, based on the target's heartbeats and on the shutdown announcements that
// earlier processes of the node acknowledged.
//
//   TargetLifecycle life;
//   life.mergeLeavings(storedLeavings);            // from the store or from peers
//   TargetChange change = life.handleReport(report);
//   if (life.serving()) ...                // requests may go to this boot

#include "coordination/targetlife/departurelist.h"
#include "protocol/nodereport.h"
#include "state/targetreport.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace banyankeel
{

/// Effect of a heartbeat or of a leaving (an announced shutdown).
enum class TargetChange : std::uint8_t {
    None,
    /// The target has a new boot; state of the previous one is obsolete.
    NewBoot,
    /// The boot accepts no further requests.
    Leaving,
};

/// Lifecycle of one node's target. Not thread-safe. Constant time and size.
///
/// A boot that has announced its leaving never serves again, even if a delayed heartbeat arrives. A newly started process does not know which
/// departures its predecessor acknowledged, so serving() is null until mergeLeavings() has been called. What it reads may lack the last ones: a store that
/// was away did not take them, and peers that held them may have been killed as well. A boot that may be as old as the process is therefore served only after
/// the target itself has confirmed that it serves.
class TargetLifecycle
{
public:
    TargetLifecycle() = default;
    /// @param confirmUntil boots that started no later than this, or at an unknown time, have to be confirmed. Absent if none has to be.
    explicit TargetLifecycle(std::optional<WallTime> confirmUntil)
        : m_confirmUntil(confirmUntil)
    {
    }

    /// Merges departures recorded by another process. From the first call on, requests may be admitted.
    TargetChange mergeLeavings(const std::vector<TargetDeparture> &departures);
    /// Processes a heartbeat of the target.
    TargetChange handleReport(const TargetReport &report);
    /// The target @p name announces that it leaves and sends no more reports. @param now used as the start time if it is not known, so that
    /// the leaving covers all boots until then.
    TargetChange handleLeaving(const std::string &name, std::optional<WallTime> startedAt, WallTime now);

    /// The target has said that it is @p boot and serves.
    TargetChange confirm(const TargetBoot &boot);

    /// The last report of the current boot if it has to be confirmed before it may receive requests, or null.
    [[nodiscard]] const TargetReport *unconfirmed() const;
    /// The boot that may receive requests, or null.
    [[nodiscard]] const TargetReport *serving() const;
    /// The last report of the current boot, or null.
    [[nodiscard]] const TargetReport *current() const
    {
        return m_current ? &*m_current : nullptr;
    }
    [[nodiscard]] bool isLeaving() const;
    /// To be persisted for later processes. Newest last; bounded.
    [[nodiscard]] const std::vector<TargetDeparture> &departures() const
    {
        return m_leavings.all();
    }

private:
    [[nodiscard]] bool isLeaving(const TargetBoot &boot) const;

    [[nodiscard]] bool isConfirmed() const;

    std::optional<WallTime> m_confirmUntil;
    std::optional<TargetBoot> m_confirmed;
    std::optional<TargetReport> m_current;
    DepartureList m_leavings;
    bool m_hasLoadedLeavings = false;
};

} // namespace banyankeel

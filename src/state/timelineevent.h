#pragma once

// An event of the timeline in which a node records its actions.

#include "state/peer.h"
#include "state/requestid.h"
#include "state/time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace banyankeel
{

enum class TimelineKind : std::uint8_t {
    Received,
    Admitted,
    Queued,
    Refused,
    Forwarded,
    TargetCalled,
    TargetAnswered,
    Answered,
    Retried,
    Cancelled,
    ConfigurationApplied,
    KeyWithdrawn,
    LeaseTaken,
    LeaseLost,
    TargetDraining,
    TargetEjected,
    TargetReturned,
    Quarantined,
    PeerJoined,
    PeerLost,
    Started,
    Stopping,
    MessageSent,
    MessageReceived,
};

/// Returns the name of @p kind in logs, filters and pages, such as "target-called".
std::string_view nameOf(TimelineKind kind);
/// The inverse of nameOf(). Returns nullopt for an unknown name.
std::optional<TimelineKind> parseTimelineKind(std::string_view name);

/// The content of a timeline event. The recorder adds the times and the node.
struct TimelineNote {
    TimelineKind kind;
    std::optional<RequestId> root;
    /// Correlates the sending of a message on one node with its receipt on another; 0 if there is none.
    std::uint64_t link = 0;
    /// Space-separated key=value pairs.
    std::string detail;

    friend auto operator<=>(const TimelineNote &, const TimelineNote &) = default;
};

/// Records a note. Must be inexpensive and thread-safe.
using TimelineRecorder = std::function<void(TimelineNote)>;

/// A recorded event. Not modified after construction.
struct TimelineEvent {
    WallTime wallTime;
    TimePoint time;
    NodeId node;
    Incarnation incarnation;
    /// Sequence number of the event since the start of the node.
    std::uint64_t sequence;
    TimelineNote note;

    friend auto operator<=>(const TimelineEvent &, const TimelineEvent &) = default;
};

} // namespace banyankeel

#pragma once

// Merges the events of several processes into one causally ordered timeline and links messages sent to messages received.
//
//   MergedTimeline merged = mergeTimelines(decodeTimeline(text));
//   for (const MergedEvent &it : merged.events) ...

#include "state/timelineevent.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace banyankeel
{

/// One run of one node.
struct TimelineProcess {
    NodeId node;
    Incarnation incarnation;
    /// How far the wall clock of its host is ahead of that of the first process, as estimated from message times.
    Duration clockOffset;

    friend auto operator<=>(const TimelineProcess &, const TimelineProcess &) = default;
};

struct MergedEvent {
    TimelineEvent event;
    /// Index into MergedTimeline::processes.
    std::size_t process;
    /// The wall time, corrected for the clock offset of the host and for steps of its wall clock during the run.
    WallTime time;
    /// Index into MergedTimeline::events of the event that sent the message received here.
    std::optional<std::size_t> cause;

    friend auto operator<=>(const MergedEvent &, const MergedEvent &) = default;
};

struct MergedTimeline {
    std::vector<TimelineProcess> processes;
    /// Every event follows its predecessor on the same process and its cause; events that are otherwise unordered are sorted by time.
    std::vector<MergedEvent> events;

    friend auto operator<=>(const MergedTimeline &, const MergedTimeline &) = default;
};

/// Merges the events of any number of nodes, given in any order, and drops duplicates (same node, incarnation and sequence).
/// A send event (Forwarded, MessageSent, Refused or Answered) becomes the cause of a receive event (Received or MessageReceived) with the same
/// link on another process. Takes O(n log n) time.
MergedTimeline mergeTimelines(std::vector<TimelineEvent> events);

} // namespace banyankeel

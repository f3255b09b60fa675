#pragma once

// Ring buffer of the latest events of one process.
//
//   TimelineRing ring({.node = self, .incarnation = incarnation, .capacity = 20'000});
//   TimelineRecorder record = ring.recorder();
//   record({.kind = TimelineKind::Admitted, .root = root, .detail = "service=archiv"});

#include "state/timelineevent.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace banyankeel
{

struct TimelineRingSettings {
    NodeId node;
    Incarnation incarnation;
    /// Maximum number of events kept, at least 1. The oldest is overwritten first.
    std::size_t capacity;
    /// Clocks that the events are stamped with.
    std::function<TimePoint()> now = [] { return std::chrono::steady_clock::now(); };
    std::function<WallTime()> wallNow = [] { return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now()); };
};

/// Thread-safe. Memory is bounded by the capacity times the sum of MaxDetailBytes and the size of an entry.
class TimelineRing
{
public:
    /// Longer details are truncated.
    static constexpr std::size_t MaxDetailBytes = 256;

    /// @throws ValueError if the capacity is zero.
    explicit TimelineRing(TimelineRingSettings settings);

    /// Reads both clocks and stores the event under a briefly held mutex.
    void record(TimelineNote note);

    /// Returns a callback that calls record(). The ring must outlive it.
    [[nodiscard]] TimelineRecorder recorder();

    /// Returns the events kept, oldest first. Copies them in small batches and releases the mutex in between, so that record() isn't blocked for long.
    [[nodiscard]] std::vector<TimelineEvent> events() const;

    /// Returns the number of events recorded since construction, including those overwritten since.
    [[nodiscard]] std::uint64_t recordedCount() const;

private:
    struct Entry {
        WallTime wallTime;
        TimePoint time;
        TimelineNote note;
    };

    std::uint64_t copyBatch(std::uint64_t from, std::vector<TimelineEvent> &events) const;

    TimelineRingSettings m_settings;
    mutable std::mutex m_mutex;
    std::vector<Entry> m_entries;
    std::uint64_t m_recordedCount = 0;
};

} // namespace banyankeel

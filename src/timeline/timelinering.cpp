#include "timeline/timelinering.h"

#include "state/errors.h"

#include <algorithm>

namespace banyankeel
{

namespace
{
// Events copied while the mutex is held; bounds how long record() waits for a reader.
constexpr std::uint64_t CopyBatchEvents = 128;
} // namespace

TimelineRing::TimelineRing(TimelineRingSettings settings)
    : m_settings(std::move(settings))
{
    if (m_settings.capacity == 0) {
        throw ValueError("timeline: field capacity: 0 found, 1 or more allowed");
    }
}

void TimelineRing::record(TimelineNote note)
{
    if (note.detail.size() > MaxDetailBytes) {
        note.detail.resize(MaxDetailBytes);
        note.detail.shrink_to_fit();
    }
    // Reads the clocks under the lock, so that events are stored in the order of their times.
    const std::lock_guard lock(m_mutex);
    Entry entry{m_settings.wallNow(), m_settings.now(), std::move(note)};
    const std::uint64_t sequence = m_recordedCount++;
    if (m_entries.size() < m_settings.capacity) {
        m_entries.push_back(std::move(entry));
        return;
    }
    std::swap(m_entries[sequence % m_settings.capacity], entry);
}

TimelineRecorder TimelineRing::recorder()
{
    return [this](TimelineNote note) { record(std::move(note)); };
}

std::vector<TimelineEvent> TimelineRing::events() const
{
    std::vector<TimelineEvent> events;
    const std::uint64_t end = recordedCount();
    std::uint64_t next = 0;
    while (next < end) {
        next = copyBatch(next, events);
    }
    return events;
}

std::uint64_t TimelineRing::copyBatch(std::uint64_t from, std::vector<TimelineEvent> &events) const
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t oldest = m_recordedCount - m_entries.size();
    const std::uint64_t begin = std::max(from, oldest);
    const std::uint64_t end = std::min(m_recordedCount, begin + CopyBatchEvents);
    for (std::uint64_t sequence = begin; sequence < end; ++sequence) {
        const Entry &entry = m_entries[sequence % m_settings.capacity];
        events.push_back({entry.wallTime, entry.time, m_settings.node, m_settings.incarnation, sequence, entry.note});
    }
    return end;
}

std::uint64_t TimelineRing::recordedCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_recordedCount;
}

} // namespace banyankeel

#include "timeline/mergedtimeline.h"

#include "timeline/clockoffsetestimator.h"
#include "timeline/timelinedetail.h"

#include <algorithm>
#include <map>
#include <queue>
#include <tuple>
#include <unordered_map>

namespace banyankeel
{

namespace
{
bool isSendEvent(TimelineKind kind)
{
    return kind == TimelineKind::Forwarded || kind == TimelineKind::MessageSent || kind == TimelineKind::Refused || kind == TimelineKind::Answered;
}

bool isReceiveEvent(TimelineKind kind)
{
    return kind == TimelineKind::Received || kind == TimelineKind::MessageReceived;
}

/// Whether the value of @p key in the detail of @p event is @p node, or the key is absent.
bool matchesNode(const TimelineEvent &event, std::string_view key, const NodeId &node)
{
    const auto value = detailValue(event.note.detail, key);
    return !value || *value == node.text();
}

/// Merges one set of events. Indexes refer to m_events, which is sorted by process and sequence, unless stated otherwise.
class TimelineMerger
{
public:
    explicit TimelineMerger(std::vector<TimelineEvent> events)
    {
        std::sort(events.begin(), events.end(), [](const auto &left, const auto &right) { return keyOf(left) < keyOf(right); });
        const auto end = std::unique(events.begin(), events.end(), [](const auto &left, const auto &right) { return keyOf(left) == keyOf(right); });
        events.erase(end, events.end());
        for (TimelineEvent &event : events) {
            add(std::move(event));
        }
    }

    MergedTimeline run()
    {
        linkMessages();
        correctClockOffsets();
        sortCausally();
        return std::move(m_merged);
    }

private:
    static std::tuple<const NodeId &, Incarnation, std::uint64_t> keyOf(const TimelineEvent &event)
    {
        return {event.node, event.incarnation, event.sequence};
    }

    void add(TimelineEvent event)
    {
        std::vector<TimelineProcess> &processes = m_merged.processes;
        if (processes.empty() || processes.back().node != event.node || processes.back().incarnation != event.incarnation) {
            processes.push_back({event.node, event.incarnation, Duration(0)});
            m_firstEvents.push_back(m_events.size());
        }
        const TimelineEvent &first = m_firstEvents.back() == m_events.size() ? event : m_events[m_firstEvents.back()].event;
        // Derived from the monotonic clock relative to the first event, so that steps of the wall clock have no effect.
        const WallTime time = first.wallTime + std::chrono::duration_cast<std::chrono::microseconds>(event.time - first.time);
        m_events.push_back({std::move(event), processes.size() - 1, time, std::nullopt});
    }

    void linkMessages()
    {
        std::unordered_map<std::uint64_t, std::vector<std::size_t>> sendEvents;
        for (std::size_t i = 0; i < m_events.size(); ++i) {
            const TimelineNote &note = m_events[i].event.note;
            if (note.link != 0 && isSendEvent(note.kind)) {
                sendEvents[note.link].push_back(i);
            }
        }
        for (std::size_t i = 0; i < m_events.size(); ++i) {
            const TimelineNote &note = m_events[i].event.note;
            const auto it = note.link != 0 && isReceiveEvent(note.kind) ? sendEvents.find(note.link) : sendEvents.end();
            if (it != sendEvents.end()) {
                m_events[i].cause = findSendEvent(m_events[i], it->second);
            }
        }
    }

    /// Nodes may generate the same link number; the node names in the details then identify the sender.
    [[nodiscard]] std::optional<std::size_t> findSendEvent(const MergedEvent &received, const std::vector<std::size_t> &candidates) const
    {
        for (const std::size_t i : candidates) {
            const MergedEvent &sent = m_events[i];
            const bool isOtherProcess = sent.process != received.process;
            if (isOtherProcess && matchesNode(sent.event, "to", received.event.node) && matchesNode(received.event, "from", sent.event.node)) {
                return i;
            }
        }
        return std::nullopt;
    }

    void correctClockOffsets()
    {
        ClockOffsetEstimator estimator(m_merged.processes.size());
        for (const MergedEvent &event : m_events) {
            if (event.cause) {
                const MergedEvent &sent = m_events[*event.cause];
                estimator.addMessage(sent.process, event.process, event.time - sent.time);
            }
        }
        const std::vector<Duration> offsets = estimator.estimate();
        for (std::size_t i = 0; i < offsets.size(); ++i) {
            m_merged.processes[i].clockOffset = offsets[i];
        }
        for (MergedEvent &event : m_events) {
            event.time -= std::chrono::duration_cast<std::chrono::microseconds>(offsets[event.process]);
        }
    }

    /// Sorts the events topologically. Among the events whose predecessors have all been emitted, the earliest comes next.
    void sortCausally()
    {
        std::vector<std::vector<std::size_t>> dependents(m_events.size());
        std::vector<unsigned> pendingCounts(m_events.size(), 0);
        for (std::size_t i = 0; i < m_events.size(); ++i) {
            const bool isFirst = i == m_firstEvents[m_events[i].process];
            pendingCounts[i] = (isFirst ? 0U : 1U) + (m_events[i].cause ? 1U : 0U);
            if (m_events[i].cause) {
                dependents[*m_events[i].cause].push_back(i);
            }
        }
        emitAll(dependents, pendingCounts);
    }

    void emitAll(const std::vector<std::vector<std::size_t>> &dependents, std::vector<unsigned> &pendingCounts)
    {
        using Candidate = std::pair<WallTime, std::size_t>;
        std::priority_queue<Candidate, std::vector<Candidate>, std::greater<>> ready;
        std::vector<std::size_t> mergedIndexes(m_events.size(), NotEmitted);
        // Counts one predecessor of an event as emitted.
        const auto resolvePredecessor = [&](std::size_t i) {
            if (pendingCounts[i] > 0 && --pendingCounts[i] == 0) {
                ready.emplace(m_events[i].time, i);
            }
        };
        for (const std::size_t first : m_firstEvents) {
            if (pendingCounts[first] == 0) {
                ready.emplace(m_events[first].time, first);
            }
        }
        std::size_t blocked = 0;
        while (m_merged.events.size() < m_events.size()) {
            if (ready.empty()) {
                breakCycle(pendingCounts, mergedIndexes, blocked);
                ready.emplace(m_events[blocked].time, blocked);
            }
            const std::size_t i = ready.top().second;
            ready.pop();
            mergedIndexes[i] = m_merged.events.size();
            emit(i, mergedIndexes);
            for (const std::size_t dependent : dependents[i]) {
                resolvePredecessor(dependent);
            }
            if (i + 1 < m_events.size() && m_events[i + 1].process == m_events[i].process) {
                resolvePredecessor(i + 1);
            }
        }
    }

    /// Mismatched send and receive events may form a cycle. Removes the cause of the first event that waits for nothing else and stores its index in
    /// @p blocked.
    void breakCycle(std::vector<unsigned> &pendingCounts, const std::vector<std::size_t> &mergedIndexes, std::size_t &blocked)
    {
        for (blocked = 0; blocked < m_events.size(); ++blocked) {
            const bool isPredecessorEmitted = blocked == m_firstEvents[m_events[blocked].process] || mergedIndexes[blocked - 1] != NotEmitted;
            if (mergedIndexes[blocked] == NotEmitted && isPredecessorEmitted) {
                break;
            }
        }
        pendingCounts[blocked] = 0;
        m_events[blocked].cause.reset();
    }

    void emit(std::size_t i, const std::vector<std::size_t> &mergedIndexes)
    {
        MergedEvent event = m_events[i];
        if (event.cause) {
            event.cause = mergedIndexes[*event.cause];
        }
        m_merged.events.push_back(std::move(event));
    }

    static constexpr std::size_t NotEmitted = static_cast<std::size_t>(-1);

    std::vector<MergedEvent> m_events;
    // The index of the first event of each process.
    std::vector<std::size_t> m_firstEvents;
    MergedTimeline m_merged;
};
} // namespace

MergedTimeline mergeTimelines(std::vector<TimelineEvent> events)
{
    return TimelineMerger(std::move(events)).run();
}

} // namespace banyankeel

#pragma once

// Queue of one target's requests: strict priority, and weighted fair queueing of organisations within a priority.
//
//   FairQueue queue(order, choice, entries, flows);
//   queue.push(slot, request, now);
//   std::optional<std::uint32_t> next = queue.popNext();

#include "coordination/overload/admissionsettings.h"
#include "coordination/overload/flowshare.h"
#include "coordination/overload/indexedheap.h"
#include "state/callcontext.h"
#include "state/identifier.h"
#include "state/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyankeel
{

/// Index of a queue entry; chosen by the owner, below the queue's capacity.
using EntryIndex = std::uint32_t;
/// Index of a (priority, organisation) pair that has state.
using FlowIndex = std::uint32_t;

/// Start-time fair queueing over flows; a flow is one organisation at one priority. Not thread-safe.
///
/// A flow is charged the time for which its requests hold slots, so that slow requests cost more. The next request to serve comes
/// from the flow with the lowest start tag within the highest priority. The next one to shed comes, within the lowest priority, from
/// the flow whose last queued request would be served last: the flow furthest above its weighted max-min fair share.
/// Each step takes time logarithmic in the number of queued flows; popNextToShed() is also linear in the requests of one flow.
/// Allocates only for a flow's first request.
class FairQueue
{
public:
    /// @param entries maximum number of queued and running requests; @param maxFlows greater than @p entries, so that one flow is always idle.
    /// @throws ValueError if maxFlows is too low.
    FairQueue(QueueOrder order, ShedChoice choice, std::size_t entries, std::size_t maxFlows);

    /// Finds or creates the flow of @p organisation at @p level. At the maximum number of flows, an idle one is evicted.
    FlowIndex flowOf(const OrganisationId &organisation, PriorityLevel level, std::uint16_t weight, TimePoint now);
    [[nodiscard]] std::optional<FlowIndex> findFlow(const OrganisationId &organisation, PriorityLevel level) const;
    [[nodiscard]] FlowShare &share(FlowIndex flow);
    [[nodiscard]] const FlowShare &share(FlowIndex flow) const;

    /// Appends @p entry to the flow @p index. It must not be queued already.
    void push(EntryIndex entry, FlowIndex index, std::uint64_t rootHash, TimePoint now);
    /// Removes the next entry to serve and charges its flow the expected cost.
    std::optional<EntryIndex> popNext();
    /// Removes the next entry to shed. Its flow is not charged.
    std::optional<EntryIndex> popNextToShed();
    /// Removes a queued entry.
    void remove(EntryIndex entry);

    /// Replaces the expected cost of an entry returned by popNext() with @p cost, the time for which it held a slot.
    void settle(EntryIndex entry, Duration cost);
    /// Reverts the charge of an entry returned by popNext() that did not run.
    void refund(EntryIndex entry);

    [[nodiscard]] std::size_t size() const
    {
        return m_size;
    }
    /// When the oldest queued entry was queued.
    [[nodiscard]] std::optional<TimePoint> oldestEnqueuedAt() const;
    [[nodiscard]] FlowIndex flowOfEntry(EntryIndex entry) const
    {
        return m_entries[entry].flow;
    }
    /// Number of flows with state.
    [[nodiscard]] std::size_t flowCount() const
    {
        return m_index.size();
    }
    /// Drops the state of flows that have been idle since before @p before. Examines a bounded number of flows per call.
    void dropIdle(TimePoint before);

    /// Bytes of one flow and of one entry, without allocator overhead.
    static std::size_t bytesPerFlow();
    static std::size_t bytesPerEntry();

private:
    static constexpr std::uint32_t None = UINT32_MAX;

    struct Links {
        std::uint32_t previous = None;
        std::uint32_t next = None;
    };
    struct Entry {
        std::uint64_t rootHash = 0;
        TimePoint enqueuedAt;
        /// Seconds charged to its flow when it was dequeued.
        double charge = 0;
        FlowIndex flow = None;
        Links inFlow;
        Links byAge;
    };
    struct FlowKey {
        OrganisationId organisation;
        PriorityLevel level;
    };
    struct FlowKeyView {
        const OrganisationId &organisation;
        PriorityLevel level;
    };
    struct FlowHash {
        using is_transparent = void;
        std::size_t operator()(const FlowKeyView &it) const;
        std::size_t operator()(const FlowKey &it) const;
    };
    struct FlowEqual {
        using is_transparent = void;
        bool operator()(const FlowKey &left, const FlowKey &right) const;
        bool operator()(const FlowKeyView &left, const FlowKey &right) const;
        bool operator()(const FlowKey &left, const FlowKeyView &right) const;
    };
    struct Flow {
        std::optional<FlowKey> key;
        double startTag = 0;
        double cost = 0;
        double weight = 1;
        TimePoint lastSeen;
        std::uint32_t first = None;
        std::uint32_t last = None;
        std::uint32_t waiting = 0;
        std::uint32_t running = 0;
        FlowShare share;
    };
    struct Rank {
        std::uint8_t level;
        double tag;
    };
    struct ServedFirst {
        bool operator()(const Rank &left, const Rank &right) const;
    };
    struct ShedFirst {
        bool operator()(const Rank &left, const Rank &right) const;
    };

    FlowIndex makeFlow(const OrganisationId &organisation, PriorityLevel level);
    [[nodiscard]] bool isIdle(const Flow &flow) const;
    void dropFlow(FlowIndex flow);
    void evictIdleFlow();
    void adjust(EntryIndex entry, double seconds);
    void reorder(FlowIndex index);
    [[nodiscard]] EntryIndex nextToShed(const Flow &flow) const;
    void link(EntryIndex index);
    void unlink(EntryIndex index);
    [[nodiscard]] double expectedCost(const Flow &flow) const;
    [[nodiscard]] std::uint8_t levelOf(const Flow &flow) const;

    QueueOrder m_order;
    ShedChoice m_shedChoice;
    std::size_t m_maxFlows;
    std::vector<Entry> m_entries;
    std::vector<Flow> m_flows;
    std::vector<FlowIndex> m_freeFlows;
    std::unordered_map<FlowKey, FlowIndex, FlowHash, FlowEqual> m_index;
    IndexedHeap<Rank, ServedFirst> m_serviceOrder;
    IndexedHeap<Rank, ShedFirst> m_shedOrder;
    /// Virtual time per priority.
    std::array<double, 256> m_virtualTime{};
    double m_meanCost = 0;
    std::size_t m_size = 0;
    std::uint32_t m_oldest = None;
    std::uint32_t m_newest = None;
    std::uint32_t m_sweepPosition = 0;
};

} // namespace banyankeel

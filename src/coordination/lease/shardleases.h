#pragma once

// Acquires, renews and releases leases on shards, and tracks the holders of all shards.
//
// A lease is a row of the store table "leases" that names the holder, its fence and a few successors. The holder renews it with
// heartbeats to the successors, which promise not to take over for the promise term, so the store is written rarely: when the holder or its
// successors change, and on renewal within the long term. While the store is down, the promises keep the lease valid, and no node other
// than a successor may take over before the long term ends.
//
//   ShardLeases leases(self, settings, {.view = ..., .proposedLayout = ...}, random);
//   if (auto fence = leases.heldFence(shard, now)) ... // this node is the holder of the shard

#include "coordination/common/component.h"
#include "coordination/common/random.h"
#include "coordination/lease/heldlease.h"
#include "coordination/lease/leaserow.h"
#include "coordination/lease/shardlayout.h"
#include "protocol/leasemessages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace banyankeel
{

/// Callbacks that ShardLeases depends on. All but view and proposedLayout may be empty.
struct LeaseHooks {
    /// The live peers known to this node, without itself. In a large fleet this is a partial view.
    std::function<std::vector<Peer>()> view;
    /// The layout to write if the store has none yet; absent until the node has its configuration.
    std::function<std::optional<ShardLayout>()> proposedLayout;
    /// The estimated number of nodes. If empty, the view is taken to be complete.
    std::function<std::size_t()> fleetSize;
    std::function<void(ShardId shard, Fence fence)> gained;
    std::function<void(ShardId shard)> lost;
};

/// The leases of one node. Not thread-safe. The cost of a step is linear in the number of shards that the node tracks as holder, candidate
/// or successor.
class ShardLeases
{
public:
    /// @throws SettingsError on settings out of range.
    ShardLeases(Peer self, LeaseSettings settings, LeaseHooks hooks, RandomSource random);

    void receive(const Peer &from, const Envelope &envelope, TimePoint now, Outbox &out);
    void storeReplied(StoreTicket ticket, const StoreReply &reply, TimePoint now, Outbox &out);
    void tick(TimePoint now, Outbox &out);

    /// The message types that receive() accepts.
    static std::vector<MessageType> handledTypes();

    /// The known holder of @p shard with the highest fence.
    [[nodiscard]] std::optional<ShardHolder> holderOf(const ShardId &shard) const;
    /// The fence of this node's lease on @p shard; absent unless the lease is guaranteed to be valid at @p now.
    [[nodiscard]] std::optional<Fence> heldFence(const ShardId &shard, TimePoint now) const;
    /// The shards on which this node's leases are guaranteed to be valid at @p now.
    [[nodiscard]] std::vector<ShardId> heldShards(TimePoint now) const;
    /// Absent until received from the store or a peer.
    [[nodiscard]] const std::optional<ShardLayout> &layout() const
    {
        return m_layout;
    }

    /// Releases all leases for a planned stop. No leases are acquired afterwards.
    void release(TimePoint now, Outbox &out);
    /// Whether the release of all leases, started by release(), has been confirmed by the store.
    [[nodiscard]] bool isReleased() const;

private:
    // A row write whose outcome is not known yet.
    struct PendingWrite {
        LeaseRow row;
        RowVersion expected;
        TimePoint firstSentAt;
        TimePoint sentAt;
    };
    // The state of a shard that the node holds, or may take over as candidate or successor.
    struct Entry {
        std::optional<LeaseRow> row;
        RowVersion version = 0;
        TimePoint versionSeenAt = TimePoint::min();
        std::optional<TimePoint> readSentAt;
        bool isCallPending = false;
        bool needsRead = false;
        std::optional<PendingWrite> pendingWrite;
        std::optional<HeldLease> held;
        TimePoint successorsChosenAt = TimePoint::min();
        bool wasValid = false;
        TimePoint promisedUntil = TimePoint::min();
        TimePoint nextStep = TimePoint::min();
        TimePoint nextRead = TimePoint::min();
        // Absent if the node is not a candidate.
        std::optional<std::size_t> rank;
    };
    enum class CallKind {
        ReadLayout,
        WriteLayout,
        ReadRows,
        WriteRow,
    };
    struct Call {
        CallKind kind;
        std::vector<ShardId> shards;
        TimePoint sentAt;
    };

    void receiveHolderTable(const HolderTable &table, TimePoint now);
    void receiveHolderTablePull(const Peer &from, const HolderTablePull &pull, Outbox &out) const;
    void receiveHeartbeat(const Peer &from, const LeaseHeartbeat &heartbeat, TimePoint now, Outbox &out);
    void receivePromise(const Peer &from, const LeasePromise &promise, TimePoint now);
    bool canPromise(const Peer &from, const LeaseState &mark, Entry &entry, TimePoint now) const;

    StoreTicket registerCall(Call call);
    void fetchLayout(TimePoint now, Outbox &out);
    void handleLayoutReply(const Call &call, const StoreReply &reply);
    void handleReadReply(const Call &call, const StoreReply &reply, TimePoint now);
    void handleWriteReply(const Call &call, const StoreReply &reply, TimePoint now);

    void refreshRanks(TimePoint now);
    [[nodiscard]] std::optional<std::size_t> rankOf(const ShardId &shard, const std::vector<Peer> &view) const;
    [[nodiscard]] std::vector<Peer> ranking(const ShardId &shard, const std::vector<Peer> &view) const;
    [[nodiscard]] std::vector<Peer> chooseSuccessors(const ShardId &shard, const Entry &entry, TimePoint now);
    void step(const ShardId &shard, Entry &entry, TimePoint now, Outbox &out);
    void stepHeld(const ShardId &shard, Entry &entry, TimePoint now, Outbox &out);
    void markUnresponsiveSuccessors(const Entry &entry, TimePoint now);
    [[nodiscard]] bool canAcquire(const Entry &entry, TimePoint now) const;
    void startWrite(const ShardId &shard, Entry &entry, LeaseRow row, TimePoint now, Outbox &out);
    void sendWrite(const ShardId &shard, Entry &entry, TimePoint now, Outbox &out);
    void applyRow(const ShardId &shard, Entry &entry, const Row *row, TimePoint now);
    void resolvePendingWrite(const ShardId &shard, Entry &entry, TimePoint now);
    void handleRowWritten(const ShardId &shard, Entry &entry, TimePoint sentAt, TimePoint now);
    void dropLease(const ShardId &shard, Entry &entry);
    void trackValidity(const ShardId &shard, Entry &entry, TimePoint now, Outbox &out);
    void recordHolder(const ShardHolder &holder);
    void sendReads(TimePoint now, Outbox &out);
    void sendHeartbeats(TimePoint now, Outbox &out);
    void gossipHolders(TimePoint now, Outbox &out);

    Peer m_self;
    LeaseSettings m_settings;
    LeaseHooks m_hooks;
    RandomSource m_random;
    std::optional<ShardLayout> m_layout;
    std::optional<TimePoint> m_start;
    std::map<ShardId, Entry> m_entries;
    std::map<ShardId, ShardHolder> m_knownHolders;
    std::set<ShardId> m_unannouncedHolders;
    std::vector<ShardId> m_dueReads;
    std::vector<LeaseState> m_releasedMarks;
    std::map<std::uint64_t, Call> m_storeCalls;
    std::map<Endpoint, TimePoint> m_unresponsiveUntil;
    std::uint64_t m_lastTicket = 0;
    bool m_isLayoutCallPending = false;
    bool m_isLayoutAbsent = false;
    bool m_isStopping = false;
    TimePoint m_nextLayoutCall = TimePoint::min();
    TimePoint m_nextRankRefresh = TimePoint::min();
    TimePoint m_nextHeartbeat = TimePoint::min();
    TimePoint m_nextPull = TimePoint::min();
};

} // namespace banyankeel

#pragma once

// Records the claims of one shard while this node holds its lease.
//
// The holder first writes its fence to the shard's row in the table "claimfences". Every transaction that records claims checks the
// version of that row, so a former holder cannot record claims even if it still considers its lease valid. Claims are written in
// batches, one row per batch, and are answered only after their row is durable.
//
//   ClaimShard shard(shardId, fence, self, settings, wallClock);
//   shard.submit({claimant, {ticket, request}}, now);
//   if (auto storeRequest = shard.step(now)) out.callStore(storeTicket, *storeRequest);

#include "coordination/claims/claimlog.h"
#include "coordination/claims/claimsettings.h"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace banyankeel
{

/// A claim submitted by a node incarnation.
struct ClaimRequest {
    Peer claimant;
    ClaimItem item;

    [[nodiscard]] ClaimantId id() const
    {
        return claimantId(claimant.node, claimant.incarnation, item.ticket);
    }
    friend auto operator<=>(const ClaimRequest &, const ClaimRequest &) = default;
};

/// The outcome of a claim, recorded durably.
struct DecidedClaim {
    Peer claimant;
    ClaimVerdict verdict;
};

/// The holder state of one claim shard. At most one store request is in flight at any time. Not thread-safe.
class ClaimShard
{
public:
    using WallClock = std::function<WallTime()>;

    ClaimShard(ShardId shard, Fence fence, Peer self, const ClaimSettings &settings, WallClock wallClock);

    [[nodiscard]] Fence fence() const
    {
        return m_fence;
    }
    /// False once a newer holder has written its fence. This object then records no more claims.
    [[nodiscard]] bool isCurrent() const
    {
        return m_phase != Phase::Lost;
    }
    /// Whether the claim index has been loaded from the store.
    [[nodiscard]] bool isServing() const
    {
        return m_phase == Phase::Serving;
    }

    /// Decides @p claim from the index if the request is already claimed, otherwise queues it for the next commit. Dropped if the queue is
    /// full; the claimant resends it.
    void submit(const ClaimRequest &claim, TimePoint now);
    /// Withdraws @p claim, which its claimant abandoned while undecided.
    void abandon(const ClaimRequest &claim);

    /// Returns the next store request if one is due and none is in flight.
    std::optional<StoreRequest> step(TimePoint now);
    void handleReply(const StoreReply &reply, TimePoint now);
    /// The earliest time at which step() may have work. Empty while a store request is in flight and once the fence is lost.
    [[nodiscard]] std::optional<TimePoint> nextStep() const;

    /// Returns the claims decided since the last call and clears them.
    std::vector<DecidedClaim> takeDecided();

    [[nodiscard]] const ClaimLog &log() const
    {
        return m_log;
    }

private:
    enum class Phase {
        ReadingFence,
        WritingFence,
        Loading,
        Serving,
        Lost,
    };
    enum class Operation {
        None,
        Commit,
        ReadBack,
        Drop,
        Merge,
    };

    struct QueuedClaim {
        ClaimRequest claim;
        TimePoint queuedAt;
    };

    [[nodiscard]] RowKey fenceKey() const;
    [[nodiscard]] RowKey rowKey(std::uint64_t sequence) const;
    [[nodiscard]] std::string fenceValue() const;
    [[nodiscard]] WriteRows transaction(std::vector<RowWrite> writes) const;
    std::optional<StoreRequest> stepServing(TimePoint now);
    std::optional<StoreRequest> stepMaintenance(TimePoint now);
    void planMaintenance();
    [[nodiscard]] WriteRows maintenanceWrites() const;
    void buildBatch(TimePoint now);
    void handleFenceRead(const StoreReply &reply);
    void handleLoadReply(const StoreReply &reply);
    void handleCommitReply(const StoreReply &reply);
    void handleReadBackReply(const StoreReply &reply);
    void handleMaintenanceReply(const StoreReply &reply);
    [[nodiscard]] bool isFenceLost(const StoreReply &reply) const;
    void finishBatch();
    void decide(const ClaimRequest &claim, ClaimDecision decision);

    ShardId m_shard;
    Fence m_fence;
    Peer m_self;
    const ClaimSettings &m_settings;
    WallClock m_wallClock;
    Phase m_phase = Phase::ReadingFence;
    Operation m_operation = Operation::None;
    bool m_isStoreCallPending = false;
    RowVersion m_fenceVersion = 0;
    std::string m_lastLoadedKey;
    ClaimLog m_log;
    std::uint64_t m_nextSequence;
    std::deque<QueuedClaim> m_queue;
    std::deque<ClaimRecord> m_abandoned;
    std::set<RequestId> m_undecidedRequests;
    std::vector<ClaimRequest> m_batch;
    std::optional<ClaimLogRow> m_batchRow;
    std::vector<std::uint64_t> m_maintenanceRows;
    std::optional<ClaimLogRow> m_mergedRow;
    TimePoint m_nextCommit = TimePoint::min();
    TimePoint m_nextMaintenance = TimePoint::min();
    TimePoint m_nextAttempt = TimePoint::min();
    std::vector<DecidedClaim> m_decided;
};

} // namespace banyankeel

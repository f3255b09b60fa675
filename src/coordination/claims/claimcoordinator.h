#pragma once

// Claims non-idempotent requests before execution, so that each executes at most once across the fleet.
//
// The node that hosts the target claims a request after admission, immediately before execution. A request refused earlier has no claim.
//
//   ClaimCoordinator coordinator(self, settings, {.decided = [](ClaimTicket ticket, ClaimResult result) {...}, ...});
//   coordinator.claim(ticket, request, now, out);

#include "coordination/claims/claimshard.h"
#include "coordination/common/component.h"
#include "coordination/lease/shardlayout.h"

#include <map>
#include <memory>

namespace banyankeel
{

enum class ClaimResult {
    /// The claim is durably recorded for this ticket only. The request may be executed.
    Granted,
    /// Another ticket has claimed the request, which may have been executed.
    Duplicate,
    /// The claim was not decided within the time limit. The request is refused as not executed; a later answer does not change this result.
    Unavailable,
};

/// Callbacks that a ClaimCoordinator depends on. All are required.
struct ClaimHooks {
    std::function<std::optional<ShardLayout>()> layout;
    std::function<std::optional<ShardHolder>(const ShardId &shard)> holderOf;
    std::function<std::optional<Fence>(const ShardId &shard, TimePoint now)> heldFence;
    std::function<WallTime()> wallClock;
    /// Called exactly once per ticket, no later than the first tick after the time limit. May be called from within claim(), and may call
    /// claim() itself.
    std::function<void(ClaimTicket ticket, ClaimResult result)> decided;
};

/// Coordinates the claims of one node, both as claimant for its local targets and as holder of claim shards. Not thread-safe.
class ClaimCoordinator
{
public:
    ClaimCoordinator(Peer self, ClaimSettings settings, ClaimHooks hooks);
    ClaimCoordinator(const ClaimCoordinator &) = delete;
    ClaimCoordinator &operator=(const ClaimCoordinator &) = delete;

    /// Claims @p request under @p ticket, which must not have been used before. When the queue is full, the result is Unavailable immediately.
    void claim(ClaimTicket ticket, const RequestId &request, TimePoint now, Outbox &out);
    /// Sets how long claims are kept. Applies to existing claims as well.
    void setRetention(Duration retention);

    void receive(const Peer &from, const Envelope &envelope, TimePoint now, Outbox &out);
    void storeReplied(StoreTicket ticket, const StoreReply &reply, TimePoint now, Outbox &out);
    void tick(TimePoint now, Outbox &out);

    static std::vector<MessageType> handledTypes();

    /// The number of undecided claims of this node.
    [[nodiscard]] std::size_t pendingCount() const
    {
        return m_pendingClaims.size();
    }
    /// The holder state of @p shard, or null if this node has never held it.
    [[nodiscard]] const ClaimShard *shard(const ShardId &shard) const;

private:
    struct PendingClaim {
        RequestId request;
        TimePoint deadline;
        TimePoint nextSend;
    };
    struct AbandonedClaim {
        RequestId request;
        TimePoint expires;
    };

    void send(ClaimTicket ticket, PendingClaim &pending, TimePoint now, Outbox &out);
    void applyVerdict(const ClaimVerdict &verdict, TimePoint now, Outbox &out);
    void abandonClaim(ClaimTicket ticket, const RequestId &request, TimePoint now, Outbox &out);
    void sendAbandoned(ClaimTicket ticket, const RequestId &request, TimePoint now, Outbox &out);
    /// Returns the holder state of @p shard, created if needed, or null unless this node's lease is known to be valid at @p now.
    ClaimShard *heldShard(const ShardId &shard, TimePoint now);
    void stepShards(TimePoint now, Outbox &out);
    void stepPendingClaims(TimePoint now, Outbox &out);
    void sendDecided(ClaimShard &shard, TimePoint now, Outbox &out);
    void reportResults();

    Peer m_self;
    ClaimSettings m_settings;
    ClaimHooks m_hooks;
    std::map<ClaimTicket, PendingClaim> m_pendingClaims;
    std::map<ClaimTicket, AbandonedClaim> m_abandoned;
    std::vector<std::pair<ClaimTicket, ClaimResult>> m_results;
    std::map<ShardId, std::unique_ptr<ClaimShard>> m_shards;
    std::map<std::uint64_t, std::pair<ShardId, Fence>> m_storeCalls;
    std::uint64_t m_lastTicket = 0;
};

} // namespace banyankeel

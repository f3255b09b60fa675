#pragma once

// Enforces each organisation's rate and burst across all hosts.
//
// An organisation's rate and burst are divided among the regions. Each region's share is an account on the holder of a shard, which lends
// slices of it to the nodes with demand. A call is checked only against the slices of its own node.
//
//   QuotaLedger ledger(self, settings, {.layout = ..., .holderOf = ..., .heldFence = ...});
//   QuotaDecision decision = ledger.tryTake(organisation, now);
//   ledger.flush(now, out);

#include "coordination/common/component.h"
#include "coordination/lease/shardlayout.h"
#include "coordination/quota/demandmeter.h"
#include "coordination/quota/quotaaccount.h"
#include "coordination/quota/quotadecision.h"
#include "coordination/quota/quotaslice.h"
#include "state/configurationset.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyankeel
{

/// Callbacks that a QuotaLedger depends on. All are required.
struct QuotaHooks {
    std::function<std::optional<ShardLayout>()> layout;
    std::function<std::optional<ShardHolder>(const ShardId &shard)> holderOf;
    std::function<std::optional<Fence>(const ShardId &shard, TimePoint now)> heldFence;
};

/// The tokens of one organisation that are available on a node.
struct QuotaTokens {
    OrganisationId organisation;
    double tokens;

    friend auto operator<=>(const QuotaTokens &, const QuotaTokens &) = default;
};

/// The quota state of one node, both as borrower for its own calls and as holder of quota shards. Not thread-safe.
class QuotaLedger
{
public:
    QuotaLedger(Peer self, QuotaSettings settings, QuotaHooks hooks);

    /// Applies the limits in @p set.
    void configure(const ConfigurationSet &set, TimePoint now);

    /// Takes a token for one request of @p organisation. Local; costs a hash lookup and a check per region. After a refusal with
    /// mayBecomeAvailable(), call flush() to send the slice request.
    QuotaDecision tryTake(const OrganisationId &organisation, TimePoint now);
    /// Refunds the token of a request that was not executed.
    void refund(const OrganisationId &organisation, TimePoint now);
    /// Sends the slice requests queued since the last call. Cheap if there are none.
    void flush(TimePoint now, Outbox &out);
    /// Returns all slices for a planned stop. All later requests are refused.
    void drain(TimePoint now, Outbox &out);

    void receive(const Peer &from, const Envelope &envelope, TimePoint now, Outbox &out);
    /// Does nothing, since quota makes no store requests.
    void storeReplied(StoreTicket ticket, const StoreReply &reply, TimePoint now, Outbox &out);
    void tick(TimePoint now, Outbox &out);

    static std::vector<MessageType> handledTypes();

    /// The available tokens of all organisations with recent demand.
    [[nodiscard]] std::vector<QuotaTokens> status() const;
    /// The number of accounts on this node as holder.
    [[nodiscard]] std::size_t accountCount() const;

private:
    // The borrower state of one organisation in one region.
    struct Source {
        QuotaSlice slice;
        DemandMeter served;
        TimePoint deniedUntil = TimePoint::min();
        // Whether the last grant consisted of short-term tokens for waiting calls only.
        bool isShortTerm = false;
        Duration requestTimeout = std::chrono::milliseconds(40);
    };
    struct Entry {
        std::vector<Source> sources;
        DemandMeter demand;
        unsigned unmetChecks = 0;
        bool isQueued = false;
    };
    struct HeldShard {
        Fence fence;
        TimePoint heldSince;
        std::unordered_map<OrganisationId, QuotaAccount> accounts;
    };
    // The messages of one step, combined per shard.
    struct Messages {
        std::map<ShardId, QuotaRequest> asks;
        std::map<ShardId, QuotaReturn> returns;
    };

    Entry *findOrCreateEntry(const OrganisationId &organisation);
    void queueRequest(const OrganisationId &organisation, Entry &entry);
    [[nodiscard]] bool hasShare(const OrganisationId &organisation, std::size_t region) const;
    [[nodiscard]] bool mayBecomeAvailable(const OrganisationId &organisation, const Entry &entry, TimePoint now) const;
    [[nodiscard]] std::size_t regionInOrder(std::size_t order) const;
    [[nodiscard]] ShardId shardIn(std::size_t region, const OrganisationId &organisation) const;
    [[nodiscard]] double demandInOrder(const Entry &entry, std::size_t order, TimePoint now) const;
    void requestUnmetDemand(const OrganisationId &organisation, Entry &entry, TimePoint now, Messages &messages);
    void requestSlice(const OrganisationId &organisation, Entry &entry, std::size_t order, TimePoint now, Messages &messages);
    void refresh(const OrganisationId &organisation, Entry &entry, TimePoint now, Messages &messages);
    void returnSlice(const OrganisationId &organisation, Source &source, std::size_t region, TimePoint now, Messages &messages);
    void send(const Messages &messages, TimePoint now, Outbox &out);
    void applyGrant(const QuotaGrant &grant, TimePoint now);

    HeldShard *heldShard(const ShardId &shard, TimePoint now);
    QuotaAccount *findOrCreateAccount(const ShardId &shard, HeldShard &held, const OrganisationId &organisation);
    std::optional<QuotaGrant> lend(const Peer &from, const QuotaRequest &ask, TimePoint now);
    void applyReturn(const Peer &from, const QuotaReturn &returned, TimePoint now);
    void maintainHeldShards(TimePoint now);
    [[nodiscard]] std::optional<std::size_t> regionOf(const ShardId &shard) const;

    Peer m_self;
    QuotaSettings m_settings;
    QuotaHooks m_hooks;
    std::optional<ShardLayout> m_layout;
    std::size_t m_ownRegion = 0;
    std::unordered_map<OrganisationId, Limit> m_limits;
    std::unordered_map<OrganisationId, Entry> m_entries;
    std::vector<OrganisationId> m_queuedOrganisations;
    std::map<ShardId, HeldShard> m_held;
    std::uint64_t m_lastRequestId = 0;
    bool m_isDrained = false;
    TimePoint m_nextLeaseCheck = TimePoint::min();
    TimePoint m_nextExpiry = TimePoint::min();
};

} // namespace banyankeel

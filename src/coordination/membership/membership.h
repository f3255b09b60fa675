#pragma once

// Gossip-based membership: which nodes are alive, where they are, and the state of their local targets, as one node knows it.
//
//   Membership membership({.self = peer, .bootstrap = endpoints}, {.targetChanged = ...}, random);
//   membership.announce(ServiceName("archiv"), TargetState::Serving, 90, 630);
//   membership.subscribe(ServiceName("zertifikat"));
//   Component component = componentOf(membership, Membership::handledTypes());

#include "coordination/common/outbox.h"
#include "coordination/common/random.h"
#include "coordination/membership/announcementqueue.h"
#include "coordination/membership/membershiprules.h"
#include "coordination/membership/membertable.h"
#include "coordination/membership/prober.h"
#include "coordination/membership/roster.h"
#include "coordination/membership/targetdirectory.h"
#include "protocol/membershipmessages.h"
#include "state/peer.h"
#include "state/shard.h"
#include "state/targetrecord.h"
#include "state/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace banyankeel
{

struct MembershipSettings {
    Peer self;
    /// Initial peers, besides those in the store's roster. The list may be incomplete and contain nodes that are down.
    std::vector<Endpoint> bootstrap = {};
    /// Whether the store has a roster. Required if nodes do not know the addresses of others from their settings.
    bool usesRoster = true;
    std::size_t smallFleetLimit = 64;
    Duration viewExchange = std::chrono::seconds(2);
    /// How often a node contacts the address of a node that it does not consider alive.
    Duration contactInterval = std::chrono::seconds(3);
    /// How often a target is announced without a change.
    Duration announceInterval = std::chrono::seconds(5);
    /// How often a subscriber queries the directory.
    Duration queryInterval = std::chrono::seconds(60);
    /// How often a query is repeated until the directory has answered.
    Duration queryRetry = std::chrono::milliseconds(500);
};

struct MembershipHooks {
    /// Called when a target of a subscribed service has changed; the state Gone is final. Called synchronously from the member functions. Required.
    std::function<void(const TargetRecord &)> targetChanged;
    /// Returns the holder of a directory shard, if known. Without a holder, nodes announce to and query the members of their view.
    std::function<std::optional<ShardHolder>(ShardId)> holder = [](ShardId) { return std::optional<ShardHolder>(); };
    /// Returns the number of directory shards.
    std::function<std::uint16_t()> directoryShards = [] { return std::uint16_t{1}; };
    /// Replaced by tests only.
    MembershipRules rules = {};
};

/// The membership protocol of one node. Not thread-safe.
class Membership
{
public:
    /// @throws SettingsError if targetChanged is missing or an interval is not above zero.
    Membership(MembershipSettings settings, MembershipHooks hooks, RandomSource random);

    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    static std::vector<MessageType> handledTypes();

    /// Sets the service and state of this node's local target. Announced with the next tick and retransmitted until it is acknowledged.
    void announce(const ServiceName &service, TargetState state, std::uint32_t slots, std::uint32_t connections);
    /// Calls targetChanged for changes of the targets of @p service from now on, and immediately for the known targets.
    void subscribe(const ServiceName &service);
    void unsubscribe(const ServiceName &service);

    /// The nodes considered alive, without this one: all of a small fleet, at most 52 of a large one.
    [[nodiscard]] std::vector<Peer> view() const
    {
        return m_table.peers();
    }
    [[nodiscard]] bool isLargeFleet() const
    {
        return m_table.isLargeFleet();
    }
    /// The known targets of @p service, which must be subscribed to.
    [[nodiscard]] std::vector<TargetRecord> targets(const ServiceName &service) const;
    /// The incarnation of a later process with this node's name, if other nodes know one. They then ignore this process.
    [[nodiscard]] std::optional<Incarnation> supersededBy() const
    {
        return m_supersededBy;
    }

    void receive(const Peer &from, const Envelope &envelope, TimePoint now, Outbox &out);
    void storeReplied(StoreTicket ticket, const StoreReply &reply, TimePoint now, Outbox &out);
    void tick(TimePoint now, Outbox &out);

private:
    struct Subscription {
        TimePoint nextQuery;
        std::optional<Fence> fence;
    };
    struct HeldShard {
        Fence fence;
        TimePoint since;
    };
    struct KnownTarget {
        TargetRecord record;
        TimePoint changedAt;
        /// Consecutive complete answers of the directory that did not contain the target.
        unsigned missingAnswers = 0;
    };

    void receiveProbe(const Peer &from, const Probe &probe, TimePoint now, Outbox &out);
    void receiveProbeAnswer(const ProbeAnswer &answer, TimePoint now, Outbox &out);
    void receiveViewExchange(const Peer &from, const ViewExchange &exchange, TimePoint now, Outbox &out);
    void receiveAnnouncement(const Peer &from, const TargetAnnouncement &message, TimePoint now, Outbox &out);
    void receiveQuery(const Peer &from, const DirectoryQuery &query, TimePoint now, Outbox &out);
    void receiveAnswer(const DirectoryAnswer &answer, TimePoint now);

    void applyRumours(const std::vector<MemberRumour> &rumours, TimePoint now);
    void handleOwnRumour(const MemberRumour &rumour);
    void refute(std::uint64_t version);
    void handleMemberGone(const MemberRumour &rumour);
    [[nodiscard]] std::vector<MemberRumour> rumoursFor(const Peer &peer);
    [[nodiscard]] MemberRumour ownRumour() const;
    [[nodiscard]] ViewExchange makeViewExchange(bool isAnswer, const std::optional<NodeId> &to) const;

    void detectPause(TimePoint now);
    void probe(TimePoint now, Outbox &out);
    void exchangeViews(TimePoint now, Outbox &out);
    void contactKnownAddresses(TimePoint now, Outbox &out);

    [[nodiscard]] std::optional<ShardHolder> holderOf(const ServiceName &service) const;
    [[nodiscard]] bool isHolderOf(const ServiceName &service) const;
    [[nodiscard]] bool hasCompleteShard(const ServiceName &service, TimePoint now) const;
    void updateHeldShards(TimePoint now);
    void announceLocalTarget(TimePoint now);
    void announceToView(bool isDue, TimePoint now);
    void announceToHolder(bool isDue, TimePoint now);
    void query(TimePoint now, Outbox &out);
    void sendQuery(const ServiceName &service, const std::optional<ShardHolder> &holder, TimePoint now, Outbox &out);
    void expire(TimePoint now);

    /// Applies a record from the directory or from the target's own node. Returns false if the target is known to be gone or replaced.
    bool applyRecord(const TargetRecord &record, TimePoint now);
    void storeTarget(const TargetRecord &record, TimePoint now);
    TargetDirectory::Result applyToDirectory(const TargetRecord &record, TimePoint now);
    void notifySubscribers(const TargetRecord &record, TimePoint now);

    MembershipSettings m_settings;
    MembershipHooks m_hooks;
    RandomSource m_random;
    MemberTable m_table;
    Prober m_prober;
    Roster m_roster;
    AnnouncementQueue m_queue;
    TargetDirectory m_directory;

    std::uint64_t m_version = 0;
    std::optional<TargetRecord> m_localTarget;
    std::optional<ShardHolder> m_localTargetHolder;
    bool m_isAnnouncementDue = false;
    std::optional<Incarnation> m_supersededBy;

    // Targets that are gone are kept for a while, so that late messages do not restore them.
    std::map<NodeId, KnownTarget> m_targets;
    std::map<NodeId, Incarnation> m_announcedTo;
    std::map<ServiceName, Subscription> m_subscriptions;
    std::map<ShardId, HeldShard> m_heldShards;

    std::optional<TimePoint> m_lastTick;
    TimePoint m_nextExchange;
    TimePoint m_nextContact;
    TimePoint m_nextAnnouncement;
    TimePoint m_nextExpiry;
    TimePoint m_nextHeldShardCheck;
    TimePoint m_now;
};

} // namespace banyankeel

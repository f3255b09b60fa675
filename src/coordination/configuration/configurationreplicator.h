#pragma once

// Keeps one node at the newest accepted revision. A few elected nodes of each failure domain poll the store; all nodes exchange
// revisions by gossip.
//
//   ConfigurationReplicator replicator({.self = peer}, {.peers = ..., .applied = ...}, random);
//   Component component = componentOf(replicator, ConfigurationReplicator::handledTypes());
//   if (!replicator.isReady()) ... refuse ...

#include "coordination/common/outbox.h"
#include "coordination/common/random.h"
#include "coordination/configuration/changelog.h"
#include "coordination/configuration/configurationloader.h"
#include "coordination/configuration/readerelection.h"
#include "coordination/configuration/replicationrules.h"
#include "coordination/configuration/snapshottransfer.h"
#include "protocol/configurationmessages.h"
#include "state/configurationset.h"
#include "state/peer.h"
#include "state/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace banyankeel
{

struct ConfigurationReplicatorSettings {
    Peer self;
    /// Number of peers to which a node forwards a change or a heartbeat.
    std::size_t fanout = 4;
    /// Interval at which a store reader reads the head row.
    Duration storePollInterval = std::chrono::milliseconds(500);
    /// The same interval while reads fail.
    Duration storePollIntervalOnFailure = std::chrono::seconds(1);
    /// Interval at which a store reader floods a heartbeat through its failure domain.
    Duration heartbeatInterval = std::chrono::milliseconds(750);
    /// Mean interval at which a node compares revisions with a random peer.
    Duration exchangeInterval = std::chrono::seconds(2);
    /// One in this many comparisons goes to a peer in another failure domain; 0 disables these.
    std::uint64_t crossDomainExchangeOneIn = 64;
    Duration pullTimeout = std::chrono::milliseconds(400);
    /// How long a starting node that cannot read the store waits for peers that have not answered.
    Duration startupTimeout = std::chrono::seconds(3);
    /// Number of peers that a starting node queries.
    std::size_t startupPeers = 5;
    std::size_t maxLoggedChanges = 2048;
    std::size_t maxLoggedBytes = std::size_t{1024} * 1024;
    /// Larger deltas are announced and pulled instead of pushed.
    std::size_t maxEagerPushBytes = std::size_t{8} * 1024;
    std::size_t readersPerDomain = 2;

    friend auto operator<=>(const ConfigurationReplicatorSettings &, const ConfigurationReplicatorSettings &) = default;
};

struct ConfigurationReplicatorHooks {
    /// The peers currently known to membership, without this node. Required.
    std::function<std::vector<Peer>()> peers;
    /// Called from within receive(), storeReplied() and applyPublished() when this node has applied a newer revision. Required.
    std::function<void(const ConfigurationSet &)> applied;
    /// Overridden only by tests.
    ReplicationRules rules = {};
};

/// Replicates the configuration to one node. Not thread-safe.
class ConfigurationReplicator
{
public:
    /// @throws SettingsError if a required hook is missing or an interval is not above zero.
    ConfigurationReplicator(ConfigurationReplicatorSettings settings, ConfigurationReplicatorHooks hooks, RandomSource random);

    static std::vector<MessageType> handledTypes();

    /// The set applied on this node; initially the empty set with revision 0.
    [[nodiscard]] const ConfigurationSet &current() const
    {
        return m_set;
    }
    /// Whether the node may serve with current(): since its start it has queried the store or, if that failed, its peers, and is not
    /// behind any revision it learned of. Once true, stays true.
    [[nodiscard]] bool isReady() const
    {
        return m_isReady;
    }
    /// The latest time at which the store is known, from own reads or answers of peers, to have had nothing newer than current().
    /// On this node's clock, counted from when the request was sent. Absent if never.
    [[nodiscard]] std::optional<TimePoint> lastConfirmed() const
    {
        return m_lastConfirmed;
    }
    /// Time since lastConfirmed(); Duration::max() if never.
    [[nodiscard]] Duration staleness(TimePoint now) const;
    /// Whether this node currently polls the store for its failure domain.
    [[nodiscard]] bool isStoreReader() const
    {
        return m_isReader;
    }

    /// Applies a change just published through this node and propagates it to peers without waiting for a store read.
    void applyPublished(const ConfigurationDelta &delta, TimePoint now, Outbox &out);
    /// Makes the next tick read the store even if this node is not a store reader.
    void refresh();

    void receive(const Peer &from, const Envelope &envelope, TimePoint now, Outbox &out);
    void storeReplied(StoreTicket ticket, const StoreReply &reply, TimePoint now, Outbox &out);
    void tick(TimePoint now, Outbox &out);

private:
    struct PullSource {
        Endpoint endpoint;
        Revision revision;
    };
    struct Pull {
        PullSource source;
        TimePoint askedAt;
        unsigned attempts = 1;
        SnapshotAssembler assembler;
    };
    struct StartupPeer {
        Endpoint endpoint;
        bool hasAnswered;
        bool isReady;
    };
    struct Confirmation {
        TimePoint time;
        Revision revision;
    };

    void start(TimePoint now);
    void queryAtStartup(TimePoint now, Outbox &out);
    void chooseStartupPeers();
    void updateReadiness(TimePoint now);
    [[nodiscard]] bool hasQueriedPeers(TimePoint now) const;
    void pollStore(TimePoint now, Outbox &out);
    void startLoad(TimePoint now, Outbox &out, bool isHeadOnly);
    void sendLoadRequest(const StoreRequest &request, Outbox &out);
    void finishLoad(bool isLoaded, TimePoint now, Outbox &out);
    void applyLoaded(const ConfigurationLoader &loader, TimePoint now, Outbox &out);
    void compareRevisions(TimePoint now, Outbox &out);

    void receiveDigest(const Peer &from, const ConfigurationDigest &digest, TimePoint now, Outbox &out);
    void receivePull(const Peer &from, const ConfigurationPull &pull, TimePoint now, Outbox &out);
    void receiveDelta(const Peer &from, const ConfigurationDelta &delta, TimePoint now, Outbox &out);
    void receiveSnapshot(const Peer &from, ConfigurationSnapshot snapshot, TimePoint now, Outbox &out);
    void installSnapshot(TimePoint now, Outbox &out);
    void handleAnswer(const Peer &from, const ConfigurationDigest &digest, TimePoint now);
    void forwardHeartbeat(const Peer &from, const ReaderHeartbeat &heartbeat, TimePoint now, Outbox &out);

    void recordPeerRevision(const Peer &from, Revision revision, TimePoint now, Outbox &out);
    void startNextPull(TimePoint now, Outbox &out);
    void sendPull(TimePoint now, Outbox &out);
    void checkPullTimeout(TimePoint now, Outbox &out);
    bool sendDeltaSince(const Endpoint &to, Revision base, Outbox &out) const;

    /// Applies the changes of @p delta that are newer than the current revision. The base of @p delta must not be above that revision.
    /// Returns false if the result does not match the digest.
    bool applyDelta(const ConfigurationDelta &delta, Outbox &out);
    /// The same for changes that directly follow the current revision.
    bool applyChanges(const std::vector<ConfigurationChange> &changes, const SetDigest &digest, Outbox &out);
    void apply(ConfigurationSet set, const SetDigest &digest, Outbox &out);
    void propagate(Revision base, const std::optional<Endpoint> &excluded, TimePoint now, Outbox &out);
    void confirm(TimePoint time, Revision revision);

    [[nodiscard]] ConfigurationDigest digestMessage(DigestKind kind, TimePoint now) const;
    [[nodiscard]] bool isInOwnDomain(const Peer &peer) const;
    [[nodiscard]] std::vector<Peer> shuffledPeers(bool isOwnDomain) const;
    /// Random peers of the own failure domain; peers of other domains only if there are fewer than the fanout.
    [[nodiscard]] std::vector<Peer> chooseFanoutPeers(const std::optional<Endpoint> &excluded) const;

    ConfigurationReplicatorSettings m_settings;
    ConfigurationReplicatorHooks m_hooks;
    RandomSource m_random;

    ConfigurationSet m_set;
    SetDigest m_digest;
    ChangeLog m_log;
    SnapshotSource m_snapshotSource;
    ReaderElection m_election;

    std::optional<TimePoint> m_startedAt;
    bool m_isReady = false;
    bool m_isReader = false;
    bool m_hasStoreAnswered = false;
    unsigned m_storeFailures = 0;
    TimePoint m_nextStartupQuery;
    std::map<NodeId, StartupPeer> m_startupPeers;
    Revision m_highestKnownRevision = 0;

    std::optional<TimePoint> m_lastConfirmed;
    std::optional<Confirmation> m_pendingConfirmation;

    std::optional<ConfigurationLoader> m_loader;
    bool m_isHeadOnly = false;
    bool m_isLoadRequested = false;
    TimePoint m_loadStartedAt;
    std::uint64_t m_ticket = 0;
    TimePoint m_nextPoll;
    TimePoint m_nextHeartbeat;
    TimePoint m_nextExchange;

    std::optional<Pull> m_pull;
    std::vector<PullSource> m_pullSources;
    unsigned m_corruptDeltas = 0;
};

} // namespace banyankeel

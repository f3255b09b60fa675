#pragma once

// The other nodes known to this node, from the store's roster and from their reports.
//
//   MeshPeers peers(self, place);
//   peers.addFromRoster(peer, now);
//   KnownPeer &known = peers.recordReport(from, report, now);

#include "coordination/feed/configurationfetcher.h"
#include "coordination/targetlife/departurelist.h"
#include "protocol/hostrow.h"
#include "protocol/nodereport.h"
#include "state/peer.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace banyankeel
{

struct KnownPeer {
    Peer peer;
    /// Arrival time of its last report; absent before the first one.
    std::optional<TimePoint> lastReportAt;
    TimePoint knownSince;
    bool isReachable = false;
    bool isStopping = false;
    /// Whether the peer can follow the configuration in the store.
    bool isStoreReachable = true;
    /// Departures of its target.
    DepartureList departures;
    /// The limit that its target has named; absent if none is known or it has been lifted.
    std::optional<TargetRateLimit> rateLimit = std::nullopt;
    /// The last record of its target, and the last configuration that it reported.
    std::optional<TargetRecord> target = std::nullopt;
    ConfigurationVersion configuration{};
    /// The last report of this incarnation that came through a relay.
    std::uint64_t lastSequence = 0;
    /// Position in the order of relays.
    std::uint64_t relayRank = 0;
    /// When the last message came over a connection to it, and when it was last asked for one.
    TimePoint lastMessageAt{};
    std::optional<TimePoint> pingedAt = std::nullopt;
};

/// Not thread-safe. Operations other than lookups by node take time linear in the number of peers.
class MeshPeers
{
public:
    /// @param place the place of this node.
    MeshPeers(const NodeId &self, const Place &place);

    /// Adds a peer from a roster row. Returns true if the node was not known.
    bool addFromRoster(const Peer &peer, TimePoint now);
    /// Records a report. Returns the peer with its previous isReachable; the caller updates it.
    KnownPeer &recordReport(const Peer &from, const NodeReport &report, TimePoint now);
    /// Whether a report of @p from is of an earlier incarnation, or has come through a relay after a later one.
    [[nodiscard]] bool isOutdated(const Peer &from, const NodeReport &report) const;
    [[nodiscard]] KnownPeer *find(const NodeId &node);
    [[nodiscard]] KnownPeer *find(const Endpoint &endpoint);
    /// Another node than @p peer that was known at the endpoint of @p peer, or null. Addresses of hosts that are gone are used again.
    [[nodiscard]] KnownPeer *findOtherAt(const Peer &peer);
    /// How far the node at @p endpoint is; OtherRegion if it is not known.
    [[nodiscard]] PeerDistance distanceTo(const Endpoint &endpoint) const;
    /// Reachable peers that have sent no report for longer than @p limit, although others of their region have been heard since.
    /// @param regionHeardAt when a relay last passed on reports of a region. @param regionLimit silence after which all nodes of a region count as lost.
    [[nodiscard]] std::vector<KnownPeer *>
    findSilent(const std::map<RegionName, TimePoint> &regionHeardAt, TimePoint now, Duration limit, Duration regionLimit);
    /// The nodes of @p region that may relay reports, in the order that all nodes use, this node among them if it is one of them. A peer that has not been
    /// heard yet may be one for @p trial after it became known.
    [[nodiscard]] std::vector<NodeId> relayCandidates(const RegionName &region, TimePoint now, Duration trial) const;
    [[nodiscard]] std::set<RegionName> regions() const;
    /// Removes unreachable peers that have sent no report for longer than @p limit. Returns them.
    std::vector<NodeId> removeUnreachable(TimePoint now, Duration limit);
    void remove(const NodeId &node);
    [[nodiscard]] PeerDistance distanceTo(const Place &place) const;
    /// The number of peers of the own region that come before this node, in a hash order that is the same on all nodes and spreads over failure domains.
    /// Counts those that are reachable, keep running and reach the store.
    [[nodiscard]] std::size_t regionRank() const;
    /// The number of known peers of the own region that come before this node in that order, reachable or not.
    [[nodiscard]] std::size_t rosterRank() const;

    [[nodiscard]] std::map<NodeId, KnownPeer> &all()
    {
        return m_peers;
    }
    [[nodiscard]] const std::map<NodeId, KnownPeer> &all() const
    {
        return m_peers;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_peers.size();
    }

private:
    [[nodiscard]] bool isBefore(const KnownPeer &peer) const;

    NodeId m_self;
    Place m_place;
    std::uint64_t m_ownRank;
    std::map<NodeId, KnownPeer> m_peers;
    std::unordered_map<Endpoint, PeerDistance> m_distances;
    std::unordered_map<Endpoint, NodeId> m_nodes;
};

} // namespace banyankeel

#pragma once

// What a node knows of the other nodes, from the store's roster and from their reports.
//
//   MeshPeers peers(self);
//   peers.listed(row);
//   PeerNews news = peers.reported(from, report, now);

#include "protocol/hostrow.h"
#include "protocol/nodereport.h"
#include "state/peer.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace banyankeel
{

/// One other node.
struct KnownPeer {
    Peer peer;
    /// When its last report came; absent if none has come yet.
    std::optional<TimePoint> heardAt;
    TimePoint knownSince;
    bool isReachable = false;
    bool isStopping = false;
    /// Of its target.
    std::vector<TargetLeaving> leavings;
};

/// Not thread-safe. Time linear in the peers.
class MeshPeers
{
public:
    explicit MeshPeers(const NodeId &self);

    /// A row of the roster. Returns true if the node was not known.
    bool listed(const Peer &peer, TimePoint now);
    /// A report came. Returns the peer, whose isReachable says how it was before; the caller sets it.
    KnownPeer &reported(const Peer &from, const NodeReport &report, TimePoint now);
    [[nodiscard]] KnownPeer *find(const NodeId &node);
    [[nodiscard]] KnownPeer *find(const Endpoint &endpoint);
    /// Peers that were reachable and are silent for @p limit.
    [[nodiscard]] std::vector<KnownPeer *> silent(TimePoint now, Duration limit);
    /// Forgets peers that were not heard for @p limit. Returns them.
    std::vector<NodeId> dropLost(TimePoint now, Duration limit);
    void forget(const NodeId &node);
    /// Whether this node is one of the first @p count of those that are reachable, in an order that is the same on all nodes and spreads over
    /// failure domains.
    [[nodiscard]] bool isAmongFirst(std::size_t count) const;

    [[nodiscard]] std::map<NodeId, KnownPeer> &all()
    {
        return m_peers;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_peers.size();
    }

private:
    NodeId m_self;
    std::map<NodeId, KnownPeer> m_peers;
};

} // namespace banyankeel

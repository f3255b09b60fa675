#include "mesh/meshpeers.h"

#include "coordination/routing/rootcandidates.h"

#include <algorithm>

namespace banyankeel
{

MeshPeers::MeshPeers(const NodeId &self, const Place &place)
    : m_self(self)
    , m_place(place)
    , m_ownRank(targetNameHash(self.text()))
{
}

bool MeshPeers::addFromRoster(const Peer &peer, TimePoint now)
{
    if (peer.node == m_self) {
        return false;
    }
    // Rows of nodes that are gone stay; of two at one address the later one is there.
    if (const KnownPeer *other = findOtherAt(peer)) {
        if (other->peer.incarnation > peer.incarnation || other->isReachable) {
            return false;
        }
        remove(NodeId(other->peer.node));
    }
    const auto [it, isNew] = m_peers.try_emplace(peer.node, KnownPeer{.peer = peer, .lastReportAt = std::nullopt, .knownSince = now, .departures = {}});
    it->second.relayRank = isNew ? targetNameHash(peer.node.text()) : it->second.relayRank;
    m_distances[peer.endpoint] = distanceTo(peer.place);
    m_nodes.insert_or_assign(peer.endpoint, peer.node);
    if (!isNew && !it->second.isReachable && it->second.peer.incarnation < peer.incarnation) {
        it->second.peer = peer;
        it->second.knownSince = now;
    }
    return isNew;
}

KnownPeer &MeshPeers::recordReport(const Peer &from, const NodeReport &report, TimePoint now)
{
    const auto [found, isNew] = m_peers.try_emplace(from.node, KnownPeer{.peer = from, .lastReportAt = std::nullopt, .knownSince = now, .departures = {}});
    KnownPeer &known = found->second;
    if (isNew) {
        known.relayRank = targetNameHash(from.node.text());
    }
    if (known.peer.endpoint != from.endpoint) {
        m_distances.erase(known.peer.endpoint);
        m_nodes.erase(known.peer.endpoint);
    }
    m_distances[from.endpoint] = distanceTo(from.place);
    m_nodes.insert_or_assign(from.endpoint, from.node);
    const bool isNewProcess = known.peer.incarnation != from.incarnation;
    known.peer = from;
    known.lastReportAt = std::max(known.lastReportAt.value_or(now), now);
    known.isStopping = report.isStopping || (known.isStopping && !isNewProcess);
    known.isStoreReachable = report.isStoreReachable;
    known.configuration = report.configuration;
    known.lastSequence = std::max(isNewProcess ? 0 : known.lastSequence, report.sequence);
    if (report.target && (!known.target || report.target->supersedes(*known.target))) {
        known.target = report.target;
    }
    // A process that has just started may not have read its own row yet, so what is missing from its report is kept.
    if (report.rateLimit) {
        known.rateLimit = report.rateLimit->ratePerSecond ? report.rateLimit : std::nullopt;
    }
    known.departures.merge(report.departures);
    return known;
}

KnownPeer *MeshPeers::find(const NodeId &node)
{
    const auto it = m_peers.find(node);
    return it == m_peers.end() ? nullptr : &it->second;
}

KnownPeer *MeshPeers::find(const Endpoint &endpoint)
{
    const auto it = m_nodes.find(endpoint);
    return it == m_nodes.end() ? nullptr : find(it->second);
}

KnownPeer *MeshPeers::findOtherAt(const Peer &peer)
{
    const auto it = m_nodes.find(peer.endpoint);
    return it == m_nodes.end() || it->second == peer.node ? nullptr : find(it->second);
}

bool MeshPeers::isOutdated(const Peer &from, const NodeReport &report) const
{
    const auto it = m_peers.find(from.node);
    if (it == m_peers.end() || !it->second.lastReportAt) {
        return false;
    }
    const Incarnation known = it->second.peer.incarnation;
    return from.incarnation < known || (from.incarnation == known && report.sequence != 0 && report.sequence <= it->second.lastSequence);
}

std::vector<KnownPeer *> MeshPeers::findSilent(const std::map<RegionName, TimePoint> &regionHeardAt, TimePoint now, Duration limit, Duration regionLimit)
{
    std::vector<KnownPeer *> found;
    for (auto &[node, it] : m_peers) {
        if (!it.isReachable) {
            continue;
        }
        const auto heard = regionHeardAt.find(it.peer.place.region);
        const TimePoint heardAt = heard == regionHeardAt.end() ? TimePoint{} : heard->second;
        if (heardAt - *it.lastReportAt > limit || now - *it.lastReportAt > regionLimit) {
            found.push_back(&it);
        }
    }
    return found;
}

std::vector<NodeId> MeshPeers::relayCandidates(const RegionName &region, TimePoint now, Duration trial) const
{
    std::vector<std::pair<std::uint64_t, NodeId>> ranked;
    for (const auto &[node, it] : m_peers) {
        const bool isUntried = !it.lastReportAt && now - it.knownSince < trial;
        if (it.peer.place.region == region && !it.isStopping && (it.isReachable || isUntried)) {
            ranked.emplace_back(it.relayRank, node);
        }
    }
    if (region == m_place.region) {
        ranked.emplace_back(m_ownRank, m_self);
    }
    std::ranges::sort(ranked);
    std::vector<NodeId> found;
    found.reserve(ranked.size());
    for (auto &[rank, node] : ranked) {
        found.push_back(std::move(node));
    }
    return found;
}

std::set<RegionName> MeshPeers::regions() const
{
    std::set<RegionName> found;
    for (const auto &[node, it] : m_peers) {
        found.insert(it.peer.place.region);
    }
    return found;
}

std::vector<NodeId> MeshPeers::removeUnreachable(TimePoint now, Duration limit)
{
    std::vector<NodeId> lost;
    for (const auto &[node, it] : m_peers) {
        if (!it.isReachable && now - std::max(it.lastReportAt.value_or(it.knownSince), it.knownSince) > limit) {
            lost.push_back(node);
        }
    }
    for (const NodeId &it : lost) {
        remove(it);
    }
    return lost;
}

PeerDistance MeshPeers::distanceTo(const Place &place) const
{
    if (place.region != m_place.region) {
        return PeerDistance::OtherRegion;
    }
    return place == m_place ? PeerDistance::FailureDomain : PeerDistance::Region;
}

PeerDistance MeshPeers::distanceTo(const Endpoint &endpoint) const
{
    const auto it = m_distances.find(endpoint);
    return it == m_distances.end() ? PeerDistance::OtherRegion : it->second;
}

bool MeshPeers::isBefore(const KnownPeer &peer) const
{
    return peer.peer.place.region == m_place.region && peer.relayRank < m_ownRank;
}

std::size_t MeshPeers::regionRank() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_peers, [this](const auto &entry) {
        const KnownPeer &it = entry.second;
        return it.isReachable && !it.isStopping && it.isStoreReachable && isBefore(it);
    }));
}

std::size_t MeshPeers::rosterRank() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_peers, [this](const auto &entry) { return isBefore(entry.second); }));
}

void MeshPeers::remove(const NodeId &node)
{
    const auto it = m_peers.find(node);
    if (it != m_peers.end()) {
        m_distances.erase(it->second.peer.endpoint);
        const auto at = m_nodes.find(it->second.peer.endpoint);
        if (at != m_nodes.end() && at->second == node) {
            m_nodes.erase(at);
        }
        m_peers.erase(it);
    }
}

} // namespace banyankeel

#include "mesh/meshpeers.h"

#include "coordination/routing/rootcandidates.h"

#include <algorithm>

namespace banyankeel
{

MeshPeers::MeshPeers(const NodeId &self, const Place &place)
    : m_self(self)
    , m_place(place)
{
}

bool MeshPeers::addFromRoster(const Peer &peer, TimePoint now)
{
    if (peer.node == m_self) {
        return false;
    }
    const auto [it, isNew] = m_peers.try_emplace(peer.node, KnownPeer{.peer = peer, .lastReportAt = std::nullopt, .knownSince = now, .departures = {}});
    if (!isNew && !it->second.isReachable && it->second.peer.incarnation < peer.incarnation) {
        it->second.peer = peer;
        it->second.knownSince = now;
    }
    return isNew;
}

KnownPeer &MeshPeers::recordReport(const Peer &from, const NodeReport &report, TimePoint now)
{
    KnownPeer &known = m_peers.try_emplace(from.node, KnownPeer{.peer = from, .lastReportAt = std::nullopt, .knownSince = now, .departures = {}}).first->second;
    known.peer = from;
    known.lastReportAt = now;
    known.isStopping = report.isStopping;
    known.isStoreReachable = report.isStoreReachable;
    // A process that has just started may not have read its own row yet, so what is missing from its report is kept.
    if (report.rateLimit) {
        known.rateLimit = report.rateLimit->ratePerSecond ? report.rateLimit : std::nullopt;
    }
    for (const TargetDeparture &it : report.departures) {
        std::erase_if(known.departures, [&it](const TargetDeparture &old) { return old.name == it.name && old.startedUntil < it.startedUntil; });
        if (std::ranges::find(known.departures, it.name, &TargetDeparture::name) == known.departures.end()) {
            known.departures.push_back(it);
        }
    }
    return known;
}

KnownPeer *MeshPeers::find(const NodeId &node)
{
    const auto it = m_peers.find(node);
    return it == m_peers.end() ? nullptr : &it->second;
}

KnownPeer *MeshPeers::find(const Endpoint &endpoint)
{
    const auto it = std::ranges::find_if(m_peers, [&endpoint](const auto &entry) { return entry.second.peer.endpoint == endpoint; });
    return it == m_peers.end() ? nullptr : &it->second;
}

std::vector<KnownPeer *> MeshPeers::findSilent(TimePoint now, Duration limit)
{
    std::vector<KnownPeer *> found;
    for (auto &[node, it] : m_peers) {
        if (it.isReachable && now - *it.lastReportAt > limit) {
            found.push_back(&it);
        }
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
        m_peers.erase(it);
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

bool MeshPeers::isBefore(const KnownPeer &peer) const
{
    return peer.peer.place.region == m_place.region && targetNameHash(peer.peer.node.text()) < targetNameHash(m_self.text());
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
    m_peers.erase(node);
}

} // namespace banyankeel

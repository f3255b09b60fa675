#include "coordination/membership/membertable.h"

#include "state/errors.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace banyankeel
{

namespace
{
constexpr std::size_t MaxPendingRumours = 64;
/// Each rumour is sent this many times the logarithm of the view's size.
constexpr unsigned DisseminationFactor = 3;
/// In a full view a new member replaces a random one with a probability of 1 in this number, so that views mix.
constexpr std::uint64_t ReplacementOdds = 16;

template<typename T>
void shuffle(std::vector<T> &items, const RandomSource &random)
{
    for (std::size_t n = items.size(); n > 1; --n) {
        std::swap(items[n - 1], items[uniformBelow(random, n)]);
    }
}
} // namespace

MemberTable::MemberTable(MemberTableSettings settings, GoneCallback gone, RandomSource random)
    : m_settings(std::move(settings))
    , m_goneCallback(std::move(gone))
    , m_random(std::move(random))
{
    if (m_settings.ownDomain == 0 || m_settings.smallFleetLimit == 0 || m_settings.maxGone == 0) {
        throw SettingsError("member table: fields ownDomain, smallFleetLimit and maxGone: 0 found, at least 1 allowed");
    }
}

bool MemberTable::apply(const MemberRumour &rumour, TimePoint now)
{
    const NodeId &node = rumour.peer.node;
    if (node == m_settings.self.node) {
        return false;
    }
    const MemberRumour *gone = findGone(node);
    if (gone != nullptr && !rumour.supersedes(*gone)) {
        return false;
    }
    const auto it = m_members.find(node);
    if (rumour.state == MemberState::Gone) {
        if (it != m_members.end() && !rumour.supersedes(it->second.rumour)) {
            return false;
        }
        const bool wasMember = it != m_members.end();
        markGone(rumour, now);
        return wasMember;
    }
    if (it == m_members.end()) {
        return add(rumour, now);
    }
    if (!rumour.supersedes(it->second.rumour)) {
        return false;
    }
    if (rumour.state == MemberState::Suspect) {
        it->second.suspectedAt = now;
    }
    it->second.rumour = rumour;
    removeReplaced(rumour.peer, now);
    disseminate(rumour);
    return true;
}

bool MemberTable::add(const MemberRumour &rumour, TimePoint now)
{
    if (!m_isLargeFleet && m_members.size() >= m_settings.smallFleetLimit) {
        setLargeFleet();
    }
    if (m_isLargeFleet) {
        std::vector<NodeId> present = membersAtDistanceOf(rumour.peer.place);
        if (present.size() >= maxMembersAt(rumour.peer.place)) {
            if (present.empty() || uniformBelow(m_random, ReplacementOdds) != 0) {
                return false;
            }
            m_members.erase(present[uniformBelow(m_random, present.size())]);
        }
    }
    m_goneMembers.erase(rumour.peer.node);
    m_members.emplace(rumour.peer.node, Member{.rumour = rumour, .lastSeenAt = now, .suspectedAt = now});
    removeReplaced(rumour.peer, now);
    if (!m_isLargeFleet) {
        disseminate(rumour);
    }
    return true;
}

void MemberTable::markGone(const MemberRumour &rumour, TimePoint now)
{
    const bool wasMember = m_members.erase(rumour.peer.node) != 0;
    if (m_goneMembers.size() >= m_settings.maxGone && m_goneMembers.count(rumour.peer.node) == 0) {
        const auto oldest = std::min_element(
            m_goneMembers.begin(), m_goneMembers.end(), [](const auto &left, const auto &right) { return left.second.since < right.second.since; });
        m_goneMembers.erase(oldest);
    }
    m_goneMembers.insert_or_assign(rumour.peer.node, Gone{rumour, now});
    if (wasMember || !m_isLargeFleet) {
        disseminate(rumour);
    }
    m_goneCallback(rumour);
}

// Declares nodes gone whose host was replaced: a node that started later answers at the same address.
void MemberTable::removeReplaced(const Peer &peer, TimePoint now)
{
    std::vector<MemberRumour> replaced;
    for (const auto &[node, member] : m_members) {
        const Peer &other = member.rumour.peer;
        if (node != peer.node && other.endpoint == peer.endpoint && other.incarnation < peer.incarnation) {
            replaced.push_back({other, member.rumour.version, MemberState::Gone});
        }
    }
    for (const MemberRumour &rumour : replaced) {
        markGone(rumour, now);
    }
}

bool MemberTable::noteMessageFrom(const Peer &peer, TimePoint now)
{
    const MemberRumour *gone = findGone(peer.node);
    if (gone != nullptr) {
        if (gone->peer.incarnation > peer.incarnation) {
            return false;
        }
        // The same process must refute with a higher version before it is considered alive again.
        if (gone->peer.incarnation == peer.incarnation) {
            return true;
        }
    }
    const auto it = m_members.find(peer.node);
    if (it == m_members.end() || it->second.rumour.peer.incarnation < peer.incarnation) {
        apply({peer, 0, MemberState::Alive}, now);
        return true;
    }
    if (it->second.rumour.peer.incarnation > peer.incarnation) {
        return false;
    }
    it->second.lastSeenAt = now;
    // A suspect that sends messages is alive; its time to refute the suspicion restarts.
    it->second.suspectedAt = now;
    return true;
}

void MemberTable::restartSuspicionTimeouts(TimePoint now)
{
    for (auto &[node, member] : m_members) {
        member.suspectedAt = now;
    }
}

void MemberTable::tick(TimePoint now)
{
    std::erase_if(m_goneMembers, [&](const auto &it) { return now - it.second.since > m_settings.goneRetention; });
}

void MemberTable::setLargeFleet()
{
    if (m_isLargeFleet) {
        return;
    }
    m_isLargeFleet = true;
    // Keeps a random subset of each distance class.
    for (const auto &[node, member] : std::map(m_members)) {
        std::vector<NodeId> present = membersAtDistanceOf(member.rumour.peer.place);
        if (present.size() > maxMembersAt(member.rumour.peer.place)) {
            m_members.erase(present[uniformBelow(m_random, present.size())]);
        }
    }
}

const Member *MemberTable::find(const NodeId &node) const
{
    const auto it = m_members.find(node);
    return it == m_members.end() ? nullptr : &it->second;
}

const MemberRumour *MemberTable::findGone(const NodeId &node) const
{
    const auto it = m_goneMembers.find(node);
    return it == m_goneMembers.end() ? nullptr : &it->second.rumour;
}

bool MemberTable::isOutdated(const Peer &peer, std::uint64_t version) const
{
    const MemberRumour *gone = findGone(peer.node);
    const MemberRumour alive{peer, version, MemberState::Alive};
    if (gone != nullptr && !alive.supersedes(*gone)) {
        return true;
    }
    const Member *member = find(peer.node);
    return member != nullptr && member->rumour.peer.incarnation > peer.incarnation;
}

std::vector<Peer> MemberTable::peers() const
{
    std::vector<Peer> peers;
    peers.reserve(m_members.size());
    for (const auto &[node, member] : m_members) {
        peers.push_back(member.rumour.peer);
    }
    return peers;
}

std::vector<Peer> MemberTable::randomPeers(std::size_t count, const NodeId &except) const
{
    std::vector<const Member *> members;
    for (const auto &[node, member] : m_members) {
        if (node != except) {
            members.push_back(&member);
        }
    }
    shuffle(members, m_random);
    std::vector<Peer> peers;
    for (std::size_t n = 0; n < std::min(count, members.size()); ++n) {
        peers.push_back(members[n]->rumour.peer);
    }
    return peers;
}

std::vector<MemberRumour> MemberTable::sample(std::size_t count) const
{
    std::vector<MemberRumour> rumours;
    for (const Peer &peer : randomPeers(count, m_settings.self.node)) {
        rumours.push_back(find(peer.node)->rumour);
    }
    return rumours;
}

std::optional<Endpoint> MemberTable::randomGoneEndpoint() const
{
    if (m_goneMembers.empty()) {
        return std::nullopt;
    }
    const auto it = std::next(m_goneMembers.begin(), static_cast<std::ptrdiff_t>(uniformBelow(m_random, m_goneMembers.size())));
    return it->second.rumour.peer.endpoint;
}

void MemberTable::disseminate(const MemberRumour &rumour)
{
    std::erase_if(m_pendingRumours, [&rumour](const PendingRumour &it) { return it.rumour.peer.node == rumour.peer.node; });
    const auto rounds = static_cast<unsigned>(std::bit_width(m_members.size() + 1));
    m_pendingRumours.push_back({rumour, DisseminationFactor * rounds});
    if (m_pendingRumours.size() > MaxPendingRumours) {
        m_pendingRumours.erase(m_pendingRumours.begin());
    }
}

std::vector<MemberRumour> MemberTable::takeRumours(std::size_t count)
{
    std::stable_sort(m_pendingRumours.begin(), m_pendingRumours.end(), [](const PendingRumour &left, const PendingRumour &right) {
        return left.remaining > right.remaining;
    });
    std::vector<MemberRumour> rumours;
    for (std::size_t n = 0; n < std::min(count, m_pendingRumours.size()); ++n) {
        rumours.push_back(m_pendingRumours[n].rumour);
        --m_pendingRumours[n].remaining;
    }
    std::erase_if(m_pendingRumours, [](const PendingRumour &it) { return it.remaining == 0; });
    return rumours;
}

std::size_t MemberTable::maxMembersAt(const Place &place) const
{
    switch (distanceOf(place)) {
    case 0:
        return m_settings.ownDomain;
    case 1:
        return m_settings.ownRegion;
    default:
        return m_settings.otherRegions;
    }
}

std::vector<NodeId> MemberTable::membersAtDistanceOf(const Place &place) const
{
    std::vector<NodeId> nodes;
    for (const auto &[node, member] : m_members) {
        if (distanceOf(member.rumour.peer.place) == distanceOf(place)) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

int MemberTable::distanceOf(const Place &place) const
{
    if (place.region != m_settings.self.place.region) {
        return 2;
    }
    return place.failureDomain == m_settings.self.place.failureDomain ? 0 : 1;
}

} // namespace banyankeel

#pragma once

// The nodes known to one node: all of a small fleet, a bounded subset of a large one.
//
//   MemberTable table({.self = peer}, random);
//   if (table.apply(rumour, now)) ... changed: the rumour is sent with the next messages ...
//   for (const Peer &peer : table.peers()) ...

#include "coordination/common/random.h"
#include "protocol/membershipmessages.h"
#include "state/peer.h"
#include "state/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace banyankeel
{

struct MemberTableSettings {
    Peer self;
    /// Fleet size up to which a node knows all others.
    std::size_t smallFleetLimit = 64;
    /// Maximum numbers of members in the view of a large fleet, by distance.
    std::size_t ownDomain = 32;
    std::size_t ownRegion = 8;
    std::size_t otherRegions = 12;
    /// How long a node that is gone is remembered, so that late messages do not restore it.
    Duration goneRetention = std::chrono::minutes(10);
    std::size_t maxGone = 1024;
};

/// One known node.
struct Member {
    MemberRumour rumour;
    /// When this node last received a message from it.
    TimePoint lastSeenAt;
    /// When this node began to suspect it.
    TimePoint suspectedAt;
};

/// Not thread-safe. Each function takes the time of a lookup by name unless stated otherwise.
class MemberTable
{
public:
    /// Called when a member is declared gone.
    using GoneCallback = std::function<void(const MemberRumour &)>;

    MemberTable(MemberTableSettings settings, GoneCallback gone, RandomSource random);

    /// Applies a rumour. Returns whether it changed the table.
    bool apply(const MemberRumour &rumour, TimePoint now);
    /// Records a message from @p peer itself. Returns false if it is from a process that was replaced and must be ignored.
    bool noteMessageFrom(const Peer &peer, TimePoint now);
    /// Removes expired entries.
    void tick(TimePoint now);
    /// Restarts the time that suspects have to refute the suspicion, after this process was suspended.
    void restartSuspicionTimeouts(TimePoint now);
    /// Switches to a bounded view, permanently: a large fleet that loses most of its nodes is still treated as large.
    void setLargeFleet();
    [[nodiscard]] bool isLargeFleet() const
    {
        return m_isLargeFleet;
    }

    [[nodiscard]] const Member *find(const NodeId &node) const;
    [[nodiscard]] const std::map<NodeId, Member> &members() const
    {
        return m_members;
    }
    /// The last rumour about a node that is gone, or null.
    [[nodiscard]] const MemberRumour *findGone(const NodeId &node) const;
    /// Whether @p peer is known to be gone, or to have been replaced.
    [[nodiscard]] bool isOutdated(const Peer &peer, std::uint64_t version) const;
    /// All members that are not known to be gone. Copies each of them.
    [[nodiscard]] std::vector<Peer> peers() const;
    /// Up to @p count members in random order, without @p except.
    [[nodiscard]] std::vector<Peer> randomPeers(std::size_t count, const NodeId &except) const;
    [[nodiscard]] std::vector<MemberRumour> sample(std::size_t count) const;
    /// The address of a random node that is gone, to find out whether it has returned or was only partitioned.
    [[nodiscard]] std::optional<Endpoint> randomGoneEndpoint() const;

    /// Queues @p rumour for dissemination with the next messages. It may be about this node itself.
    void disseminate(const MemberRumour &rumour);
    /// Returns up to @p count rumours that were sent least often, and counts them as sent.
    std::vector<MemberRumour> takeRumours(std::size_t count);

private:
    struct PendingRumour {
        MemberRumour rumour;
        unsigned remaining;
    };
    struct Gone {
        MemberRumour rumour;
        TimePoint since;
    };

    bool add(const MemberRumour &rumour, TimePoint now);
    void markGone(const MemberRumour &rumour, TimePoint now);
    void removeReplaced(const Peer &peer, TimePoint now);
    [[nodiscard]] std::size_t maxMembersAt(const Place &place) const;
    /// Members in the same distance class as @p place.
    [[nodiscard]] std::vector<NodeId> membersAtDistanceOf(const Place &place) const;
    [[nodiscard]] int distanceOf(const Place &place) const;

    MemberTableSettings m_settings;
    GoneCallback m_goneCallback;
    RandomSource m_random;
    bool m_isLargeFleet = false;
    std::map<NodeId, Member> m_members;
    std::map<NodeId, Gone> m_goneMembers;
    std::vector<PendingRumour> m_pendingRumours;
};

} // namespace banyankeel

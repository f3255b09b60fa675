#pragma once

// Failure detector (SWIM): probes a member directly, then indirectly through other members, then reports it as failed.
//
//   for (const Peer &failed : prober.tick(table, now, out, rumoursFor)) ... mark it as suspect ...

#include "coordination/common/outbox.h"
#include "coordination/common/random.h"
#include "coordination/membership/membertable.h"
#include "protocol/membershipmessages.h"
#include "state/peer.h"
#include "state/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace banyankeel
{

struct ProberSettings {
    Duration interval = std::chrono::seconds(1);
    /// Time without an answer after which other members are asked to probe.
    Duration directTimeout = std::chrono::milliseconds(300);
    /// Time without any answer after which the probe has failed.
    Duration timeout = std::chrono::milliseconds(900);
    std::size_t indirectProbes = 3;
    /// Suspects that are probed again in each interval, in addition to the next member.
    std::size_t suspectsPerInterval = 4;
};

/// The outstanding probes of one node. Not thread-safe.
class Prober
{
public:
    using RumourSource = std::function<std::vector<MemberRumour>(const Peer &to)>;

    Prober(ProberSettings settings, RandomSource random);

    /// Sends the probes that are due. Returns the members whose probes failed.
    std::vector<Peer> tick(const MemberTable &table, TimePoint now, Outbox &out, const RumourSource &rumours);
    /// Sends a probe on behalf of another node.
    void relay(const Peer &requester, std::uint64_t sequence, const Peer &target, TimePoint now, Outbox &out, const RumourSource &rumours);
    /// The node on whose behalf a probe was sent, and its sequence number there.
    struct Relayed {
        Peer requester;
        std::uint64_t sequence;
    };
    /// Handles an answer. Returns where to forward it if the probe was sent on behalf of another node.
    std::optional<Relayed> handleAnswer(const Peer &target, std::uint64_t sequence);
    /// Discards outstanding probes. Used after this process was suspended, when missing answers do not indicate a failure.
    void cancelAll();

private:
    struct Outstanding {
        Peer target;
        TimePoint sentAt;
        bool isIndirect = false;
        std::optional<Relayed> relayed;
    };

    void send(const Peer &target, TimePoint now, Outbox &out, const RumourSource &rumours, const std::optional<Relayed> &relayed);
    void sendIndirect(const MemberTable &table, std::uint64_t sequence, Outstanding &probe, Outbox &out, const RumourSource &rumours);
    [[nodiscard]] const Member *nextMember(const MemberTable &table);
    void probeNext(const MemberTable &table, TimePoint now, Outbox &out, const RumourSource &rumours);

    ProberSettings m_settings;
    RandomSource m_random;
    std::uint64_t m_sequence = 0;
    TimePoint m_nextProbe;
    std::map<std::uint64_t, Outstanding> m_outstanding;
    std::vector<NodeId> m_probeOrder;
};

} // namespace banyankeel

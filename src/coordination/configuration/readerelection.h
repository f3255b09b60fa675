#pragma once

// Elects, without using the store, the few nodes of a failure domain that poll the store for the whole domain.
//
//   ReaderElection election({.self = peer}, random);
//   if (election.handleHeartbeat(heartbeat, now)) ... forward it ...
//   if (election.isReader(now)) ... read the store, flood a heartbeat ...

#include "coordination/common/random.h"
#include "protocol/configurationmessages.h"
#include "state/peer.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace banyankeel
{

struct ReaderElectionSettings {
    Peer self;
    /// Target number of readers whose reads succeed.
    std::size_t readers = 2;
    /// Upper bound on all readers, so that a store outage does not make every node a reader.
    std::size_t maxReaders = 4;
    /// A reader whose last heartbeat is older is dropped.
    Duration expiry = std::chrono::milliseconds(2000);
    /// A node waits a random time up to this before it becomes a reader, so that not many nodes do at the same time.
    Duration maxDelay = std::chrono::milliseconds(500);
};

/// The readers are the nodes with the lowest hashes among those whose heartbeats arrive. Not thread-safe.
class ReaderElection
{
public:
    ReaderElection(ReaderElectionSettings settings, RandomSource random);

    /// Handles a heartbeat of another node of the domain. Returns whether it must be forwarded: it is new and its sender is an elected
    /// reader.
    bool handleHeartbeat(const ReaderHeartbeat &heartbeat, TimePoint now);
    /// Whether this node polls the store. Becomes true only after a random delay.
    [[nodiscard]] bool isReader(TimePoint now);
    /// The heartbeat to flood next.
    ReaderHeartbeat nextHeartbeat(bool isStoreFailing);

private:
    struct Reader {
        std::uint64_t rank;
        Incarnation incarnation;
        std::uint64_t sequence;
        bool isStoreFailing;
        TimePoint receivedAt;
    };

    [[nodiscard]] std::uint64_t rankOf(const NodeId &node) const;
    [[nodiscard]] bool isElected(std::uint64_t rank, const NodeId &node) const;
    void dropExpired(TimePoint now);

    ReaderElectionSettings m_settings;
    RandomSource m_random;
    std::map<NodeId, Reader> m_readers;
    std::uint64_t m_sequence = 0;
    std::optional<TimePoint> m_becomesReaderAt;
};

} // namespace banyankeel

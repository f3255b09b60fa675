#pragma once

// Rendezvous hashing: all nodes rank the same peers in the same order for a shard, without coordination.
//
//   std::vector<Peer> order = rankedByRendezvous(shard, peers);

#include "state/shard.h"

#include <vector>

namespace banyankeel
{

/// The weight of @p node for @p shard, uniformly distributed in [0, 1). The same in every process.
double rendezvousWeight(const ShardId &shard, const NodeId &node);

/// Sorts @p peers by descending weight. Computes one hash per peer.
std::vector<Peer> rankedByRendezvous(const ShardId &shard, std::vector<Peer> peers);

} // namespace banyankeel

#include "coordination/lease/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace banyankeel
{

double rendezvousWeight(const ShardId &shard, const NodeId &node)
{
    constexpr double Scale = 1.0 / 9007199254740992.0;
    constexpr unsigned KindShift = 16;
    constexpr unsigned MantissaShift = 11;
    const XXH64_hash_t seed = (static_cast<XXH64_hash_t>(shard.kind) << KindShift) | shard.index;
    const std::uint64_t hash = XXH3_64bits_withSeed(node.text().data(), node.text().size(), seed);
    return static_cast<double>(hash >> MantissaShift) * Scale;
}

std::vector<Peer> rankedByRendezvous(const ShardId &shard, std::vector<Peer> peers)
{
    std::vector<std::pair<double, std::size_t>> order;
    order.reserve(peers.size());
    for (std::size_t i = 0; i < peers.size(); ++i) {
        order.emplace_back(-rendezvousWeight(shard, peers[i].node), i);
    }
    std::sort(order.begin(), order.end());
    std::vector<Peer> ranked;
    ranked.reserve(peers.size());
    for (const auto &[weight, i] : order) {
        ranked.push_back(std::move(peers[i]));
    }
    return ranked;
}

} // namespace banyankeel

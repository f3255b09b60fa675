#include "coordination/routing/rootcandidates.h"

#include <xxhash.h>

namespace banyankeel
{

std::uint64_t rendezvousRank(std::uint64_t rootHash, std::uint64_t targetNameHash)
{
    constexpr std::uint64_t FirstMultiplier = 0xBF58476D1CE4E5B9ULL;
    constexpr std::uint64_t SecondMultiplier = 0x94D049BB133111EBULL;
    std::uint64_t rank = (rootHash ^ targetNameHash) * FirstMultiplier;
    rank = (rank ^ (rank >> 29U)) * SecondMultiplier;
    return rank ^ (rank >> 32U);
}

std::uint64_t targetNameHash(std::string_view node)
{
    return XXH3_64bits(node.data(), node.size());
}

} // namespace banyankeel

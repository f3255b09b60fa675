#pragma once

// The number and order of the targets that may run a root request that its caller may repeat.

#include <cstdint>
#include <string_view>

namespace banyankeel
{

/// Executions of one root with an idempotency key that each target's node permits.
inline constexpr std::uint16_t ExecutionsPerTarget = 1;

/// Number of targets that a root with an idempotency key is sent to while at least one of them accepts requests. One execution is kept in reserve for
/// a membership change.
constexpr std::uint16_t candidateCount(std::uint16_t maxExecutions)
{
    constexpr std::uint16_t MinExecutionsForReserve = 3;
    return static_cast<std::uint16_t>(maxExecutions >= MinExecutionsForReserve ? maxExecutions - 1 : maxExecutions);
}

/// Rank of a target for a root (rendezvous hashing); a higher rank comes first. The same on every node.
std::uint64_t rendezvousRank(std::uint64_t rootHash, std::uint64_t targetNameHash);

/// Hash of a target's node name, for rendezvousRank().
std::uint64_t targetNameHash(std::string_view node);

} // namespace banyankeel

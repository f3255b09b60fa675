#pragma once

// The hash of a root request, by which all nodes make the same choice of the roots that are shed first.

#include "state/requestid.h"

#include <cstdint>

namespace banyankeel
{

/// The same on every node. Evenly distributed even for sequential ids.
inline std::uint64_t rootHash(const RequestId &root)
{
    constexpr std::uint64_t FirstMultiplier = 0xBF58476D1CE4E5B9ULL;
    constexpr std::uint64_t SecondMultiplier = 0x94D049BB133111EBULL;
    // The high half is mixed before the low half is added; otherwise ids with similar halves would cancel out.
    std::uint64_t hash = root.high() * 0x9E3779B97F4A7C15ULL;
    hash = (hash ^ (hash >> 32U)) + root.low();
    hash = (hash ^ (hash >> 30U)) * FirstMultiplier;
    hash = (hash ^ (hash >> 27U)) * SecondMultiplier;
    return hash ^ (hash >> 31U);
}

/// The hash as a number in [0, 1). A flow that admits a fraction f admits the roots below f.
inline double rootShare(const RequestId &root)
{
    constexpr double Scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(rootHash(root) >> 11U) * Scale;
}

} // namespace banyankeel

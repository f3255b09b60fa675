#pragma once

// Request ids drawn from a seeded source.
//
//   const RequestId id = randomRequestId(random);

#include "coordination/common/random.h"
#include "state/requestid.h"

#include <cstdint>

namespace banyankeel::testing
{

/// Draws one word per statement, so that a seed gives the same ids with every compiler.
inline RequestId randomRequestId(const RandomSource &random)
{
    const std::uint64_t low = random();
    const std::uint64_t high = random();
    return {high, low};
}

} // namespace banyankeel::testing

#pragma once

// The random source that components are given: seeded in tests, seeded from the system's entropy source in the daemon.

#include <cstdint>
#include <functional>
#include <random>

namespace banyankeel
{

/// Returns 64 uniformly distributed bits. Not thread-safe.
using RandomSource = std::function<std::uint64_t()>;

/// Returns a reproducible source.
inline RandomSource seededRandom(std::uint64_t seed)
{
    return [engine = std::mt19937_64(seed)]() mutable { return engine(); };
}

/// Returns an integer in [0, bound). @p bound must be above zero. The bias is below 2^-32 for bounds below 2^32.
inline std::uint64_t uniformBelow(const RandomSource &random, std::uint64_t bound)
{
    return random() % bound;
}

/// Returns a real number in [0, 1).
inline double uniformReal(const RandomSource &random)
{
    constexpr double Scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(random() >> 11U) * Scale;
}

} // namespace banyankeel

#pragma once

// Cryptographically secure random numbers for tokens and for seeding other random number generators.

#include <cstdint>

namespace banyankeel
{

/// Returns 64 bits from the cryptographic random number generator. Thread-safe.
/// @throws Error if the generator fails.
std::uint64_t secureRandomNumber();

} // namespace banyankeel

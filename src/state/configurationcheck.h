#pragma once

// Validates a complete configuration set before it is published.
//
//   for (const ConfigurationFault &fault : checkConfiguration(set)) {
//       std::cerr << fault.text() << '\n';
//   }

#include "state/configurationfault.h"
#include "state/configurationset.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace banyankeel
{

/// Maximum number of services on a call chain, including the first.
inline constexpr std::size_t MaxCallDepth = 11;
inline constexpr std::uint16_t MaxExecutions = 16;
inline constexpr std::uint16_t MaxWeight = 1000;
inline constexpr Duration ShortestDeadline = std::chrono::milliseconds(1);
inline constexpr Duration LongestDeadline = std::chrono::minutes(10);
inline constexpr Duration ShortestStalenessLimit = std::chrono::seconds(10);
inline constexpr Duration LongestStalenessLimit = std::chrono::hours(24 * 7);
/// A claim must be kept longer than any deadline; otherwise a late repeat could be executed a second time.
inline constexpr Duration ShortestClaimRetention = LongestDeadline;
inline constexpr Duration LongestClaimRetention = std::chrono::hours(24 * 30);
inline constexpr std::uint16_t MaxShards = 4096;
inline constexpr std::size_t KeySaltBytes = 16;
inline constexpr std::size_t KeyHashBytes = 32;

/// Returns all faults of @p set, ordered by object name; empty if the set is valid.
/// Time is linear in the number of objects and references.
std::vector<ConfigurationFault> checkConfiguration(const ConfigurationSet &set);

} // namespace banyankeel

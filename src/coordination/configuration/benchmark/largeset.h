#pragma once

// Generates a configuration set of a given size and a typical sequence of changes to it.

#include "state/configurationset.h"

#include <cstddef>
#include <cstdint>

namespace banyankeel::benchmark
{

struct SetSize {
    std::size_t services = 3'400;
    std::size_t organisations = 10'000;
    std::size_t keys = 20'000;
};

/// The set size for a fleet of @p nodes, proportional to the full fleet and at least 8 of each kind.
SetSize sizeForNodes(std::size_t nodes);

/// Builds revision 1: services with one route each, organisations with one limit each, and keys.
ConfigurationSet largeSet(const SetSize &size);

/// Returns change number @p n of the sequence: withdraws a key, grants it again, or changes a limit.
ConfigurationChange typicalChange(const SetSize &size, std::uint64_t n);

} // namespace banyankeel::benchmark

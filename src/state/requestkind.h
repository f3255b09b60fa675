#pragma once

// Classifies requests by the work that they cause.
//
//   RequestKind kind = requestKindOf(route.name);

#include "state/identifier.h"

#include <cstdint>

namespace banyankeel
{

/// Requests of one kind cause similar work and similar downstream calls. By default all requests have the same kind.
enum class RequestKind : std::uint32_t {};

/// Returns the same kind on every node. The kinds of two routes collide with a probability of 1 in 2^32; such routes share their statistics.
RequestKind requestKindOf(const RouteName &route);

} // namespace banyankeel

#pragma once

// Tells requests of unlike work apart.
//
//   RequestKind kind = requestKindOf(route.name);

#include "state/identifier.h"

#include <cstdint>

namespace banyankeel
{

/// Requests of one kind do about the same work and make about the same calls. The default is one kind for all.
enum class RequestKind : std::uint32_t {};

/// The same on every node. Kinds of two routes are alike once in four thousand million pairs; such routes then share their figures.
RequestKind requestKindOf(const RouteName &route);

} // namespace banyankeel

#pragma once

// Names of the HTTP headers between callers, nodes and targets.

#include <string_view>

namespace banyankeel::headers
{

/// Caller to node: "Bearer <secret>". Never forwarded.
inline constexpr std::string_view Authorization = "Authorization";
/// Caller to node: the same value in every retry of a request. Required on non-idempotent routes.
inline constexpr std::string_view IdempotencyKey = "Idempotency-Key";
/// Caller to node, and node to target: time until the deadline in milliseconds.
inline constexpr std::string_view Deadline = "Banyankeel-Deadline-Ms";
/// Node to caller: nameOf(RunState).
inline constexpr std::string_view Verdict = "Banyankeel-Verdict";
/// Node to caller: nameOf(Reason).
inline constexpr std::string_view Reason = "Banyankeel-Reason";
/// Node to target, and target to its own node in downstream calls: an opaque token that replaces the key.
inline constexpr std::string_view Context = "Banyankeel-Context";
/// Node to caller and target: id of the root request, as shown in the timeline.
inline constexpr std::string_view Request = "Banyankeel-Request";
inline constexpr std::string_view RetryAfter = "Retry-After";

} // namespace banyankeel::headers

#pragma once

// The request context that is forwarded on every hop in place of the caller's key.

#include "state/identifier.h"
#include "state/requestid.h"
#include "state/time.h"

#include <compare>
#include <cstdint>

namespace banyankeel
{

/// Importance of a request for load shedding; level 0 is shed last.
enum class PriorityLevel : std::uint8_t {};

/// The caller, deadline and retry budget of a request. Not modified after construction.
struct CallContext {
    /// Identifies the caller's request; shared by all attempts and downstream calls made for it.
    RequestId root;
    /// Whether the root is derived from the caller's idempotency key, so that repeats by the caller have the same root.
    bool hasStableRoot;
    OrganisationId organisation;
    /// The name of the caller's key, never its secret. The context becomes invalid when the key is withdrawn.
    KeyId key;
    PriorityLevel priority;
    /// Time left until the deadline of the request, measured from the receipt of the context.
    Duration remaining;
    /// Number of retries left, shared by all downstream hops.
    std::uint16_t retryBudget;
    /// Number of hops from the entry node; 0 at the first service.
    std::uint8_t depth;

    friend auto operator<=>(const CallContext &, const CallContext &) = default;
};

} // namespace banyankeel

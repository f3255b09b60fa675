#pragma once

// Messages by which nodes share reports of requests that may crash targets.

#include "protocol/envelope.h"
#include "state/identifier.h"
#include "state/peer.h"
#include "state/requestfingerprint.h"

#include <compare>
#include <cstdint>

namespace banyankeel
{

enum class CrashReportKind : std::uint8_t {
    /// The request was executing when the node's target disappeared.
    Crashed = 1,
    /// The request was suspected but completed with an answer.
    Cleared = 2,
    /// An operator released the request from quarantine.
    Released = 3,
};

/// Evidence for or against one request. Idempotent: duplicates have no effect.
struct CrashReport {
    RequestFingerprint fingerprint;
    CrashReportKind kind;
    /// The node that observed it.
    NodeId node;
    /// Incarnation of the target that crashed; 0 for the other kinds.
    Incarnation incarnation;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError, IdentifierError on malformed payloads.
    static CrashReport decode(const Envelope &envelope);

    friend auto operator<=>(const CrashReport &, const CrashReport &) = default;
};

} // namespace banyankeel

#pragma once

// Messages by which nodes share reports of requests that may crash targets.

#include "protocol/envelope.h"
#include "state/identifier.h"
#include "state/peer.h"
#include "state/requestfingerprint.h"
#include "state/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

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

class WireReader;
class WireWriter;

/// Evidence for or against one request. Idempotent: duplicates have no effect.
struct CrashReport {
    RequestFingerprint fingerprint;
    CrashReportKind kind;
    /// The node that observed it.
    NodeId node;
    /// Incarnation of the target that crashed; 0 for the other kinds.
    Incarnation incarnation;
    /// Crashes in a row up to this one; of no meaning for the other kinds.
    std::uint16_t crashes = 1;
    /// How much longer the request is to be refused if these crashes suffice for that; absent for the receiver's setting.
    std::optional<Duration> remaining = std::nullopt;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError, IdentifierError on malformed payloads.
    static CrashReport decode(const Envelope &envelope);

    friend auto operator<=>(const CrashReport &, const CrashReport &) = default;
};

/// The most reports that a list on the wire may hold.
inline constexpr std::size_t MaxCrashReports = 1024;

/// Writes the first MaxCrashReports of @p reports as a part of another message.
void writeCrashReports(WireWriter &writer, const std::vector<CrashReport> &reports);
/// @throws ProtocolError, IdentifierError on malformed values.
std::vector<CrashReport> readCrashReports(WireReader &reader);

} // namespace banyankeel

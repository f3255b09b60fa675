#pragma once

// The messages on the path of a call between the entry node and the target's own node.

#include "protocol/envelope.h"
#include "protocol/httpmessage.h"
#include "state/callcontext.h"
#include "state/identifier.h"
#include "state/peer.h"
#include "state/requestkind.h"
#include "state/verdict.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace banyankeel
{

/// Identifies one attempt among all that its sender has under way; never used twice by one incarnation.
enum class AttemptId : std::uint64_t {};

/// Links the sending and the receipt of an attempt's messages on the time line.
std::uint64_t attemptLink(const RequestId &root, AttemptId attempt, Incarnation sender);

/// Asks the target's own node to run a request.
struct CallRequest {
    AttemptId attempt;
    CallContext context;
    ServiceName service;
    RouteName route;
    /// Identifies a non-idempotent request over all its repeats; it runs only after a claim of this id. Absent for idempotent ones.
    std::optional<RequestId> claim;
    /// Identifies the request over all its repeats, those of the caller included; bounds how often it runs. Absent where the caller's repeats
    /// can't be told from new requests.
    std::optional<RequestId> repeatId;
    /// The incarnation that the sender chose; a node with another one refuses.
    Incarnation targetIncarnation;
    HttpRequest http;
    /// How likely this is a repeat, or was made by a run that was one, in hundredths: it counts as so much of a repeat at its service.
    std::uint8_t repeatPercent = 0;
    /// Of the request from outside the fleet that all of this is done for, where it is known; otherwise of this request.
    RequestKind rootKind{};
    PriorityLevel rootPriority{};

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError, IdentifierError on malformed payloads.
    static CallRequest decode(const Envelope &envelope);

    friend auto operator<=>(const CallRequest &, const CallRequest &) = default;
};

/// What an answer tells of the load at the target that gave it.
struct AdmissionHint {
    /// Requests of a higher level number than this are shed at present.
    PriorityLevel admittedLevel;
    /// The part of requests of exactly that level that is admitted, 0 to 1.
    double admittedFraction;
    /// Requests that wait or run at the target.
    std::uint32_t load;
    /// The present concurrency limit.
    std::uint32_t limit;

    friend auto operator<=>(const AdmissionHint &, const AdmissionHint &) = default;
};

/// Ends an attempt. A successful verdict comes with the whole response.
struct CallAnswer {
    AttemptId attempt;
    Verdict verdict;
    std::optional<HttpResponse> response;
    AdmissionHint hint;
    /// Further attempts that the hops below spent of the budget in the request.
    std::uint16_t retriesSpent;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static CallAnswer decode(const Envelope &envelope);

    friend auto operator<=>(const CallAnswer &, const CallAnswer &) = default;
};

/// Nobody waits for the attempt any more.
struct CallCancel {
    AttemptId attempt;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static CallCancel decode(const Envelope &envelope);

    friend auto operator<=>(const CallCancel &, const CallCancel &) = default;
};

} // namespace banyankeel

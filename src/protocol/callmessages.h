#pragma once

// Messages that carry a call from the entry node to the node next to the target, and its response back.

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

/// Identifies an attempt of its sender. An incarnation never reuses an id.
enum class AttemptId : std::uint64_t {};

/// Returns the key that matches the sending of an attempt's messages with their receipt in the timeline.
std::uint64_t attemptLink(const RequestId &root, AttemptId attempt, Incarnation sender);

/// Asks the node next to the target to execute a request.
struct CallRequest {
    AttemptId attempt;
    CallContext context;
    ServiceName service;
    RouteName route;
    /// Id of a non-idempotent request, the same in all its retries. The request is executed only after this id has been claimed. Absent for
    /// idempotent requests.
    std::optional<RequestId> claim;
    /// Id of the request, the same in all its retries, including the caller's; limits the number of executions. Absent if the caller's retries
    /// can't be distinguished from new requests.
    std::optional<RequestId> repeatId;
    /// The incarnation that the sender selected. A node with a different incarnation rejects the request.
    Incarnation targetIncarnation;
    HttpRequest http;
    /// Probability in percent that this request is a retry, or that a retry made it. The service counts it as that fraction of a retry.
    std::uint8_t repeatPercent = 0;
    /// Kind and priority of the request from outside the fleet that caused this one; those of this request if that one is not known.
    RequestKind rootKind{};
    PriorityLevel rootPriority{};

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError, IdentifierError on malformed payloads.
    static CallRequest decode(const Envelope &envelope);

    friend auto operator<=>(const CallRequest &, const CallRequest &) = default;
};

/// Load of a target, attached to each of its answers.
struct AdmissionHint {
    /// Requests with a higher level number are currently shed.
    PriorityLevel admittedLevel;
    /// Fraction of the requests of exactly that level that is admitted, 0 to 1.
    double admittedFraction;
    /// Number of requests that are queued or executing at the target.
    std::uint32_t load;
    /// Current concurrency limit.
    std::uint32_t limit;

    friend auto operator<=>(const AdmissionHint &, const AdmissionHint &) = default;
};

/// Completes an attempt. A successful verdict is sent with the complete response.
struct CallAnswer {
    AttemptId attempt;
    Verdict verdict;
    std::optional<HttpResponse> response;
    AdmissionHint hint;
    /// Retries that downstream hops took from the retry budget of the request.
    std::uint16_t retriesSpent;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static CallAnswer decode(const Envelope &envelope);

    friend auto operator<=>(const CallAnswer &, const CallAnswer &) = default;
};

/// Cancels an attempt whose result is no longer needed.
struct CallCancel {
    AttemptId attempt;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static CallCancel decode(const Envelope &envelope);

    friend auto operator<=>(const CallCancel &, const CallCancel &) = default;
};

} // namespace banyankeel

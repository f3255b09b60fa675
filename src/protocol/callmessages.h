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
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace banyankeel
{

/// Identifies an attempt of its sender. An incarnation never reuses an id.
enum class AttemptId : std::uint64_t {};

/// The attempt that a message of a call concerns, also if the rest of it can't be read. Absent for other messages.
std::optional<AttemptId> attemptOf(const Envelope &envelope);

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
    /// How many targets this request may have crashed before: those that the sender knows of, and those to which attempts lost their connection.
    std::uint16_t suspectedCrashes = 0;

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

/// The rest of a response body that is sent after the answer, in parts.
struct FollowingBody {
    /// Bytes of the whole body; absent if the target did not announce a length.
    std::optional<std::uint64_t> length;

    friend auto operator<=>(const FollowingBody &, const FollowingBody &) = default;
};

/// Completes an attempt. A successful verdict is sent with the complete response, or with the head of a response whose body follows.
struct CallAnswer {
    AttemptId attempt;
    Verdict verdict;
    std::optional<HttpResponse> response;
    AdmissionHint hint;
    /// Retries that downstream hops took from the retry budget of the request.
    std::uint16_t retriesSpent;
    /// Set if the body of the response follows in parts; its beginning may be in the response.
    std::optional<FollowingBody> following = std::nullopt;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static CallAnswer decode(const Envelope &envelope);

    friend auto operator<=>(const CallAnswer &, const CallAnswer &) = default;
};

/// Whether more of a body follows a part.
enum class BodyProgress : std::uint8_t {
    More,
    /// The part is the last one and the body is whole.
    Complete,
    /// Nothing follows, and the body is not whole.
    Broken,
};

/// Part of the body of a response whose answer announced that it follows.
struct CallBodyPart {
    AttemptId attempt;
    std::string bytes;
    BodyProgress progress;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static CallBodyPart decode(const Envelope &envelope);

    friend auto operator<=>(const CallBodyPart &, const CallBodyPart &) = default;
};

/// Bytes of a body that may be sent before the first CallBodyCredit.
inline constexpr std::size_t InitialBodyCredit = std::size_t{64} * 1024;

/// Permits the sender of a body to send further bytes, as those before have been passed on.
struct CallBodyCredit {
    AttemptId attempt;
    std::uint32_t bytes;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static CallBodyCredit decode(const Envelope &envelope);

    friend auto operator<=>(const CallBodyCredit &, const CallBodyCredit &) = default;
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

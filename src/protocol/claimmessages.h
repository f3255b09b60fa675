#pragma once

// Messages by which the node next to a target claims a non-idempotent request before executing it.

#include "protocol/envelope.h"
#include "state/requestid.h"
#include "state/shard.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace banyankeel
{

/// Identifies a claim of a node's incarnation. An incarnation never reuses a ticket.
enum class ClaimTicket : std::uint64_t {};

/// A request and the ticket under which it is claimed.
struct ClaimItem {
    ClaimTicket ticket;
    RequestId request;

    friend auto operator<=>(const ClaimItem &, const ClaimItem &) = default;
};

/// Asks the holder of a claim shard to record claims. May be resent: the same ticket of the same node denotes the same claim.
struct ClaimSubmission {
    ShardId shard;
    std::vector<ClaimItem> items;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static ClaimSubmission decode(const Envelope &envelope);

    friend auto operator<=>(const ClaimSubmission &, const ClaimSubmission &) = default;
};

enum class ClaimDecision : std::uint8_t {
    /// The claim is durably recorded for this ticket.
    Granted = 1,
    /// The request has already been claimed under another ticket.
    Duplicate = 2,
};

struct ClaimVerdict {
    ClaimTicket ticket;
    ClaimDecision decision;

    friend auto operator<=>(const ClaimVerdict &, const ClaimVerdict &) = default;
};

/// Answers claims, each one after its outcome is durable.
struct ClaimAnswer {
    std::vector<ClaimVerdict> verdicts;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static ClaimAnswer decode(const Envelope &envelope);

    friend auto operator<=>(const ClaimAnswer &, const ClaimAnswer &) = default;
};

/// Tells the holder that these tickets were abandoned before a decision: their requests were not executed and never will be under these tickets.
struct ClaimOutcome {
    ShardId shard;
    std::vector<ClaimItem> abandoned;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static ClaimOutcome decode(const Envelope &envelope);

    friend auto operator<=>(const ClaimOutcome &, const ClaimOutcome &) = default;
};

} // namespace banyankeel

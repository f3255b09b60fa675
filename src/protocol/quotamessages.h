#pragma once

// Messages by which nodes obtain their slices of an organisation's rate and burst.
// Rates, capacities and tokens are sent in thousandths, so that both sides compute with exactly the same value.

#include "protocol/envelope.h"
#include "state/identifier.h"
#include "state/shard.h"
#include "state/time.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace banyankeel
{

/// Sequence number of a node's quota requests. A later request invalidates the answers to all earlier ones for the same account.
enum class QuotaRequestId : std::uint64_t {};

/// A number of requests, or of requests per second, in thousandths.
enum class MilliTokens : std::uint64_t {};

constexpr double toTokens(MilliTokens amount)
{
    return static_cast<double>(amount) / 1000.0;
}

/// Rounds down, so that the conversion never increases an amount.
constexpr MilliTokens toMilliTokens(double tokens)
{
    return static_cast<MilliTokens>(tokens <= 0.0 ? 0.0 : tokens * 1000.0);
}

/// A node's request to the account of one organisation.
struct QuotaRequestItem {
    OrganisationId organisation;
    QuotaRequestId ask;
    /// The request whose answer granted the node's current slice; 0 without a slice.
    QuotaRequestId applied;
    /// Fence under which that slice was granted.
    Fence fence;
    MilliTokens rate;
    MilliTokens capacity;
    /// Until the answer arrives, the node keeps its tokens at or below this amount.
    MilliTokens kept;
    /// Remaining validity of the slice at the time of the request.
    Duration remaining;
    /// Requests per second that the node receives for the account.
    MilliTokens demand;
    /// Tokens that calls are currently waiting for.
    MilliTokens wanted;

    friend auto operator<=>(const QuotaRequestItem &, const QuotaRequestItem &) = default;
};

struct QuotaRequest {
    ShardId shard;
    std::vector<QuotaRequestItem> items;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError, IdentifierError on malformed payloads.
    static QuotaRequest decode(const Envelope &envelope);

    friend auto operator<=>(const QuotaRequest &, const QuotaRequest &) = default;
};

/// The slice that replaces the node's current one.
struct QuotaGrantItem {
    OrganisationId organisation;
    QuotaRequestId ask;
    MilliTokens rate;
    MilliTokens capacity;
    /// Tokens that the lender has deducted from its own balance.
    MilliTokens tokens;
    /// Validity of the slice, counted from the time of the request.
    Duration term;

    friend auto operator<=>(const QuotaGrantItem &, const QuotaGrantItem &) = default;
};

struct QuotaGrant {
    ShardId shard;
    Fence fence;
    std::vector<QuotaGrantItem> items;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError, IdentifierError on malformed payloads.
    static QuotaGrant decode(const Envelope &envelope);

    friend auto operator<=>(const QuotaGrant &, const QuotaGrant &) = default;
};

struct QuotaReturnItem {
    OrganisationId organisation;
    QuotaRequestId ask;
    /// Unused tokens, already deducted by the node.
    MilliTokens tokens;

    friend auto operator<=>(const QuotaReturnItem &, const QuotaReturnItem &) = default;
};

/// Returns the slices that the node has given up.
struct QuotaReturn {
    ShardId shard;
    std::vector<QuotaReturnItem> items;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError, IdentifierError on malformed payloads.
    static QuotaReturn decode(const Envelope &envelope);

    friend auto operator<=>(const QuotaReturn &, const QuotaReturn &) = default;
};

} // namespace banyankeel

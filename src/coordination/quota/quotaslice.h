#pragma once

// A node's slice of an account: a local token bucket with a rate, a capacity and an expiry time.
//
//   QuotaSlice slice;
//   QuotaRequestItem item = slice.createRequest(...);
//   slice.applyGrant(grant, fence, now, settings);
//   if (slice.tryTake(now, settings)) ... // one request may be executed

#include "coordination/quota/quotasettings.h"
#include "protocol/quotamessages.h"

#include <optional>

namespace banyankeel
{

/// The demand that a node reports with a slice request.
struct QuotaDemand {
    double perSecond;
    double wanted;
};

/// Not thread-safe. Every function costs constant time.
class QuotaSlice
{
public:
    /// Takes one token if available.
    bool tryTake(TimePoint now, const QuotaSettings &settings);
    /// Refunds the token of a request that was not executed. The token is lost if the slice is full or has ended.
    void refund(TimePoint now, const QuotaSettings &settings);

    /// Creates the next slice request, which voids earlier ones. Until the grant arrives, the slice holds at most the reported kept tokens.
    QuotaRequestItem
    createRequest(const OrganisationId &organisation, QuotaRequestId id, const QuotaDemand &demand, TimePoint now, const QuotaSettings &settings);
    /// Applies the grant for the pending request and ignores all others. Returns whether the grant was applied.
    bool applyGrant(const QuotaGrantItem &grant, Fence fence, TimePoint now, const QuotaSettings &settings);
    /// Discards the slice and the pending request.
    void drop();

    [[nodiscard]] bool isActive(TimePoint now) const
    {
        return m_applied && now < m_ends;
    }
    [[nodiscard]] bool isRequestPending() const
    {
        return m_pendingRequest.has_value();
    }
    [[nodiscard]] TimePoint requestedAt() const
    {
        return m_requestedAt;
    }
    [[nodiscard]] double rate() const
    {
        return toTokens(m_rate);
    }
    [[nodiscard]] double tokens() const
    {
        return m_tokens;
    }
    [[nodiscard]] double capacity() const
    {
        return toTokens(m_capacity);
    }

private:
    void refill(TimePoint now, const QuotaSettings &settings);
    [[nodiscard]] double limit() const;

    std::optional<QuotaRequestId> m_applied;
    Fence m_fence{};
    MilliTokens m_rate{};
    MilliTokens m_capacity{};
    double m_tokens = 0.0;
    TimePoint m_refilledAt{};
    TimePoint m_ends = TimePoint::min();
    std::optional<QuotaRequestId> m_pendingRequest;
    MilliTokens m_keptLimit{};
    TimePoint m_requestedAt = TimePoint::min();
};

} // namespace banyankeel

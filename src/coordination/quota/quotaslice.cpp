#include "coordination/quota/quotaslice.h"

#include <algorithm>
#include <cmath>

namespace banyankeel
{

namespace
{
// Below this capacity a slice offers all its free capacity for refilling, since half of the capacity could not hold a token.
constexpr double SmallCapacity = 4.0;

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}
} // namespace

double QuotaSlice::limit() const
{
    return m_pendingRequest ? std::min(toTokens(m_keptLimit), toTokens(m_capacity)) : toTokens(m_capacity);
}

void QuotaSlice::refill(TimePoint now, const QuotaSettings &settings)
{
    if (!m_applied) {
        return;
    }
    const TimePoint until = std::min(now, m_ends);
    if (until > m_refilledAt) {
        // Scale down, so that a fast clock does not exceed the rate in real time.
        const double added = toTokens(m_rate) * seconds(until - m_refilledAt) * (1.0 - settings.clockDrift);
        m_tokens = std::min(m_tokens + added, std::max(limit(), std::min(m_tokens, toTokens(m_capacity))));
        m_refilledAt = until;
    }
    if (now >= m_ends) {
        m_applied.reset();
        m_tokens = 0.0;
    }
}

bool QuotaSlice::tryTake(TimePoint now, const QuotaSettings &settings)
{
    refill(now, settings);
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

void QuotaSlice::refund(TimePoint now, const QuotaSettings &settings)
{
    refill(now, settings);
    if (m_applied) {
        m_tokens = std::min(m_tokens + 1.0, std::max(m_tokens, limit()));
    }
}

QuotaRequestItem
QuotaSlice::createRequest(const OrganisationId &organisation, QuotaRequestId id, const QuotaDemand &demand, TimePoint now, const QuotaSettings &settings)
{
    m_pendingRequest.reset();
    refill(now, settings);
    if (m_rate == MilliTokens{}) {
        // Without a rate, a fraction of a token never becomes a whole token.
        m_tokens = std::floor(m_tokens);
    }
    const double capacity = m_applied ? toTokens(m_capacity) : 0.0;
    const double kept = capacity < SmallCapacity ? m_tokens : std::max(m_tokens, capacity / 2.0);
    m_pendingRequest = id;
    // Round up, so the available tokens fit.
    m_keptLimit = std::min(static_cast<MilliTokens>(std::ceil(kept * 1000.0)), m_applied ? m_capacity : MilliTokens{});
    m_requestedAt = now;
    return {
        .organisation = organisation,
        .ask = id,
        .applied = m_applied.value_or(QuotaRequestId{}),
        .fence = m_fence,
        .rate = m_applied ? m_rate : MilliTokens{},
        .capacity = m_applied ? m_capacity : MilliTokens{},
        .kept = m_keptLimit,
        .remaining = m_applied ? m_ends - now : Duration(0),
        .demand = toMilliTokens(demand.perSecond),
        .wanted = toMilliTokens(demand.wanted),
    };
}

bool QuotaSlice::applyGrant(const QuotaGrantItem &grant, Fence fence, TimePoint now, const QuotaSettings &settings)
{
    const auto pending = static_cast<std::uint64_t>(m_pendingRequest.value_or(QuotaRequestId{}));
    if (!settings.acceptsGrant(static_cast<std::uint64_t>(grant.ask), pending)) {
        return false;
    }
    refill(now, settings);
    m_pendingRequest.reset();
    m_applied = grant.ask;
    m_fence = fence;
    m_rate = grant.rate;
    m_capacity = grant.capacity;
    m_tokens = std::min(m_tokens + toTokens(grant.tokens), toTokens(m_capacity));
    m_refilledAt = now;
    m_ends = settings.sliceStart(m_requestedAt, now) + std::min(grant.term, settings.sliceTerm);
    refill(now, settings);
    return true;
}

void QuotaSlice::drop()
{
    m_applied.reset();
    m_pendingRequest.reset();
    m_tokens = 0.0;
    m_ends = TimePoint::min();
}

} // namespace banyankeel

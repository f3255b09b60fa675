#include "coordination/quota/quotaaccount.h"

#include <algorithm>
#include <cmath>

namespace banyankeel
{

namespace
{
constexpr Duration ExpiryInterval = std::chrono::milliseconds(500);

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

double floorToMilliTokens(double tokens)
{
    return toTokens(toMilliTokens(tokens));
}
} // namespace

QuotaAccount::QuotaAccount(TimePoint heldSince, TimePoint recoveryEnd, bool isFull)
    : m_recoveryEnd(isFull ? heldSince : recoveryEnd)
    , m_startsFull(isFull)
    , m_refilledAt(m_recoveryEnd)
{
}

void QuotaAccount::setTotal(const QuotaAmount &total)
{
    m_total = total;
    if (m_startsFull) {
        m_tokens = total.burst;
        m_startsFull = false;
    }
}

QuotaAmount QuotaAccount::reserved(const Borrower &borrower)
{
    QuotaAmount amount;
    for (const std::optional<Loan> *loan : {&borrower.applied, &borrower.sent}) {
        if (*loan) {
            amount.rate = std::max(amount.rate, (*loan)->amount.rate);
            amount.burst = std::max(amount.burst, (*loan)->amount.burst);
        }
    }
    return amount;
}

void QuotaAccount::refill(TimePoint now, const QuotaSettings &settings)
{
    const double unlentBurst = std::max(0.0, m_total.burst - m_lent.burst);
    if (now > m_refilledAt) {
        const double rate = std::max(0.0, m_total.rate - m_lent.rate);
        m_tokens += rate * seconds(now - m_refilledAt) * (1.0 - settings.clockDrift);
        m_refilledAt = now;
    }
    m_tokens = std::min(m_tokens, unlentBurst);
}

void QuotaAccount::setDemand(Borrower &borrower, double demand)
{
    m_demand = std::max(0.0, m_demand + demand - borrower.demand);
    borrower.demand = demand;
}

void QuotaAccount::expire(TimePoint now, const QuotaSettings &settings)
{
    refill(now, settings);
    for (auto it = m_borrowers.begin(); it != m_borrowers.end();) {
        Borrower &borrower = it->second;
        const QuotaAmount before = reserved(borrower);
        for (std::optional<Loan> *loan : {&borrower.applied, &borrower.sent}) {
            if (*loan && now >= (*loan)->ends) {
                loan->reset();
            }
        }
        const QuotaAmount after = reserved(borrower);
        m_lent.rate = std::max(0.0, m_lent.rate + after.rate - before.rate);
        m_lent.burst = std::max(0.0, m_lent.burst + after.burst - before.burst);
        // Keep the last request id for a slice term, to recognise delayed requests. The answer to an older request would be of no use.
        if (!borrower.applied && !borrower.sent && now >= borrower.lastSeen + settings.withDriftMargin(settings.sliceTerm)) {
            setDemand(borrower, 0.0);
            it = m_borrowers.erase(it);
        } else {
            ++it;
        }
    }
    m_nextExpiry = now + ExpiryInterval;
    if (m_borrowers.empty()) {
        // Reset the sums to remove accumulated rounding errors.
        m_lent = {};
        m_demand = 0.0;
    }
}

void QuotaAccount::updateLoans(Borrower &borrower, const QuotaRequestItem &item, Fence fence, TimePoint now)
{
    // The borrower accepts only the grant for its newest request, so of all earlier loans only the one in use counts.
    const auto isInUse = [&](const std::optional<Loan> &loan) { return loan && item.fence == fence && loan->ask == item.applied; };
    if (isInUse(borrower.sent)) {
        borrower.applied = borrower.sent;
    } else if (!isInUse(borrower.applied)) {
        borrower.applied.reset();
    }
    borrower.sent.reset();
    const bool isFromPreviousHolder = item.applied != QuotaRequestId{} && item.fence < fence && item.remaining > Duration(0);
    if (isFromPreviousHolder && now < m_recoveryEnd) {
        // The slices of the previous holder do not exceed the total, so the borrower's current slice is adopted as it is.
        const QuotaAmount free{std::max(0.0, m_total.rate - m_lent.rate), std::max(0.0, m_total.burst - m_lent.burst)};
        const QuotaAmount adopted{std::min(toTokens(item.rate), free.rate), std::min(toTokens(item.capacity), free.burst)};
        borrower.applied = Loan{item.applied, adopted, m_recoveryEnd};
    }
}

QuotaAccount::Offer QuotaAccount::offer(const Borrower &borrower, const QuotaRequestItem &item, TimePoint now, const QuotaSettings &settings) const
{
    const QuotaAmount own = reserved(borrower);
    const QuotaAmount free{
        std::max(0.0, m_total.rate - (m_lent.rate - own.rate)),
        std::max(0.0, m_total.burst - (m_lent.burst - own.burst)),
    };
    if (now < m_recoveryEnd) {
        // Until all slices of previous holders have ended, a borrower gets no more than it already had.
        return {{floorToMilliTokens(std::min(free.rate, own.rate)), floorToMilliTokens(std::min(free.burst, own.burst))}, settings.sliceTerm};
    }
    const double demandFraction = m_demand > 0.0 ? borrower.demand / std::max(m_demand, borrower.demand) : 0.0;
    const double share = demandFraction * m_total.burst * (1.0 - settings.burstReserve);
    const double used = borrower.demand * seconds(settings.burstTerm);
    const double wanted = std::min(toTokens(item.wanted), free.burst);
    if (share < 1.0 || (m_total.burst < settings.smallBurst && share < settings.minShareOfSmallBurst)) {
        // The burst is too small for each node to keep a token, so tokens are lent only for waiting calls and for a short term.
        return {{0.0, floorToMilliTokens(wanted)}, settings.tokenTerm};
    }
    // The account keeps part of the burst to store the tokens that it accrues between requests. Waiting calls may use up to half of it.
    const double spare = std::max(0.0, free.burst - m_total.burst * settings.burstReserve);
    const double needed = std::min(toTokens(item.kept) + wanted, std::max(1.0, free.burst / 2.0));
    const double burst = std::max(std::min({share, std::max(used, 1.0), spare}), needed);
    const bool hasRate = share >= settings.minSliceBurst && used >= 1.0;
    return {{hasRate ? floorToMilliTokens(std::min(rateFor(borrower, settings), free.rate)) : 0.0, floorToMilliTokens(std::min(burst, free.burst))},
            settings.sliceTerm};
}

double QuotaAccount::rateFor(const Borrower &borrower, const QuotaSettings &settings) const
{
    const double lendable = m_total.rate * (1.0 - settings.rateReserve);
    const double desired = borrower.demand * settings.rateHeadroom;
    const double allDesired = std::max(m_demand * settings.rateHeadroom, desired);
    return allDesired > lendable ? desired * lendable / allDesired : desired;
}

std::optional<QuotaGrantItem>
QuotaAccount::lend(const QuotaBorrower &borrower, const QuotaRequestItem &item, Fence fence, TimePoint now, const QuotaSettings &settings)
{
    if (now >= m_nextExpiry) {
        expire(now, settings);
    }
    refill(now, settings);
    Borrower &it = m_borrowers[borrower];
    if (item.ask <= it.lastRequest) {
        return std::nullopt;
    }
    it.lastRequest = item.ask;
    it.lastSeen = now;
    const QuotaAmount before = reserved(it);
    m_lent = {m_lent.rate - before.rate, m_lent.burst - before.burst};
    updateLoans(it, item, fence, now);
    const QuotaAmount settled = reserved(it);
    m_lent = {m_lent.rate + settled.rate, m_lent.burst + settled.burst};
    setDemand(it, toTokens(item.demand));

    const auto [amount, term] = offer(it, item, now, settings);
    it.sent = Loan{item.ask, amount, now + settings.withDriftMargin(term)};
    const QuotaAmount after = reserved(it);
    m_lent = {std::max(0.0, m_lent.rate + after.rate - settled.rate), std::max(0.0, m_lent.burst + after.burst - settled.burst)};

    // Deduct before sending, so a lost grant loses tokens but never duplicates them.
    const double freeCapacity = std::max(0.0, amount.burst - toTokens(item.kept));
    double tokens = now < m_recoveryEnd ? 0.0 : floorToMilliTokens(std::min(freeCapacity, m_tokens));
    if (amount.rate == 0.0) {
        // Without a rate, a fraction of a token never becomes a whole token.
        tokens = std::floor(tokens);
    }
    m_tokens -= settings.deductedTokens(tokens);
    refill(now, settings);
    return QuotaGrantItem{item.organisation, item.ask, toMilliTokens(amount.rate), toMilliTokens(amount.burst), toMilliTokens(tokens), term};
}

void QuotaAccount::handleReturn(const QuotaBorrower &borrower, const QuotaReturnItem &item, TimePoint now, const QuotaSettings &settings)
{
    expire(now, settings);
    const auto it = m_borrowers.find(borrower);
    if (it == m_borrowers.end() || item.ask <= it->second.lastRequest) {
        return;
    }
    const QuotaAmount before = reserved(it->second);
    it->second.lastRequest = item.ask;
    it->second.lastSeen = now;
    it->second.applied.reset();
    it->second.sent.reset();
    setDemand(it->second, 0.0);
    m_lent = {std::max(0.0, m_lent.rate - before.rate), std::max(0.0, m_lent.burst - before.burst)};
    // Capacity for these tokens was reserved while the loan lasted. The tokens of an expired loan have been accrued again since, so at most the
    // reserved burst is credited.
    m_tokens += std::min(toTokens(item.tokens), before.burst);
    refill(now, settings);
}

} // namespace banyankeel

#pragma once

// The lender state of one organisation's rate and burst in one region. Lends slices, never more than the account's total.
//
// Invariant: the rates and capacities of all slices that may still be in use, plus what the account retains, never exceed the account's
// rate and burst. Tokens move from the account to a slice and are deducted before they are sent.
//
//   QuotaAccount account(heldSince, recoveryEnd, isFull);
//   account.setTotal({.rate = 50, .burst = 100});
//   std::optional<QuotaGrantItem> grant = account.lend(borrower, item, fence, now, settings);

#include "coordination/quota/quotasettings.h"
#include "protocol/quotamessages.h"
#include "state/peer.h"

#include <compare>
#include <map>
#include <optional>

namespace banyankeel
{

/// A rate and a burst.
struct QuotaAmount {
    double rate = 0.0;
    double burst = 0.0;

    friend auto operator<=>(const QuotaAmount &, const QuotaAmount &) = default;
};

/// A node incarnation that borrows slices.
struct QuotaBorrower {
    NodeId node;
    Incarnation incarnation;

    friend auto operator<=>(const QuotaBorrower &, const QuotaBorrower &) = default;
};

/// Not thread-safe. An operation is logarithmic in the number of borrowers, or linear when expired loans are removed.
class QuotaAccount
{
public:
    /// @param heldSince when this node became the holder.
    /// @param recoveryEnd when all slices of previous holders have ended. The account accrues no tokens before, unless @p isFull.
    /// @param isFull whether the account starts with its full burst, since there was no previous holder.
    QuotaAccount(TimePoint heldSince, TimePoint recoveryEnd, bool isFull);

    /// Sets the total of the account, including lent slices. A reduction affects slices when they are renewed.
    void setTotal(const QuotaAmount &total);

    /// Answers a slice request. Empty if the request is not newer than the borrower's last one.
    std::optional<QuotaGrantItem> lend(const QuotaBorrower &borrower, const QuotaRequestItem &item, Fence fence, TimePoint now, const QuotaSettings &settings);
    /// The borrower dropped its slices. Their unused tokens are credited unless the loan has ended.
    void handleReturn(const QuotaBorrower &borrower, const QuotaReturnItem &item, TimePoint now, const QuotaSettings &settings);
    /// Removes loans that have ended, and borrowers without loans.
    void expire(TimePoint now, const QuotaSettings &settings);

    /// The amounts of all loans that may still be in use.
    [[nodiscard]] QuotaAmount lent() const
    {
        return m_lent;
    }
    [[nodiscard]] std::size_t borrowerCount() const
    {
        return m_borrowers.size();
    }

private:
    struct Loan {
        QuotaRequestId ask;
        QuotaAmount amount;
        TimePoint ends;
    };
    // The slice that the borrower has confirmed, and the last one sent to it. The borrower uses one of them at a time, so the account reserves
    // the maximum of both.
    struct Borrower {
        QuotaRequestId lastRequest{};
        std::optional<Loan> applied;
        std::optional<Loan> sent;
        double demand = 0.0;
        TimePoint lastSeen{};
    };

    void refill(TimePoint now, const QuotaSettings &settings);
    [[nodiscard]] static QuotaAmount reserved(const Borrower &borrower);
    void updateLoans(Borrower &borrower, const QuotaRequestItem &item, Fence fence, TimePoint now);
    struct Offer {
        QuotaAmount amount;
        Duration term;
    };

    [[nodiscard]] double rateFor(const Borrower &borrower, const QuotaSettings &settings) const;
    [[nodiscard]] Offer offer(const Borrower &borrower, const QuotaRequestItem &item, TimePoint now, const QuotaSettings &settings) const;
    void setDemand(Borrower &borrower, double demand);

    TimePoint m_recoveryEnd;
    bool m_startsFull;
    QuotaAmount m_total;
    QuotaAmount m_lent;
    double m_tokens = 0.0;
    double m_demand = 0.0;
    TimePoint m_refilledAt;
    TimePoint m_nextExpiry = TimePoint::min();
    std::map<QuotaBorrower, Borrower> m_borrowers;
};

} // namespace banyankeel

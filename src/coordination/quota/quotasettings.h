#pragma once

// Timing and size settings of quota slices. All nodes of a fleet must use the same values.

#include "state/time.h"

#include <functional>

namespace banyankeel
{

struct QuotaSettings {
    /// How long a slice lasts from the time of its request. Longer than the time that it takes to replace a failed holder after a refresh.
    Duration sliceTerm = std::chrono::seconds(3);
    /// How long tokens last that are lent only for waiting calls.
    Duration tokenTerm = std::chrono::milliseconds(400);
    /// A node returns such tokens when they have been unused for this time.
    Duration tokenIdleTerm = std::chrono::milliseconds(40);
    /// How long after a denial a node sends requests to the next region as well as to its own.
    Duration denialRetention = std::chrono::seconds(1);
    /// How often a node renews a slice in use.
    Duration refreshInterval = std::chrono::milliseconds(800);
    /// Bounds of the request timeout, which adapts to the measured response time.
    Duration minRequestTimeout = std::chrono::milliseconds(8);
    Duration maxRequestTimeout = std::chrono::milliseconds(250);
    /// How long after a grant without a token a node waits before it sends another request to the same account.
    Duration denialInterval = std::chrono::milliseconds(20);
    /// A node returns a slice when it has been without demand for this time.
    Duration idleTerm = std::chrono::milliseconds(700);
    /// The time constant of a node's demand average.
    Duration demandTerm = std::chrono::seconds(1);
    /// The bound on clock rate error, as a fraction: a clock runs at 1 - clockDrift to 1 + clockDrift of real time.
    double clockDrift = 1e-3;
    /// The ratio of a slice's rate to its demand, where the account allows.
    double rateHeadroom = 1.25;
    /// The fractions of an account's rate and burst that are kept for nodes without a slice.
    double rateReserve = 0.6;
    double burstReserve = 0.35;
    /// A slice's capacity covers its demand for this time, where the account allows.
    Duration burstTerm = std::chrono::milliseconds(600);
    /// Test hook: the time from which a node counts the term of a slice. Any value other than @p sent is unsafe.
    std::function<TimePoint(TimePoint sent, TimePoint received)> sliceStart = [](TimePoint sent, TimePoint) { return sent; };
    /// Test hook: the tokens that a lender deducts from its account for @p granted. Any value below @p granted is unsafe.
    std::function<double(double granted)> deductedTokens = [](double granted) { return granted; };
    /// Test hook: whether a grant for request @p answered is accepted while @p pending is the pending request (0 if none). Any condition
    /// other than equality is unsafe.
    std::function<bool(std::uint64_t answered, std::uint64_t pending)> acceptsGrant = [](std::uint64_t answered, std::uint64_t pending) {
        return answered == pending;
    };
    /// A node whose share of the burst is below this gets no rate, since a small slice is often full and then loses the tokens it accrues.
    double minSliceBurst = 2.5;
    /// An account with a burst below smallBurst lends single tokens only, except to a node whose share of the burst is at least
    /// minShareOfSmallBurst, i.e. one with most of the demand.
    double smallBurst = 10.0;
    double minShareOfSmallBurst = 4.0;
    /// Test hook: how long a new holder lends no more than the nodes already had. Any value below the slice term, extended by the drift
    /// margin, is unsafe.
    std::function<Duration(Duration termWithMargin)> recoveryTime = [](Duration termWithMargin) { return termWithMargin; };

    /// How long the lender waits for @p term to end on the borrower's clock.
    [[nodiscard]] Duration withDriftMargin(Duration term) const
    {
        const double factor = (1.0 + clockDrift) / (1.0 - clockDrift);
        return Duration(static_cast<std::int64_t>(static_cast<double>(term.count()) * factor) + 1);
    }
};

} // namespace banyankeel

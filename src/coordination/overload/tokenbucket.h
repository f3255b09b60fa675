#pragma once

// Limits how many requests start within a time.
//
//   TokenBucket bucket(requestsPerSecond, now);
//   if (bucket.tryTake(now)) ... // start one
//   else wakeAt(bucket.nextTokenAt(now));

#include "state/time.h"

namespace banyankeel
{

/// A token bucket that holds at most what accrues in BurstTime, but at least one token. Starts with one token. Not thread-safe; constant time.
class TokenBucket
{
public:
    /// @throws ValueError if @p ratePerSecond is not positive or not finite.
    TokenBucket(double ratePerSecond, TimePoint now);

    /// Tokens up to now accrue at the old rate.
    /// @throws ValueError as the constructor does.
    void setRate(double ratePerSecond, TimePoint now);
    bool tryTake(TimePoint now);
    /// When the next token is available; @p now if there is one.
    [[nodiscard]] TimePoint nextTokenAt(TimePoint now) const;
    [[nodiscard]] double ratePerSecond() const
    {
        return m_ratePerSecond;
    }

    static constexpr Duration BurstTime = std::chrono::milliseconds(250);

private:
    [[nodiscard]] double tokensAt(TimePoint now) const;

    double m_ratePerSecond;
    double m_tokens = 1;
    TimePoint m_filledAt;
};

} // namespace banyankeel

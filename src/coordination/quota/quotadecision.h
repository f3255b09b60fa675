#pragma once

// The result of a quota check: whether a request is within its organisation's rate and burst.
//
//   QuotaDecision decision = ledger.tryTake(organisation, now);
//   if (!decision.isGranted() && decision.mayBecomeAvailable()) ... // hold the call and retry in a few milliseconds

#include "state/time.h"

#include <compare>

namespace banyankeel
{

/// Immutable.
class QuotaDecision
{
public:
    static QuotaDecision granted()
    {
        return {true, false, Duration(0)};
    }
    /// @param mayBecomeAvailable whether tokens are being requested, so the call may be held for a few milliseconds and checked again.
    static QuotaDecision refused(bool mayBecomeAvailable, Duration retryAfter)
    {
        return {false, mayBecomeAvailable, retryAfter};
    }

    [[nodiscard]] bool isGranted() const
    {
        return m_isGranted;
    }
    [[nodiscard]] bool mayBecomeAvailable() const
    {
        return m_mayBecomeAvailable;
    }
    /// The estimated time until a token is available; zero if granted.
    [[nodiscard]] Duration retryAfter() const
    {
        return m_retryAfter;
    }

    friend auto operator<=>(const QuotaDecision &, const QuotaDecision &) = default;

private:
    QuotaDecision(bool isGranted, bool mayBecomeAvailable, Duration retryAfter)
        : m_isGranted(isGranted)
        , m_mayBecomeAvailable(mayBecomeAvailable)
        , m_retryAfter(retryAfter)
    {
    }

    bool m_isGranted;
    bool m_mayBecomeAvailable;
    Duration m_retryAfter;
};

} // namespace banyankeel

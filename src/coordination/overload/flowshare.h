#pragma once

// Estimates which fraction of one organisation's requests at one priority is currently admitted.
//
//   share.offered(rootShare, now);
//   share.refused();
//   if (rootShare > share.admittedFraction()) ... // would be shed

#include "state/time.h"

#include <cstdint>

namespace banyankeel
{

/// Estimates the root hash below which requests of one flow are admitted. Not thread-safe. Constant time and size.
///
/// Callers refuse early, so that only roots below the current estimate arrive; the fraction refused here is therefore not meaningful
/// by itself. The mean hash of the arriving roots reveals the callers' cutoff, and the two together give the admitted fraction of
/// the total demand.
class FlowShare
{
public:
    /// @param rootShare the hash of the root, scaled to [0, 1).
    void offered(double rootShare, TimePoint now);
    /// A request counted by offered() was started at the target.
    void admitted();
    /// A request counted by offered() was refused because of overload.
    void refused();

    /// In (0, 1]; 1 if there were no recent requests at @p now.
    [[nodiscard]] double admittedFraction(TimePoint now) const;

private:
    void closeWindow(TimePoint now);

    TimePoint m_windowStart;
    float m_rootShareSum = 0;
    float m_fraction = 1;
    std::uint32_t m_offered = 0;
    std::uint32_t m_admitted = 0;
    std::uint32_t m_refused = 0;
    std::uint32_t m_windowsWithoutRefusal = 0;
};

} // namespace banyankeel

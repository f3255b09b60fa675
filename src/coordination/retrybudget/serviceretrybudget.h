#pragma once

// How many requests a node may send once more to a service, so that all nodes together stay within a ratio of the requests.
//
//   ServiceRetryBudget budget({.ratio = 0.1, .slack = 2, .window = 10s});
//   budget.noteRequest(now);
//   if (budget.take(now)) ... // send once more
//
// Answers the load of a service that refuses or loses a part of what it gets: repeats must not add to it without bound.

#include "state/time.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace banyankeel
{

struct ServiceRetryBudgetSettings {
    /// Repeats for each request of the window.
    double ratio;
    /// Repeats beyond the ratio in a window; this node's part of what the fleet may.
    double slack;
    Duration window;

    friend auto operator<=>(const ServiceRetryBudgetSettings &, const ServiceRetryBudgetSettings &) = default;
};

/// The repeats of one node to one service. Not thread-safe; constant time and size.
///
/// In any window that ends now, repeats are at most ratio x requests + slack. Each node keeps to its own sum, so that the fleet's sum holds
/// without a message between nodes, and a node that starts again has nothing left over from before.
class ServiceRetryBudget
{
public:
    /// @throws ValueError if ratio or slack is negative or the window is not above zero.
    explicit ServiceRetryBudget(const ServiceRetryBudgetSettings &settings);

    /// A request is sent to the service for the first time.
    void noteRequest(TimePoint now);
    /// A request that is sent for the first time was made by a run that may have been a repeat itself, and counts as @p part of one.
    void noteInherited(double part, TimePoint now);
    /// Whether one more repeat is within the budget; it is counted then.
    [[nodiscard]] bool take(TimePoint now);
    /// Repeats that would be within the budget now.
    [[nodiscard]] double left(TimePoint now);

private:
    struct Slice {
        std::uint32_t requests = 0;
        double repeats = 0;
    };
    static constexpr std::size_t Slices = 20;

    void advance(TimePoint now);
    void addRepeats(double count);

    ServiceRetryBudgetSettings m_settings;
    Duration m_sliceLength;
    std::array<Slice, Slices> m_slices{};
    std::int64_t m_current = 0;
    std::uint64_t m_requests = 0;
    double m_repeats = 0;
};

} // namespace banyankeel

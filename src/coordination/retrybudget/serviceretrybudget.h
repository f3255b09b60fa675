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
/// In any window, wherever it begins, repeats are at most ratio x requests + slack; the requests are those of the window, of the one before it or
/// of the one that began half a window earlier, whichever has most. So a service whose requests stop because it fails may still be
/// asked again for those before. Each node keeps to its own sum, so that the fleet's sum holds without a message between nodes, and a node that
/// starts again has nothing left over from before.
class ServiceRetryBudget
{
public:
    /// @throws ValueError if ratio or slack is negative or the window is not above zero.
    explicit ServiceRetryBudget(const ServiceRetryBudgetSettings &settings);

    /// A request is sent to the service for the first time. @param repeatPart how likely the run that made it was a repeat: by this part it counts
    /// as a repeat and not as a request.
    void noteRequest(TimePoint now, double repeatPart = 0);
    /// Whether one more repeat is within the budget; it is counted then.
    [[nodiscard]] bool take(TimePoint now);
    /// Repeats that would be within the budget now.
    [[nodiscard]] double left(TimePoint now);

private:
    struct Slice {
        double requests = 0;
        double repeats = 0;
    };
    static constexpr std::int64_t SlicesPerWindow = 20;
    /// The window that begins longest ago needs the one before it as well.
    static constexpr std::int64_t Slices = 2 * SlicesPerWindow;

    void advance(TimePoint now);
    Slice &present();
    /// Sums from the oldest slice on, the first of which is empty.
    [[nodiscard]] std::array<Slice, Slices + 1> sums() const;

    ServiceRetryBudgetSettings m_settings;
    Duration m_sliceLength;
    std::array<Slice, Slices> m_slices{};
    std::int64_t m_current = 0;
};

} // namespace banyankeel

#pragma once

// Limits a node's retries to one service, so that the retries of all nodes together stay within a ratio of the requests.
//
//   ServiceRetryBudget budget({.ratio = 0.1, .slack = 2, .window = 10s});
//   budget.recordRequest(now);
//   if (budget.take(now)) ... // retry
//
// Prevents retry amplification: retries must not add unbounded load to a service that refuses or loses some of its requests.

#include "state/time.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace banyankeel
{

struct ServiceRetryBudgetSettings {
    /// Retries per request of the window.
    double ratio;
    /// Retries beyond the ratio per window; this node's portion of the fleet's slack.
    double slack;
    Duration window;

    friend auto operator<=>(const ServiceRetryBudgetSettings &, const ServiceRetryBudgetSettings &) = default;
};

/// The retry budget of one node for one service. Not thread-safe. Constant time and size.
///
/// In any window, wherever it begins, retries are at most ratio x requests + slack. The requests are those of the window, of the previous one
/// or of the one that began half a window earlier, whichever has the most, so that earlier requests can still be retried when a service fails
/// and its requests stop. Each node enforces its own limit, so the limit of the fleet holds without coordination between nodes. A restarted node does not know
/// what the process before it has spent; within its first window its limits must leave room for that.
class ServiceRetryBudget
{
public:
    /// @throws ValueError if ratio or slack is negative or the window is not above zero.
    explicit ServiceRetryBudget(const ServiceRetryBudgetSettings &settings);

    /// Changes the limits, from the present window on. Neither may be negative.
    void setLimits(double ratio, double slack);
    /// Records the first attempt of a request to the service. @param retryProbability probability that the run that made the request was itself a
    /// retry; by this fraction the request counts as a retry.
    void recordRequest(TimePoint now, double retryProbability = 0);
    /// Whether one more retry is within the budget. If so, it is charged.
    [[nodiscard]] bool take(TimePoint now);
    /// Number of retries currently within the budget.
    [[nodiscard]] double remaining(TimePoint now);

private:
    struct Slice {
        double requests = 0;
        double retries = 0;
    };
    static constexpr std::int64_t SlicesPerWindow = 20;
    /// Two windows, because the oldest window that has not ended also needs the one before it.
    static constexpr std::int64_t Slices = 2 * SlicesPerWindow;

    void advance(TimePoint now);
    Slice &currentSlice();
    /// Prefix prefixSums from the oldest slice on; the first is zero.
    [[nodiscard]] std::array<Slice, Slices + 1> prefixSums() const;

    ServiceRetryBudgetSettings m_settings;
    Duration m_sliceLength;
    std::array<Slice, Slices> m_slices{};
    std::int64_t m_currentSlice = 0;
};

} // namespace banyankeel

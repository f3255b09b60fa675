#pragma once

// Service times at one target by request kind.
//
// Separate estimates per kind keep short requests with tight deadlines from being refused because long requests run at the same service.
//
//   ServiceTimes times;
//   times.record(kind, 60ms, now);
//   if (remaining <= times.highEstimate(kind, now)) ... // would miss its deadline

#include "state/requestkind.h"
#include "state/time.h"

#include <cstddef>
#include <unordered_map>

namespace banyankeel
{

/// Service time estimates of one target. Not thread-safe. Constant time; the number of kinds is bounded.
///
/// An estimate halves for each second without a sample, so that a few slow requests cannot keep all others out.
class ServiceTimes
{
public:
    /// Maximum number of kinds with an estimate of their own; further ones only count towards the mean over all kinds.
    static constexpr std::size_t MaxKinds = 256;

    /// Records that a request of @p kind took @p time at the target, including its downstream calls.
    void record(RequestKind kind, Duration time, TimePoint now);
    /// Records that a request of @p kind was abandoned after @p time, which is a lower bound of its service time.
    void recordAbandoned(RequestKind kind, Duration time, TimePoint now);

    /// Smoothed mean over all kinds. Zero while unknown.
    [[nodiscard]] Duration expected(TimePoint now) const;
    /// Smoothed mean over the requests of @p kind. Zero while unknown.
    [[nodiscard]] Duration expected(RequestKind kind, TimePoint now) const;
    /// Mean plus mean deviation: a time that most requests of @p kind do not exceed. Zero while unknown.
    [[nodiscard]] Duration highEstimate(RequestKind kind, TimePoint now) const;

private:
    /// Exponentially smoothed mean and mean deviation, in seconds.
    struct SmoothedTime {
        double mean = 0;
        double deviation = 0;
        TimePoint lastUpdate{};

        void record(double time, TimePoint now);
        [[nodiscard]] Duration decayed(double value, TimePoint now) const;
    };

    SmoothedTime *findOrAddKind(RequestKind kind);

    SmoothedTime m_all;
    std::unordered_map<RequestKind, SmoothedTime> m_kinds;
};

} // namespace banyankeel

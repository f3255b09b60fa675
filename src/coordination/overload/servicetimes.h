#pragma once

// How long requests take at one target, by their kind, so that a request is not judged by the time of another kind.
//
// Answers the load of a service that serves short and long requests side by side, of which the short ones have little time.
//
//   ServiceTimes times;
//   times.note(kind, 60ms, now);
//   if (remaining <= times.longTime(kind, now)) ... // is not going to be answered in time

#include "state/requestkind.h"
#include "state/time.h"

#include <cstddef>
#include <unordered_map>

namespace banyankeel
{

/// The times of one target. Not thread-safe; constant time; bounded in kinds.
///
/// What is known halves for each second without news, so that a few slow requests can't keep all others out.
class ServiceTimes
{
public:
    /// Kinds that are told apart at most; further ones count towards the mean of all only.
    static constexpr std::size_t HighestKinds = 256;

    /// A request of @p kind took @p time at the target, calls of its own included.
    void note(RequestKind kind, Duration time, TimePoint now);
    /// A request of @p kind was given up after @p time; it would have taken longer.
    void noteGivenUp(RequestKind kind, Duration time, TimePoint now);

    /// Smoothed over all kinds. Zero while unknown.
    [[nodiscard]] Duration expected(TimePoint now) const;
    /// Smoothed over the requests of @p kind. Zero while unknown.
    [[nodiscard]] Duration expected(RequestKind kind, TimePoint now) const;
    /// The time that most requests of @p kind stay below. Zero while unknown.
    [[nodiscard]] Duration longTime(RequestKind kind, TimePoint now) const;

private:
    /// In seconds.
    struct Smoothed {
        double mean = 0;
        double deviation = 0;
        TimePoint lastNews{};

        void note(double time, TimePoint now);
        [[nodiscard]] Duration decayed(double value, TimePoint now) const;
    };

    Smoothed *smoothedOf(RequestKind kind);

    Smoothed m_all;
    std::unordered_map<RequestKind, Smoothed> m_kinds;
};

} // namespace banyankeel

#pragma once

// Histogram of durations with fixed buckets, in the Prometheus text exposition format.
//
//   Histogram latency;
//   latency.observe(12ms);
//   std::string text = latency.exposition("banyankeel_request_seconds", "route=\"search\"");

#include "state/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace banyankeel
{

/// Not thread-safe. Uses constant memory; observe() takes constant time.
class Histogram
{
public:
    /// Upper bounds of the buckets, in seconds: from a response on the same host to the longest time limit of a caller.
    static constexpr std::array<double, 12> Bounds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10};

    void observe(Duration duration);
    [[nodiscard]] std::uint64_t count() const
    {
        return m_count;
    }
    /// Formats the bucket, sum and count lines. @param name of the metric. @param labels label pairs as written between the braces, or empty.
    [[nodiscard]] std::string exposition(std::string_view name, std::string_view labels) const;

private:
    std::array<std::uint64_t, Bounds.size()> m_buckets{};
    std::uint64_t m_count = 0;
    double m_sumSeconds = 0;
};

} // namespace banyankeel

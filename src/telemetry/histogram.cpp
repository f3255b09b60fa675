#include "telemetry/histogram.h"

#include <fmt/format.h>

#include <algorithm>

namespace banyankeel
{

void Histogram::observe(Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    const auto bucket = std::lower_bound(Bounds.begin(), Bounds.end(), seconds);
    if (bucket != Bounds.end()) {
        ++m_buckets[static_cast<std::size_t>(bucket - Bounds.begin())];
    }
    ++m_count;
    m_sumSeconds += seconds;
}

std::string Histogram::exposition(std::string_view name, std::string_view labels) const
{
    std::string text;
    const std::string_view comma = labels.empty() ? "" : ",";
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < Bounds.size(); ++i) {
        cumulative += m_buckets[i];
        text += fmt::format("{}_bucket{{{}{}le=\"{}\"}} {}\n", name, labels, comma, Bounds[i], cumulative);
    }
    text += fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, comma, m_count);
    const std::string braces = labels.empty() ? "" : fmt::format("{{{}}}", labels);
    text += fmt::format("{}_sum{} {:.6f}\n{}_count{} {}\n", name, braces, m_sumSeconds, name, braces, m_count);
    return text;
}

} // namespace banyankeel

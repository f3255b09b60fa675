#include "telemetry/metrics.h"

#include <fmt/format.h>

namespace banyankeel
{

namespace
{
std::string seriesName(std::string_view name, const MetricLabels &labels)
{
    std::string series(name);
    if (labels.empty()) {
        return series;
    }
    series += '{';
    for (std::size_t i = 0; i < labels.size(); ++i) {
        series += fmt::format("{}{}=\"{}\"", i == 0 ? "" : ",", labels[i].first, labelValueOf(labels[i].second));
    }
    series += '}';
    return series;
}
} // namespace

std::string labelValueOf(std::string_view text)
{
    std::string value;
    for (const char c : text) {
        if (c == '\n') {
            value += "\\n";
        } else {
            value += c == '"' || c == '\\' ? "\\" : "";
            value += c;
        }
    }
    return value;
}

Counter &Metrics::counter(std::string_view name, const MetricLabels &labels)
{
    const std::lock_guard lock(m_mutex);
    return m_counters[seriesName(name, labels)];
}

void Metrics::gauge(std::string_view name, const MetricLabels &labels, std::function<double()> read)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[seriesName(name, labels)] = std::move(read);
}

std::string Metrics::exposition() const
{
    std::string text;
    std::vector<std::pair<std::string, std::function<double()>>> gauges;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[series, counter] : m_counters) {
            text += fmt::format("{} {}\n", series, counter.value());
        }
        gauges.assign(m_gauges.begin(), m_gauges.end());
    }
    // Gauge callbacks may acquire other locks, so they are called without holding m_mutex.
    for (const auto &[series, read] : gauges) {
        text += fmt::format("{} {}\n", series, read());
    }
    return text;
}

} // namespace banyankeel

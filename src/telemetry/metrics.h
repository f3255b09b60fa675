#pragma once

// Registry for the counters and gauges of a process, in the Prometheus text exposition format.
//
//   Counter &sent = metrics.counter("banyankeel_attempts_total", {{"result", "ran"}});
//   sent.add();

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyankeel
{

/// Monotonically increasing counter. Thread-safe.
class Counter
{
public:
    void add(std::uint64_t n = 1)
    {
        m_value.fetch_add(n, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// Returns @p text as it is written between the quotes of a label.
std::string labelValueOf(std::string_view text);

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Metrics registry of one process. Thread-safe; references to counters stay valid for the lifetime of the registry.
class Metrics
{
public:
    /// Returns the counter with this name and these labels, creating it on first use. Takes a lock: keep the reference on hot paths.
    Counter &counter(std::string_view name, const MetricLabels &labels = {});

    /// Registers a gauge. @p read returns its value; it is called by exposition(), from any thread.
    void gauge(std::string_view name, const MetricLabels &labels, std::function<double()> read);

    /// Formats one line per series: counters, then gauges, each sorted by name and labels.
    [[nodiscard]] std::string exposition() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Counter> m_counters;
    std::map<std::string, std::function<double()>> m_gauges;
};

} // namespace banyankeel

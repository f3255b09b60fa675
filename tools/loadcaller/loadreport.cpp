#include "tools/loadcaller/loadreport.h"

#include "protocol/headernames.h"

#include <algorithm>
#include <cmath>

namespace banyankeel
{

namespace
{
constexpr int FirstError = 300;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double percentile(const std::vector<Duration> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return milliseconds(sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1]);
}
} // namespace

void LoadReport::sent()
{
    const std::lock_guard lock(m_mutex);
    ++m_counts["sent"];
}

void LoadReport::repeated()
{
    const std::lock_guard lock(m_mutex);
    ++m_counts["repeated"];
}

void LoadReport::ended(const HttpResult &result, Duration latency, bool isOwn)
{
    const std::lock_guard lock(m_mutex);
    if (!result.response) {
        ++m_counts["lost"];
        ++m_counts["reason." + std::string(nameOf(result.reason))];
        return;
    }
    const HttpResponse &response = *result.response;
    ++m_counts["status." + std::to_string(response.status)];
    ++m_counts[std::string(findHeader(response.headers, headers::Verdict).value_or("no-verdict"))];
    if (const auto reason = findHeader(response.headers, headers::Reason)) {
        ++m_counts["reason." + std::string(*reason)];
    }
    if (response.status >= FirstError) {
        return;
    }
    ++m_counts["whole"];
    m_latencies.push_back(latency);
    if (!isOwn) {
        ++m_counts["foreign"];
    }
}

LoadMetrics LoadReport::metrics(Duration elapsed) const
{
    const std::lock_guard lock(m_mutex);
    LoadMetrics metrics;
    for (const char *name : {"sent", "whole", "ran", "not-run", "may-have-run", "lost", "repeated", "foreign"}) {
        metrics[name] = 0;
    }
    for (const auto &[name, count] : m_counts) {
        metrics[name] = static_cast<double>(count);
    }
    std::vector<Duration> sorted = m_latencies;
    std::sort(sorted.begin(), sorted.end());
    metrics["p50_ms"] = percentile(sorted, 0.5);
    metrics["p90_ms"] = percentile(sorted, 0.9);
    metrics["p99_ms"] = percentile(sorted, 0.99);
    metrics["max_ms"] = percentile(sorted, 1);
    const double seconds = std::chrono::duration<double>(elapsed).count();
    metrics["per_second"] = seconds > 0 ? static_cast<double>(sorted.size()) / seconds : 0;
    return metrics;
}

} // namespace banyankeel

#pragma once

// Counts the outcomes of a load run.
//
//   LoadReport report;
//   report.sent();
//   report.ended(result, latency);
//   for (const auto &[name, value] : report.metrics(elapsed)) ...

#include "state/time.h"
#include "tools/loadcaller/expectation.h"
#include "transport/httpclient.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace banyankeel
{

/// Thread-safe.
class LoadReport
{
public:
    void sent();
    /// A client's repeat of a request that is counted as sent.
    void repeated();
    /// The last answer to a request. @param isOwn false if the body answers another request.
    void ended(const HttpResult &result, Duration latency, bool isOwn);

    /// sent, whole, ran, not-run, may-have-run, lost, repeated, foreign, status.<n>, reason.<name>, p50_ms, p90_ms, p99_ms, max_ms, per_second.
    /// Percentiles are over whole answers.
    [[nodiscard]] LoadMetrics metrics(Duration elapsed) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_counts;
    std::vector<Duration> m_latencies;
};

} // namespace banyankeel

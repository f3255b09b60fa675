#pragma once

// Calls a fleet as a caller outside of it would, one at a time or as an open load.
//
//   Caller caller("crew.secret");
//   HttpResult result = caller.call(host.callers, "GET", "/archiv/lookup");
//   LoadReport report = caller.load({.entries = {...}, .path = "/einsatz/check", .ratePerSecond = 200, .duration = 5s});

#include "protocol/httpmessage.h"
#include "state/endpoint.h"
#include "state/time.h"
#include "transport/httpclient.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace banyankeel::testing
{

/// The verdict header of a result, or "lost" when there is no response or no such header.
std::string verdictOf(const HttpResult &result);
/// The reason header of a result, or "none".
std::string reasonOf(const HttpResult &result);

/// What to send, open loop: at its rate whatever comes back.
struct LoadPlan {
    std::vector<Endpoint> entries;
    std::string method = "GET";
    std::string path;
    double ratePerSecond;
    Duration duration;
    Duration deadline = std::chrono::seconds(2);
    /// How often a caller sends a refused or failed request again, at once.
    unsigned repeats = 0;
};

/// What came back.
struct LoadReport {
    std::uint64_t sent = 0;
    /// Whole answers of status 200.
    std::uint64_t whole = 0;
    /// By "verdict reason".
    std::map<std::string, std::uint64_t> outcomes;
    std::vector<Duration> latencies;

    /// The latency below which @p share of the whole answers stayed; zero without any.
    [[nodiscard]] Duration quantile(double share) const;
    /// Adds the counts of @p other.
    void add(const LoadReport &other);
};

/// One caller with one key. Its functions wait for answers and may be called from several threads.
class Caller
{
public:
    /// @param key the caller's secret; empty for none.
    explicit Caller(std::string key, std::size_t maxConnections = 256);

    HttpResult call(const Endpoint &entry,
                    const std::string &method,
                    const std::string &path,
                    const std::vector<HttpHeader> &headers = {},
                    const std::string &body = {},
                    Duration timeLimit = std::chrono::seconds(10));

    /// Returns when the last answer has come.
    LoadReport load(const LoadPlan &plan);

private:
    HttpCall callOf(const Endpoint &entry,
                    const std::string &method,
                    const std::string &path,
                    const std::vector<HttpHeader> &headers,
                    const std::string &body,
                    Duration timeLimit) const;

    std::string m_key;
    HttpClient m_http;
};

} // namespace banyankeel::testing

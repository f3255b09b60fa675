#pragma once

// Sends a bounded number of calls at a rate or by a number of callers.
//
//   LoadRun run(settings);
//   LoadMetrics metrics = run.run();

#include "state/endpoint.h"
#include "state/time.h"
#include "tools/loadcaller/loadreport.h"
#include "transport/httpclient.h"

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace banyankeel
{

/// Which idempotency key each request carries.
enum class RepeatKeys {
    None,
    /// One for each request; the client's own repeats keep it.
    Unique,
    /// The same for all requests, as a caller that sends one request over and over.
    Same,
};

struct LoadSettings {
    /// Taken in turn; at least one.
    std::vector<Endpoint> entries;
    std::string key;
    std::string method = "GET";
    std::string path = "/";
    std::size_t bodyBytes = 0;
    /// Requests per second; 0 sends as fast as answers come.
    double rate = 0;
    /// Requests under way at once.
    std::size_t concurrency = 16;
    std::uint64_t count = 100;
    Duration time = std::chrono::seconds(10);
    Duration deadline = std::chrono::seconds(2);
    /// How often a client sends a request again that brought no whole answer.
    unsigned repeats = 0;
    RepeatKeys repeatKeys = RepeatKeys::None;
    /// Stands before idempotency keys, so that two runs differ.
    std::string repeatPrefix = "load";
    /// Whether answers must name the hash of their request's body, as target-standin's do.
    bool checksAnswers = false;
};

/// One run. Not thread-safe.
class LoadRun
{
public:
    explicit LoadRun(LoadSettings settings);

    /// Returns when the last answer has come, at the latest after the time, the deadline and the repeats.
    LoadMetrics run();

private:
    struct Request {
        HttpRequest http;
        Endpoint entry;
        std::string bodyHash;
        /// When it was due, so that waiting for a free place counts as latency.
        TimePoint due;
        unsigned repeatsLeft;
    };
    using RequestPointer = std::shared_ptr<Request>;

    [[nodiscard]] TimePoint dueTime(std::uint64_t n, TimePoint begin) const;
    void waitForPlace();
    void waitForAll();
    RequestPointer makeRequest(std::uint64_t n, TimePoint due) const;
    void send(const RequestPointer &request);
    void answered(const RequestPointer &request, const HttpResult &result);
    [[nodiscard]] bool isOwnAnswer(const Request &request, const HttpResult &result) const;

    LoadSettings m_settings;
    LoadReport m_report;
    // Guards the count of requests under way.
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_underWay = 0;
    HttpClient m_client;
};

} // namespace banyankeel

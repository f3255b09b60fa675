#include "testing/fleet/caller.h"

#include "protocol/headernames.h"

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>

namespace banyankeel::testing
{

namespace
{
using Clock = std::chrono::steady_clock;

constexpr int StatusOk = 200;
constexpr Duration AnswerSlack = std::chrono::seconds(5);

std::string headerOf(const HttpResult &result, std::string_view name, const std::string &fallback)
{
    if (!result.response) {
        return fallback;
    }
    const std::optional<std::string_view> value = findHeader(result.response->headers, name);
    return value ? std::string(*value) : fallback;
}

/// Collects the answers of one load from the client's thread.
class Collector
{
public:
    void sent()
    {
        const std::lock_guard lock(m_mutex);
        ++m_report.sent;
        ++m_open;
    }

    void ended(const HttpResult &result, Duration latency)
    {
        const std::lock_guard lock(m_mutex);
        if (result.response && result.response->status == StatusOk) {
            ++m_report.whole;
            m_report.latencies.push_back(latency);
        }
        ++m_report.outcomes[verdictOf(result) + ' ' + reasonOf(result)];
        --m_open;
        m_changed.notify_all();
    }

    LoadReport wait()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_open == 0; });
        return m_report;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    LoadReport m_report;
    std::uint64_t m_open = 0;
};
} // namespace

std::string verdictOf(const HttpResult &result)
{
    return headerOf(result, headers::Verdict, "lost");
}

std::string reasonOf(const HttpResult &result)
{
    return headerOf(result, headers::Reason, "none");
}

Duration LoadReport::quantile(double share) const
{
    if (latencies.empty()) {
        return Duration(0);
    }
    std::vector<Duration> sorted = latencies;
    std::sort(sorted.begin(), sorted.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

void LoadReport::add(const LoadReport &other)
{
    sent += other.sent;
    whole += other.whole;
    for (const auto &[outcome, n] : other.outcomes) {
        outcomes[outcome] += n;
    }
    latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
}

Caller::Caller(std::string key, std::size_t maxConnections)
    : m_key(std::move(key))
    , m_http({.maxConnections = maxConnections})
{
}

HttpCall Caller::callOf(const Endpoint &entry,
                        const std::string &method,
                        const std::string &path,
                        const std::vector<HttpHeader> &headers,
                        const std::string &body,
                        Duration timeLimit) const
{
    HttpCall call{.server = entry, .request = {.method = method, .target = path, .headers = headers, .body = body}, .timeLimit = timeLimit};
    if (!m_key.empty()) {
        call.request.headers.push_back({std::string(headers::Authorization), "Bearer " + m_key});
    }
    return call;
}

HttpResult Caller::call(const Endpoint &entry,
                        const std::string &method,
                        const std::string &path,
                        const std::vector<HttpHeader> &headers,
                        const std::string &body,
                        Duration timeLimit)
{
    auto answered = std::make_shared<std::promise<HttpResult>>();
    std::future<HttpResult> result = answered->get_future();
    m_http.send(callOf(entry, method, path, headers, body, timeLimit), [answered](HttpResult it) { answered->set_value(std::move(it)); });
    return result.get();
}

LoadReport Caller::load(const LoadPlan &plan)
{
    auto collector = std::make_shared<Collector>();
    const auto interval = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / plan.ratePerSecond));
    const auto deadlineMs = std::chrono::duration_cast<std::chrono::milliseconds>(plan.deadline).count();
    const std::vector<HttpHeader> headers{{std::string(headers::Deadline), std::to_string(deadlineMs)}};
    // The function holds itself only weakly, so that it goes away with the last open call.
    auto send = std::make_shared<std::function<void(std::size_t, unsigned)>>();
    *send = [this, collector, plan, headers, weak = std::weak_ptr(send)](std::size_t number, unsigned repeats) {
        const auto self = weak.lock();
        const Endpoint &entry = plan.entries[number % plan.entries.size()];
        const auto started = Clock::now();
        collector->sent();
        m_http.send(callOf(entry, plan.method, plan.path, headers, {}, plan.deadline + AnswerSlack), [=](const HttpResult &result) {
            const bool isWhole = result.response && result.response->status == StatusOk;
            if (!isWhole && repeats > 0 && self) {
                (*self)(number + 1, repeats - 1);
            }
            collector->ended(result, Clock::now() - started);
        });
    };
    const auto begin = Clock::now();
    auto next = begin;
    for (std::size_t number = 0; next < begin + plan.duration; ++number) {
        std::this_thread::sleep_until(next);
        (*send)(number, plan.repeats);
        next += interval;
    }
    return collector->wait();
}

} // namespace banyankeel::testing

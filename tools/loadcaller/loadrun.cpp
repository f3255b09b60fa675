#include "tools/loadcaller/loadrun.h"

#include "protocol/headernames.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <thread>

namespace banyankeel
{

namespace
{
using namespace std::chrono_literals;

// The node answers at the deadline; the client waits a little longer for that answer.
constexpr Duration AnswerMargin = 1s;
constexpr int FirstError = 300;

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

/// A body of the given length that differs for each request.
std::string bodyOf(std::uint64_t n, std::size_t length)
{
    std::string body = length == 0 ? std::string() : fmt::format("request {} ", n);
    body.resize(length, 'x');
    return body;
}
} // namespace

LoadRun::LoadRun(LoadSettings settings)
    : m_settings(std::move(settings))
    , m_client({.maxConnections = m_settings.concurrency})
{
}

LoadMetrics LoadRun::run()
{
    const TimePoint begin = now();
    for (std::uint64_t n = 0; n < m_settings.count; ++n) {
        const TimePoint due = dueTime(n, begin);
        if (due - begin > m_settings.time) {
            break;
        }
        std::this_thread::sleep_until(due);
        waitForPlace();
        const RequestPointer request = makeRequest(n, m_settings.rate > 0 ? due : now());
        m_report.sent();
        send(request);
    }
    waitForAll();
    return m_report.metrics(now() - begin);
}

TimePoint LoadRun::dueTime(std::uint64_t n, TimePoint begin) const
{
    if (m_settings.rate <= 0) {
        return now();
    }
    const std::chrono::duration<double> offset(static_cast<double>(n) / m_settings.rate);
    return begin + std::chrono::duration_cast<Duration>(offset);
}

void LoadRun::waitForPlace()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_underWay < m_settings.concurrency; });
    ++m_underWay;
}

void LoadRun::waitForAll()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_underWay == 0; });
}

LoadRun::RequestPointer LoadRun::makeRequest(std::uint64_t n, TimePoint due) const
{
    HttpRequest http{.method = m_settings.method, .target = m_settings.path, .headers = {}, .body = bodyOf(n, m_settings.bodyBytes)};
    if (!m_settings.key.empty()) {
        http.headers.push_back({std::string(headers::Authorization), "Bearer " + m_settings.key});
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.deadline).count();
    http.headers.push_back({std::string(headers::Deadline), std::to_string(milliseconds)});
    if (m_settings.repeatKeys != RepeatKeys::None) {
        const std::uint64_t number = m_settings.repeatKeys == RepeatKeys::Same ? 0 : n;
        http.headers.push_back({std::string(headers::IdempotencyKey), fmt::format("{}-{}", m_settings.repeatPrefix, number)});
    }
    const std::string hash = fmt::format("body_hash={:016x}", XXH3_64bits(http.body.data(), http.body.size()));
    const Endpoint &entry = m_settings.entries[n % m_settings.entries.size()];
    return std::make_shared<Request>(Request{std::move(http), entry, hash, due, m_settings.repeats});
}

void LoadRun::send(const RequestPointer &request)
{
    HttpCall call{.server = request->entry, .request = request->http, .timeLimit = m_settings.deadline + AnswerMargin};
    m_client.send(std::move(call), [this, request](const HttpResult &result) { answered(request, result); });
}

void LoadRun::answered(const RequestPointer &request, const HttpResult &result)
{
    const bool isWhole = result.response && result.response->status < FirstError;
    if (!isWhole && request->repeatsLeft > 0) {
        --request->repeatsLeft;
        m_report.repeated();
        send(request);
        return;
    }
    m_report.ended(result, now() - request->due, isOwnAnswer(*request, result));
    const std::lock_guard lock(m_mutex);
    --m_underWay;
    m_changed.notify_all();
}

bool LoadRun::isOwnAnswer(const Request &request, const HttpResult &result) const
{
    if (!m_settings.checksAnswers || !result.response) {
        return true;
    }
    // The first line is of the target that was called; those below are of targets that it called.
    const std::string &body = result.response->body;
    return body.substr(0, body.find('\n')).find(request.bodyHash) != std::string::npos;
}

} // namespace banyankeel

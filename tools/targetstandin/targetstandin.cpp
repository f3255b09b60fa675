#include "tools/targetstandin/targetstandin.h"

#include "protocol/headernames.h"
#include "tools/common/keyvalue.h"
#include "tools/common/urlquery.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace banyankeel
{

namespace
{
using namespace std::chrono_literals;

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503;
constexpr int ColdFactor = 5;
constexpr int CrashStatus = 70;
constexpr Duration LongestRequest = 10min;
constexpr Duration DrainPoll = 5ms;
constexpr Duration AnnouncementLimit = 2s;
constexpr std::size_t MaxDownstreamConnections = 630;

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now());
}

HttpResponse textResponse(int status, std::string body)
{
    return {.status = status, .headers = {{"Content-Type", "text/plain"}}, .body = std::move(body)};
}

HttpResponse notRun(std::string why)
{
    HttpResponse response = textResponse(StatusUnavailable, std::move(why));
    response.headers.push_back({std::string(headers::Verdict), "not-run"});
    return response;
}

TimePoint deadlineOf(const HttpRequest &request)
{
    const std::string_view text = findHeader(request.headers, headers::Deadline).value_or("");
    std::int64_t milliseconds = 0;
    const auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    const bool isUsable = ec == std::errc() && milliseconds > 0 && std::chrono::milliseconds(milliseconds) < LongestRequest;
    return now() + (isUsable ? Duration(std::chrono::milliseconds(milliseconds)) : LongestRequest);
}

/// Downstream calls keep the context token and the request's id; nothing else is carried over.
std::vector<HttpHeader> downstreamHeaders(const HttpRequest &request, Duration remaining)
{
    std::vector<HttpHeader> result;
    for (const std::string_view name : {headers::Context, headers::Request}) {
        if (const auto value = findHeader(request.headers, name)) {
            result.push_back({std::string(name), std::string(*value)});
        }
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    result.push_back({std::string(headers::Deadline), std::to_string(std::max<std::int64_t>(1, milliseconds))});
    return result;
}
} // namespace

TargetStandin::TargetStandin(StandinSettings settings)
    : m_settings(std::move(settings))
    , m_startedAt(now())
    , m_crashMark(m_settings.crashMark)
    , m_healthStatus(StatusOk)
    , m_pool(2)
    , m_server({.listen = m_settings.listen}, [this](HttpRequest request, const HttpResponder &respond) { handle(std::move(request), respond); })
    , m_client({.maxConnections = MaxDownstreamConnections})
{
}

TargetStandin::~TargetStandin()
{
    stop();
}

void TargetStandin::start()
{
    m_server.start();
}

bool TargetStandin::drain(Duration limit)
{
    announceDraining();
    const TimePoint end = now() + limit;
    TimePoint busyAt = now();
    std::uint64_t arrived = m_log.counts().arrived;
    while (now() - busyAt < QuietTime && now() < end) {
        std::this_thread::sleep_for(DrainPoll);
        const std::uint64_t nowArrived = m_log.counts().arrived;
        if (!isIdle() || nowArrived != arrived) {
            busyAt = now();
            arrived = nowArrived;
        }
    }
    return isIdle();
}

/// A node that does not hear it notices the end of this process by itself.
void TargetStandin::announceDraining()
{
    if (!m_settings.node) {
        return;
    }
    HttpRequest request{.method = "POST", .target = "/banyankeel/announce?state=draining", .headers = {}, .body = {}};
    m_client.send({.server = *m_settings.node, .request = std::move(request), .timeLimit = AnnouncementLimit}, [](const HttpResult &) {});
}

void TargetStandin::stop()
{
    m_server.stop();
    m_pool.stop();
}

bool TargetStandin::isIdle()
{
    const std::lock_guard lock(m_mutex);
    return m_running == 0 && m_waiting.empty();
}

void TargetStandin::handle(HttpRequest request, const HttpResponder &respond)
{
    if (request.target == "/health" || request.target.starts_with("/control/")) {
        respond(control(request));
        return;
    }
    offer(std::move(request), respond);
}

HttpResponse TargetStandin::control(const HttpRequest &request)
{
    const UrlQuery url(request.target);
    if (request.method == "POST") {
        return changeBehaviour(request);
    }
    if (url.path() == "/control/executions") {
        return textResponse(StatusOk, m_log.lines(url.value("request")));
    }
    if (url.path() == "/control/counts") {
        const ExecutionCounts counts = m_log.counts();
        KeyValueLine line;
        line.add("arrived", counts.arrived).add("began", counts.began).add("ended", counts.ended);
        return textResponse(StatusOk, line.text() + '\n');
    }
    if (url.path() == "/health" || url.path() == "/control/health") {
        return health();
    }
    return textResponse(StatusNotFound, "no such control\n");
}

HttpResponse TargetStandin::changeBehaviour(const HttpRequest &request)
{
    const UrlQuery url(request.target);
    if (url.path() == "/control/drain") {
        announceDraining();
        return textResponse(StatusOk, "announced\n");
    }
    const std::lock_guard lock(m_mutex);
    if (url.path() == "/control/slow" && url.number("ms")) {
        m_extraTime = std::chrono::milliseconds(*url.number("ms"));
    } else if (url.path() == "/control/health" && url.number("status")) {
        m_healthStatus = static_cast<int>(*url.number("status"));
    } else if (url.path() == "/control/crash" && url.value("mark")) {
        m_crashMark = *url.value("mark");
    } else {
        return textResponse(StatusNotFound, "no such control\n");
    }
    return textResponse(StatusOk, "done\n");
}

HttpResponse TargetStandin::health()
{
    const std::lock_guard lock(m_mutex);
    return textResponse(m_healthStatus, fmt::format("running={} waiting={}\n", m_running, m_waiting.size()));
}

void TargetStandin::offer(HttpRequest request, const HttpResponder &respond)
{
    const ExecutionNumber number = m_log.arrived(request, wallNow());
    const TimePoint deadline = deadlineOf(request);
    auto job = std::make_shared<Job>(Job{number, std::move(request), respond, deadline});
    bool isFull = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_running < m_settings.slots) {
            ++m_running;
        } else if (m_waiting.size() < m_settings.queue) {
            m_waiting.push_back(job);
            return;
        } else {
            isFull = true;
        }
    }
    if (isFull) {
        m_log.changed(number, ExecutionState::Refused);
        respond(notRun("queue full\n"));
        return;
    }
    begin(job);
}

void TargetStandin::begin(const JobPointer &job)
{
    m_log.changed(job->number, ExecutionState::Running);
    bool isCrash = false;
    {
        const std::lock_guard lock(m_mutex);
        const HttpRequest &request = job->request;
        isCrash = !m_crashMark.empty() && (request.target.find(m_crashMark) != std::string::npos || request.body.find(m_crashMark) != std::string::npos);
    }
    if (isCrash) {
        std::cout << KeyValueLine("crashing").add("path", job->request.target).text() << std::endl;
        std::_Exit(CrashStatus);
    }
    m_pool.postAt(now() + serviceTimeNow(), [this, job] { callNext(job, 0, ""); });
}

Duration TargetStandin::serviceTimeNow()
{
    const bool isCold = now() - m_startedAt < m_settings.coldStart;
    const std::lock_guard lock(m_mutex);
    return (isCold ? m_settings.serviceTime * ColdFactor : m_settings.serviceTime) + m_extraTime;
}

void TargetStandin::callNext(const JobPointer &job, std::size_t index, const std::string &bodies)
{
    const auto begin = m_settings.calls.begin() + static_cast<std::ptrdiff_t>(index);
    const auto it = std::find_if(begin, m_settings.calls.end(), [&](const auto &call) { return job->request.target.starts_with(call.pathPrefix); });
    if (it == m_settings.calls.end() || !m_settings.node) {
        end(job, answerOf(*job, bodies));
        return;
    }
    const Duration remaining = job->deadline - now();
    if (remaining <= Duration(0)) {
        end(job, textResponse(StatusBadGateway, "deadline passed before the downstream call\n"));
        return;
    }
    HttpRequest request{.method = it->method, .target = it->path, .headers = downstreamHeaders(job->request, remaining), .body = {}};
    const std::size_t next = static_cast<std::size_t>(it - m_settings.calls.begin()) + 1;
    HttpCall call{.server = *m_settings.node, .request = std::move(request), .timeLimit = remaining};
    m_client.send(std::move(call), [this, job, next, bodies](const HttpResult &result) {
        if (!result.response || result.response->status != StatusOk) {
            const std::string status = result.response ? std::to_string(result.response->status) : result.detail;
            end(job, textResponse(StatusBadGateway, fmt::format("downstream call failed: {}\n", status)));
            return;
        }
        callNext(job, next, bodies + result.response->body);
    });
}

HttpResponse TargetStandin::answerOf(const Job &job, const std::string &bodies) const
{
    KeyValueLine line;
    line.add("ran", m_settings.name);
    line.add("request", findHeader(job.request.headers, headers::Request).value_or("none"));
    line.add("path", job.request.target);
    line.add("body_bytes", std::uint64_t{job.request.body.size()});
    line.add("body_hash", fmt::format("{:016x}", XXH3_64bits(job.request.body.data(), job.request.body.size())));
    std::string body = line.text() + '\n' + bodies;
    if (body.size() < m_settings.answerBytes) {
        body.append(m_settings.answerBytes - body.size(), '.');
    }
    return textResponse(StatusOk, std::move(body));
}

void TargetStandin::end(const JobPointer &job, HttpResponse response)
{
    m_log.changed(job->number, ExecutionState::Ended);
    job->respond(std::move(response));
    startWaiting();
}

void TargetStandin::startWaiting()
{
    while (const JobPointer next = takeWaiting()) {
        if (next->deadline > now()) {
            begin(next);
            return;
        }
        m_log.changed(next->number, ExecutionState::Expired);
        next->respond(notRun("deadline passed while waiting\n"));
    }
}

/// The next job, which takes over the slot of the one that ended; null frees the slot.
TargetStandin::JobPointer TargetStandin::takeWaiting()
{
    const std::lock_guard lock(m_mutex);
    if (m_waiting.empty()) {
        --m_running;
        return nullptr;
    }
    JobPointer job = std::move(m_waiting.front());
    m_waiting.pop_front();
    return job;
}

} // namespace banyankeel

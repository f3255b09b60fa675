#pragma once

// Stands in for a target: has slots and a service time, calls other services through its own node, and remembers what it ran.
//
//   TargetStandin standin({.listen = Endpoint::parse("127.0.0.1:9000"), .slots = 25});
//   standin.start();

#include "protocol/httpmessage.h"
#include "tools/targetstandin/executionlog.h"
#include "tools/targetstandin/targetsettings.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/workerpool.h"

#include <deque>
#include <memory>
#include <mutex>

namespace banyankeel
{

/// Serves requests, and control requests under /control/:
///   GET /control/executions[?request=ID]   one line for each request that arrived, with every header
///   GET /control/counts                    arrived, began, ended, running
///   GET /control/health, GET /health       what the stand-in was told to say
///   POST /control/health?status=N          from now on health says so, whatever is true
///   POST /control/slow?ms=N                each request takes N ms longer
///   POST /control/crash?mark=TEXT          requests whose path or body contains TEXT end the process; empty for none
///   POST /control/drain                    tell the node that this target is leaving; it still runs what comes
class TargetStandin
{
public:
    static constexpr Duration QuietTime = std::chrono::seconds(1);

    explicit TargetStandin(StandinSettings settings);
    ~TargetStandin();
    TargetStandin(const TargetStandin &) = delete;
    TargetStandin &operator=(const TargetStandin &) = delete;

    /// Listens before it returns. @throws Error if the address can't be listened on.
    void start();
    /// Tells the node that this target is leaving, and waits until nothing has run or waited for QuietTime, but no longer than @p limit:
    /// nodes that have not heard of it yet still send requests. Returns whether none is left.
    bool drain(Duration limit);
    void stop();

    [[nodiscard]] const ExecutionLog &log() const
    {
        return m_log;
    }

private:
    struct Job {
        ExecutionNumber number;
        HttpRequest request;
        HttpResponder respond;
        TimePoint deadline;
    };
    using JobPointer = std::shared_ptr<Job>;

    void handle(HttpRequest request, const HttpResponder &respond);
    HttpResponse control(const HttpRequest &request);
    HttpResponse changeBehaviour(const HttpRequest &request);
    [[nodiscard]] HttpResponse health();
    void offer(HttpRequest request, const HttpResponder &respond);
    void begin(const JobPointer &job);
    void callNext(const JobPointer &job, std::size_t index, const std::string &bodies);
    void end(const JobPointer &job, HttpResponse response);
    void startWaiting();
    JobPointer takeWaiting();
    Duration serviceTimeNow();
    [[nodiscard]] HttpResponse answerOf(const Job &job, const std::string &bodies) const;
    void announceDraining();
    [[nodiscard]] bool isIdle();

    StandinSettings m_settings;
    TimePoint m_startedAt;
    ExecutionLog m_log;
    // Guards what follows; no other lock is taken under it but the log's.
    std::mutex m_mutex;
    std::deque<JobPointer> m_waiting;
    std::size_t m_running = 0;
    Duration m_extraTime{0};
    std::string m_crashMark;
    int m_healthStatus;
    WorkerPool m_pool;
    HttpServer m_server;
    // Last, so that the calls that it ends find the server and the pool.
    HttpClient m_client;
};

} // namespace banyankeel

#pragma once

// The target side of a node: admits requests to the target on its host and runs them there.
//
//   MeshTarget target(context, settings, headers, hooks, crashes);
//   target.serve(report);
//   target.handleRequest(sender, request, {.answer = ..., .bodyPart = ...});

#include "coordination/overload/admissioncontroller.h"
#include "edge/httpconnectionpool.h"
#include "mesh/calloutcome.h"
#include "mesh/pendingrequest.h"
#include "protocol/callmessages.h"
#include "protocol/headerdialect.h"
#include "state/endpoint.h"
#include "state/requestfingerprint.h"
#include "state/requestkind.h"
#include "state/targetreport.h"
#include "state/time.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace banyankeel
{

class CrashMonitor;

struct MeshTargetSettings {
    Endpoint target;
    /// The service of the target. Requests for another one are refused.
    ServiceName service;
    /// Maximum number of concurrent connections to the target.
    std::size_t connections;
};

/// All must be set.
struct MeshTargetHooks {
    std::function<TimePoint()> now;
    /// Called when an attempt ends at this node, for logs and metrics.
    std::function<void(const std::string &requestId, const CallAnswer &answer, Duration waited, Duration ran)> ended;
    /// What the target says about itself in a response.
    std::function<TargetNotice(const HttpResponse &response)> readNotice;
    /// Called with the notice of each response of @p boot that is certainly its own, before the response is passed on.
    std::function<void(const TargetBoot &boot, const TargetNotice &notice)> noticed;
    /// Called when a request starts and stops running on the target. @param hasResponse whether the target answered.
    std::function<void(RequestKind kind)> runBegan;
    std::function<void(RequestKind kind, Duration time, bool hasResponse)> runEnded;
};

/// Runs on the context's thread. Every request is answered exactly once unless it is cancelled.
class MeshTarget
{
public:
    /// Where the answer to a request goes. All must be set.
    struct Reply {
        std::function<void(CallAnswer answer)> answer;
        /// Called after an answer whose body follows.
        std::function<void(CallBodyPart part)> bodyPart;
    };

    /// @param crashes must outlive the target.
    MeshTarget(asio::io_context &context, MeshTargetSettings settings, HeaderDialect headers, MeshTargetHooks hooks, CrashMonitor &crashes);
    ~MeshTarget();
    MeshTarget(const MeshTarget &) = delete;
    MeshTarget &operator=(const MeshTarget &) = delete;

    /// Serves the boot of the target that sent @p report. If the boot changed, requests running on the previous one are ended.
    /// @param ratePerSecond limits how many requests start; absent for no limit.
    void serve(const TargetReport &report, std::optional<double> ratePerSecond);
    /// Changes the limit of the boot that is served.
    void setRateLimit(std::optional<double> ratePerSecond);
    /// Stops admitting requests: queued requests are refused, running ones continue.
    void stopServing();

    /// @param sender the node that waits for the answer.
    void handleRequest(const Endpoint &sender, CallRequest request, Reply reply);
    /// The sender no longer waits for the answer; none is sent.
    void handleCancel(const Endpoint &sender, AttemptId attempt);
    /// The sender has passed on @p credit.bytes of a body.
    void handleBodyCredit(const Endpoint &sender, const CallBodyCredit &credit);
    /// The connection to @p sender is lost; cancels its attempts because no answer can reach it.
    void handleSenderLost(const Endpoint &sender);
    /// Refuses requests that were queued for too long. Call at least every 50 ms while isBusy().
    void expireQueued();

    /// Ends all requests: those that wait are refused, running ones are cancelled.
    void endAll();
    /// Where requests that wait or run came from, with the arrival of the oldest of each sender.
    [[nodiscard]] std::map<Endpoint, TimePoint> oldestBySender() const;
    /// The requests that wait or run, oldest first, for logs.
    [[nodiscard]] std::vector<PendingRequest> pending() const;

    /// Sends a health check to the target. @param answered gets the response, if any.
    void probe(const std::string &path, std::function<void(const std::optional<HttpResponse> &response)> answered);
    /// Ends running requests and closes all connections to the target.
    void closeConnections()
    {
        m_pool.reset();
    }

    /// The request running on the target that made the call @p callId, or null if the id does not identify one.
    [[nodiscard]] const CallRequest *findByCallId(std::string_view callId) const;
    /// Maximum number of concurrent requests; zero while the target is not served.
    [[nodiscard]] std::uint32_t slots() const;
    /// The share of the running requests that are retries or were called by one.
    [[nodiscard]] double retryShare() const
    {
        return m_running == 0 ? 0 : m_runningRetryShares / static_cast<double>(m_running);
    }
    [[nodiscard]] bool isBusy() const
    {
        return !m_attempts.empty();
    }
    [[nodiscard]] std::size_t attemptCount() const
    {
        return m_attempts.size();
    }
    [[nodiscard]] const HttpConnectionPoolCounts &connectionCounts() const
    {
        return m_pool.counts();
    }

private:
    using Key = std::pair<Endpoint, AttemptId>;

    struct Attempt {
        Key key;
        CallRequest request;
        std::string requestId;
        Reply reply;
        TimePoint received;
        TimePoint deadline;
        TimePoint started{};
        PoolCallId call{};
        bool isRunning = false;
        RequestKind kind{};
        RequestFingerprint fingerprint;
        double retryShare = 0;
        /// Whether the answer was sent and parts of the body follow.
        bool isStreaming = false;
    };

    void apply(AdmissionActions &actions);
    void run(AttemptTicket ticket);
    /// Refuses a request that was admitted and is not to run.
    void abandon(AttemptTicket ticket, const Verdict &verdict);
    /// Tells the crash monitor how a request has ended that was running.
    void recordRunEnd(const Attempt &attempt, const CallOutcome &outcome);
    void handleResult(AttemptTicket ticket, HttpResult result);
    /// Sends the head of a response whose body follows in parts.
    void beginStream(AttemptTicket ticket, HttpResponse head, std::optional<std::uint64_t> length);
    void sendBodyPart(AttemptTicket ticket, std::string bytes);
    /// Classifies a response or its absence, and reports what the target says about itself in it.
    CallOutcome takeOutcome(HttpResult result);
    void removeAttempt(const Attempt &attempt);
    void refuse(Attempt &attempt, const Verdict &verdict);
    void beginRun(Attempt &attempt, TimePoint now);
    void endRun(const Attempt &attempt, TimePoint now, bool hasResponse);
    void sendAnswer(Attempt &attempt, const Verdict &verdict, std::optional<HttpResponse> response);
    void cancel(AttemptTicket ticket);
    /// Refuses queued requests whose time is over, early enough for the answer to arrive in time, and wakes up for the next one.
    void expireOverdue();
    void scheduleExpiry();
    /// Wakes up when the rate limit permits the next queued request.
    void scheduleNextStart();
    [[nodiscard]] std::optional<Verdict> refusalBeforeAdmission(const CallRequest &request, TimePoint now) const;
    [[nodiscard]] AdmissionHint hintFor(const CallRequest &request, TimePoint now) const;

    MeshTargetSettings m_settings;
    HeaderDialect m_headers;
    MeshTargetHooks m_hooks;
    CrashMonitor &m_crashes;
    HttpConnectionPool m_pool;
    std::unique_ptr<AdmissionController> m_admission;
    asio::steady_timer m_startTimer;
    std::optional<TimePoint> m_nextStartAt;
    /// When queued requests are given up, earliest first.
    std::set<std::pair<TimePoint, AttemptTicket>> m_queueExpiries;
    asio::steady_timer m_expiryTimer;
    std::optional<TimePoint> m_expiryTimerAt;
    std::optional<TargetBoot> m_boot;
    bool m_isServing = false;
    /// Requests are refused until then after a failed connection, because the target has crashed or is starting.
    TimePoint m_unreachableUntil{};
    std::uint64_t m_lastTicket = 0;
    std::size_t m_running = 0;
    double m_runningRetryShares = 0;
    std::unordered_map<AttemptTicket, Attempt> m_attempts;
    std::map<Key, AttemptTicket> m_byKey;
    /// Running attempts by request id.
    std::unordered_map<std::string, AttemptTicket> m_byRequestId;
};

} // namespace banyankeel

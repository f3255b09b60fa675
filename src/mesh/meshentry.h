#pragma once

// The entry side of a node: authenticates a caller's HTTP request, applies rate limits and admission, chooses targets, retries, and responds once.
//
//   MeshEntry entry(settings, headers, hooks, dependencies);
//   entry.handleRequest(request, respond);
//   entry.handleAnswer(answer);

#include "coordination/allowance/fleetratelimiter.h"
#include "coordination/demand/loadmeter.h"
#include "coordination/demand/rootadmission.h"
#include "coordination/retrybudget/serviceretrybudget.h"
#include "coordination/routing/responsesizes.h"
#include "coordination/routing/targetrouter.h"
#include "mesh/entryrequest.h"
#include "mesh/pendingrequest.h"
#include "mesh/retrydecision.h"
#include "mesh/trafficsplitter.h"
#include "protocol/callmessages.h"
#include "protocol/headerdialect.h"
#include "protocol/httpmessage.h"
#include "state/endpoint.h"
#include "state/meshconfiguration.h"
#include "state/requestfingerprint.h"
#include "state/time.h"
#include "transport/httpresponder.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace banyankeel
{

struct MeshEntrySettings {
    /// The service of the host's target; named as the caller in requests from this host.
    ServiceName service;
    Endpoint self;
    double retryRatio;
    double retrySlack;
    Duration retryWindow;
    /// Attempts are numbered from here on, so that an answer to an earlier process of this node is not taken for one of this process.
    std::uint64_t firstAttempt = 0;
};

/// How a request ended, for logs and metrics. Views are valid during the call only.
struct EntryOutcome {
    std::string_view requestId;
    /// Null if the request was refused before it was accepted for routing.
    const EntryRequest *request;
    const Verdict &verdict;
    int status;
    Duration age;
};

/// All must be set.
struct MeshEntryHooks {
    std::function<TimePoint()> now;
    /// Null until a configuration is known.
    std::function<MeshConfigurationPointer()> configuration;
    /// Returns false if the message can't be sent.
    std::function<bool(const Endpoint &to, Envelope message)> send;
    /// Runs a request on this host's target; its answer comes by handleAnswer() and handleBodyPart().
    std::function<void(CallRequest request)> runLocally;
    std::function<void(AttemptId attempt)> cancelLocally;
    /// Passes on a credit for a body that this host's target sends.
    std::function<void(const CallBodyCredit &credit)> creditLocally;
    /// Schedules a call of expireRequests() at that time or shortly after.
    std::function<void(TimePoint time)> scheduleExpiry;
    /// Number of nodes in the fleet, including this one.
    std::function<std::size_t()> nodeCount;
    /// Whether an earlier process of this node may have sent retries within the last retry window.
    std::function<bool()> mayHavePredecessor;
    std::function<void(const EntryOutcome &outcome)> ended;
    /// The share of the requests running on this host's target that are retries.
    std::function<double()> retryShare;
    /// The request on this host's target that made the call with this id, or null if it is not known. Valid during the call only.
    std::function<const CallRequest *(std::string_view callId)> findParentRequest;
    /// Whether the request has crashed targets and is not to reach another one.
    std::function<bool(const RequestFingerprint &fingerprint)> isQuarantined;
    /// How many targets such requests have crashed, as far as is known.
    std::function<std::uint16_t(const RequestFingerprint &fingerprint)> crashesOf;
};

/// Components that an entry uses; all must outlive it.
struct MeshEntryDependencies {
    TargetRouter &router;
    FleetRateLimiter &rateLimiter;
    LoadMeter &meter;
    RootAdmission &admission;
};

/// Not thread-safe. Every request gets exactly one response unless its caller disconnects.
class MeshEntry
{
public:
    MeshEntry(MeshEntrySettings settings, HeaderDialect headers, MeshEntryHooks hooks, MeshEntryDependencies dependencies);

    void handleRequest(HttpRequest request, const HttpResponder &respond);
    void handleAnswer(CallAnswer answer);
    void handleBodyPart(CallBodyPart part);
    /// The request of @p attempt has not left this node and will not.
    void handleUnsent(AttemptId attempt);
    /// What has come back for @p attempt can't be read. The attempt may have run.
    void handleMalformedAnswer(AttemptId attempt);
    /// Handles the loss of the connection to @p peer. @param mayHaveArrived whether requests sent there may have run.
    void handlePeerLost(const Endpoint &peer, bool mayHaveArrived);
    /// Ends requests whose deadline has passed.
    void expireRequests();
    /// The process exits at @p end. Requests that arrive after @p lastArrival are accepted only if their deadline is no later than @p end.
    void beginShutdown(TimePoint lastArrival, TimePoint end);
    /// From now on the outcome of an attempt is that of its request.
    void stopRetries()
    {
        m_retriesStopped = true;
    }
    /// Ends all requests under way.
    void endAll();
    /// The nodes that requests wait for, with the start of the oldest attempt at each.
    [[nodiscard]] std::map<NodeId, TimePoint> oldestAttempts() const;
    /// The requests under way, oldest first, for logs.
    [[nodiscard]] std::vector<PendingRequest> pending() const;

    /// Retries that this node may still send to @p service.
    [[nodiscard]] double retriesLeft(const ServiceName &service);

    [[nodiscard]] bool isBusy() const
    {
        return !m_requests.empty() || !m_bodies.empty();
    }
    [[nodiscard]] std::size_t requestCount() const
    {
        return m_requests.size();
    }

private:
    using RequestPointer = std::shared_ptr<EntryRequest>;
    struct Shutdown {
        TimePoint lastArrival;
        TimePoint end;
    };
    struct RetryBudgets {
        /// All retries, including calls made by executions that are themselves retries.
        ServiceRetryBudget all;
        /// Retries of requests that may have run.
        ServiceRetryBudget reexecution;
    };

    /// The sender of a request, or the reason for refusing it.
    struct Caller {
        const MeshOrganisation *organisation;
        bool isRoot;
        std::optional<Reason> refusal;
    };

    [[nodiscard]] Caller identifyCaller(const HttpRequest &request, const MeshRoute &route, const MeshConfiguration &configuration) const;
    [[nodiscard]] CallRequest
    buildCall(HttpRequest request, const MeshRoute &route, const Caller &caller, PriorityLevel rank, const std::string &requestId, Duration remaining);
    [[nodiscard]] std::optional<Duration> remainingTime(const HttpRequest &request, const MeshRoute &route) const;
    /// Chooses a target and sends it the request. Returns a verdict if no target is available.
    std::optional<Verdict> startAttempt(const RequestPointer &request);
    void sendAttempt(const RequestPointer &request, const TargetChoice &choice);
    /// Retries the request according to @p kind. Returns false if it can't be retried.
    bool retry(const RequestPointer &request, RetryKind kind);
    void attemptEnded(const RequestPointer &request, const Verdict &verdict, CallAnswer *answer);
    [[nodiscard]] RetryKind chooseRetry(EntryRequest &request, const Verdict &verdict, const CallAnswer *answer, TimePoint now);
    [[nodiscard]] bool takeFromRetryBudget(const EntryRequest &request, RetryKind kind, TimePoint now);
    /// Records a call made by this host's target, and copies root, priority and retry share from the request that made it.
    void recordInternalCall(EntryRequest &request, TimePoint now);
    /// Checks rate limit and root admission. Returns a verdict if the request is refused.
    [[nodiscard]] std::optional<Verdict>
    checkAdmission(const Caller &caller, const MeshRoute &route, const MeshConfiguration &configuration, const RequestId &root, TimePoint now);
    void finish(const RequestPointer &request, Verdict verdict, CallAnswer *answer);
    void refuse(const HttpResponder &respond, const std::string &requestId, const Verdict &verdict, TimePoint received);
    void handleCallerDisconnect(const RequestPointer &request);
    void cancelAttempt(const Endpoint &target, AttemptId attempt);
    /// Passes the head of a response on, whose body follows in parts.
    void beginBody(const RequestPointer &request, CallAnswer answer);
    void cancelBody(AttemptId attempt, Reason reason);
    void sendBodyCredit(AttemptId attempt, std::size_t bytes);
    /// Ends a response in parts. @param verdict of the request as a whole.
    void endBody(AttemptId attempt, const Verdict &verdict);
    RequestPointer removeAttempt(AttemptId attempt);
    void removeDeadline(TimePoint time, AttemptId attempt);
    RetryBudgets &budgetsFor(const ServiceName &service);
    /// The limits of a node's retries at present. @param share of the configured ratio that is used.
    [[nodiscard]] ServiceRetryBudgetSettings retryLimits(double share) const;

    MeshEntrySettings m_settings;
    HeaderDialect m_headers;
    MeshEntryHooks m_hooks;
    TargetRouter &m_router;
    FleetRateLimiter &m_rateLimiter;
    LoadMeter &m_meter;
    RootAdmission &m_admission;
    TrafficSplitter m_splitter;
    std::unordered_map<ServiceName, RetryBudgets> m_budgets;
    std::unordered_map<AttemptId, RequestPointer> m_requests;
    /// Requests whose response's body is being passed on in parts.
    std::unordered_map<AttemptId, RequestPointer> m_bodies;
    ResponseSizes m_responseSizes;
    std::multimap<TimePoint, AttemptId> m_deadlines;
    std::uint64_t m_lastAttempt;
    std::optional<Shutdown> m_shutdown;
    bool m_retriesStopped = false;
};

} // namespace banyankeel

#pragma once

// Handles calls at their entry node: takes an HTTP request with an API key, or a downstream call with a context token,
// through quota, target selection and attempts, and responds with exactly one verdict.

#include "coordination/overload/retrypolicy.h"
#include "coordination/quota/quotadecision.h"
#include "coordination/routing/targetrouter.h"
#include "node/calltable.h"
#include "node/contexttable.h"
#include "node/nodestatus.h"
#include "node/publishedview.h"
#include "protocol/callmessages.h"
#include "state/requestfingerprint.h"
#include "state/timelineevent.h"
#include "telemetry/metrics.h"
#include "transport/httpserver.h"
#include "transport/peernetwork.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace banyankeel
{

struct EntryCall;

/// Dependencies of EntryCallHandler. All may be called from any thread.
struct EntryCallHooks {
    /// Incarnation of this node; distinguishes its attempts from those of other nodes in the timeline.
    Incarnation self;
    std::function<TimePoint()> now;
    /// The active configuration, or null until the node is ready to serve.
    std::function<PublishedViewPointer()> published;
    /// Whether the configuration is too old to serve requests.
    std::function<bool()> isStale;
    std::function<QuotaDecision(const OrganisationId &)> takeQuota;
    std::function<void(const OrganisationId &)> returnQuota;
    std::function<SendResult(const Endpoint &, Envelope)> send;
    /// Runs a task at the given time; used to retry a call that is waiting for quota or for targets.
    std::function<void(TimePoint, std::function<void()>)> runAt;
    /// Subscribes to the targets of a service. Returns true if the subscription is so recent that no targets may be known yet.
    std::function<bool(const ServiceName &)> subscribe;
    std::function<bool(const RequestFingerprint &)> isQuarantined;
    TimelineRecorder record;
};

/// Thread-safe. Lock order: router, then call table. Neither lock is held while hooks run.
class EntryCallHandler
{
public:
    EntryCallHandler(EntryCallHooks hooks, ContextTable &contexts, Metrics &metrics, TargetRouter router, const RetryPolicy &retryPolicy);

    /// Handles a request from outside the fleet.
    void handleCallerRequest(HttpRequest request, const HttpResponder &respond);
    /// Handles a downstream call of this node's target.
    void handleDownstreamRequest(HttpRequest request, const HttpResponder &respond);

    void handleAnswer(const Peer &from, CallAnswer answer);
    /// Ends every attempt sent to @p peer as possibly run, since its answer is lost.
    void handlePeerLoss(const Endpoint &peer);
    /// Ends attempts whose deadline has passed. Call every few milliseconds while isBusy() returns true.
    void expireAttempts();

    void targetChanged(const TargetRecord &record);

    [[nodiscard]] bool isBusy() const
    {
        return m_calls.size() != 0;
    }
    /// Returns the targets known to this node.
    std::vector<TargetStatus> targets();

private:
    using CallPointer = CallTable::CallPointer;

    void
    processRequest(HttpRequest request, const HttpResponder &respond, const PublishedViewPointer &view, CallContext context, const std::string &parentToken);
    void start(const CallPointer &call);
    void takeQuota(const CallPointer &call, unsigned retries);
    void startAttempt(const CallPointer &call);
    bool scheduleTargetLookup(const CallPointer &call, const Verdict &verdict);
    RoutingDecision chooseTarget(const EntryCall &call);
    void sendAttempt(const CallPointer &call, const TargetChoice &choice);
    /// @param answer null if none was received.
    void handleAttemptEnd(const CallPointer &call, const Verdict &verdict, CallAnswer *answer);
    RetryDecision decideRetry(EntryCall &call, const Verdict &verdict, std::uint16_t spentBelow);
    void finish(const CallPointer &call, const Verdict &verdict, CallAnswer *answer);
    void refuse(const HttpResponder &respond, const Verdict &verdict, const std::optional<RequestId> &root);
    void countRequest(const Verdict &verdict);
    void cancelAttempt(const EntryCall &call);
    void handleClientDisconnect(AttemptId attempt);
    void recordEvent(TimelineKind kind, const EntryCall &call, std::string detail, std::uint64_t link = 0);

    EntryCallHooks m_hooks;
    ContextTable &m_contexts;
    Metrics &m_metrics;
    std::mutex m_routerMutex;
    TargetRouter m_router;
    RetryPolicy m_retryPolicy;
    std::map<NodeId, TargetRecord> m_records;
    CallTable m_calls;
    std::atomic<std::uint64_t> m_lastAttempt{0};
};

} // namespace banyankeel

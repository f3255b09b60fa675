#pragma once

// Handles calls at the target's node: admission, claim, the HTTP call to the local target and the answer to the entry node.

#include "coordination/claims/claimcoordinator.h"
#include "coordination/overload/admissioncontroller.h"
#include "coordination/overload/executionledger.h"
#include "node/answercache.h"
#include "node/contexttable.h"
#include "node/nodesettings.h"
#include "node/publishedview.h"
#include "node/quarantinecoordinator.h"
#include "protocol/callmessages.h"
#include "state/timelineevent.h"
#include "transport/httpclient.h"

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace banyankeel
{

/// Dependencies of TargetCallHandler. All may be called from any thread.
struct TargetCallHooks {
    std::function<TimePoint()> now;
    std::function<PublishedViewPointer()> published;
    std::function<void(const Endpoint &, Envelope)> send;
    /// Requests a claim; the result must be passed to handleClaimResult() exactly once.
    std::function<void(ClaimTicket, const RequestId &)> claim;
    /// Called when the target is unreachable or a connection to it broke during a request.
    std::function<void()> targetLost;
    TimelineRecorder record;
};

/// Thread-safe. Hooks and answers are called without its lock held.
class TargetCallHandler
{
public:
    TargetCallHandler(TargetCallHooks hooks,
                      const TargetSettings &target,
                      Incarnation incarnation,
                      HttpClient &http,
                      ContextTable &contexts,
                      QuarantineCoordinator &quarantine);

    void handleRequest(const Peer &from, CallRequest request);
    void handleCancel(const Peer &from, const CallCancel &cancel);
    void handleClaimResult(ClaimTicket claim, ClaimResult result);
    /// Refuses queued requests whose time is up. Call every few milliseconds while isBusy() returns true.
    void expireQueued();
    /// Refuses new requests as not run; requests in flight are completed.
    void startDraining();
    [[nodiscard]] bool isBusy() const;
    [[nodiscard]] AdmissionHint hint() const;
    /// Returns the requests currently running at the target.
    [[nodiscard]] std::vector<RequestFingerprint> runningRequests() const;
    /// Restarts admission control after the target was unavailable, since it has restarted cold.
    void handleTargetReturn();

private:
    /// An attempt that is queued or running at this node.
    struct Attempt {
        Peer from;
        CallRequest request;
        TimePoint received;
        TimePoint deadline;
        std::string token;
        std::optional<HttpCallId> http;
        TimePoint started;
        RequestFingerprint fingerprint;
        bool isCancelled = false;
    };
    using AttemptPointer = std::shared_ptr<Attempt>;
    using SenderAttempt = std::pair<NodeId, AttemptId>;
    struct SenderAttemptHash {
        std::size_t operator()(const SenderAttempt &it) const noexcept
        {
            return std::hash<NodeId>{}(it.first) ^ (std::hash<std::uint64_t>{}(static_cast<std::uint64_t>(it.second)) * 31);
        }
    };

    std::optional<Verdict> validate(const CallRequest &request, const PublishedView *view);
    void execute(const AdmissionActions &actions);
    void run(AttemptTicket ticket);
    void callTarget(AttemptTicket ticket, const AttemptPointer &attempt);
    void handleTargetResponse(AttemptTicket ticket, const HttpResult &result);
    void complete(AttemptTicket ticket, const Completion &completion);
    bool beginExecution(const Attempt &attempt);
    /// Ends an admitted attempt without sending it to the target.
    void abandon(AttemptTicket ticket, const Verdict &verdict);
    void sendAnswer(const Attempt &attempt, const Verdict &verdict, std::optional<HttpResponse> response, const DownstreamUsage &usage = {});
    AttemptPointer find(AttemptTicket ticket);
    AttemptPointer remove(AttemptTicket ticket);
    void reportOutcome(const Attempt &attempt, CompletionKind kind, const Verdict &verdict);
    void recordEvent(TimelineKind kind, const Attempt &attempt, std::string detail, std::uint64_t link = 0);

    TargetCallHooks m_hooks;
    const TargetSettings m_target;
    const Incarnation m_incarnation;
    HttpClient &m_http;
    ContextTable &m_contexts;
    QuarantineCoordinator &m_quarantine;
    AnswerCache m_answerCache;

    mutable std::mutex m_mutex;
    AdmissionController m_admission;
    ExecutionLedger m_executions;
    std::unordered_map<AttemptTicket, AttemptPointer> m_attempts;
    std::unordered_map<SenderAttempt, AttemptTicket, SenderAttemptHash> m_tickets;
    std::uint64_t m_lastTicket = 0;
    bool m_isDraining = false;
};

} // namespace banyankeel

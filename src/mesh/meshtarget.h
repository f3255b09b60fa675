#pragma once

// The target's side of a node: decides which requests run at the target beside it, and runs them.
//
//   MeshTarget target(context, settings, headers, hooks);
//   target.serve(report);
//   target.requested(sender, request, [](CallAnswer answer) { ... });

#include "coordination/overload/admissioncontroller.h"
#include "edge/httpconnectionpool.h"
#include "protocol/callmessages.h"
#include "protocol/headerdialect.h"
#include "state/endpoint.h"
#include "state/requestkind.h"
#include "state/targetreport.h"
#include "state/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace banyankeel
{

struct MeshTargetSettings {
    Endpoint target;
    /// Connections to the target at once.
    std::size_t connections;
};

/// All must be set.
struct MeshTargetHooks {
    std::function<TimePoint()> now;
    /// One attempt ended at this node, for logs and metrics.
    std::function<void(const std::string &requestId, const CallAnswer &answer, Duration waited, Duration ran)> ended;
    /// A request begins to run at the target, and ends there. @param isWhole whether the target answered.
    std::function<void(RequestKind kind)> runBegan;
    std::function<void(RequestKind kind, Duration time, bool isWhole)> runEnded;
};

/// Runs on the context's thread. Every request is answered exactly once unless it is cancelled.
class MeshTarget
{
public:
    using Reply = std::function<void(CallAnswer)>;

    MeshTarget(asio::io_context &context, MeshTargetSettings settings, HeaderDialect headers, MeshTargetHooks hooks);
    ~MeshTarget();
    MeshTarget(const MeshTarget &) = delete;
    MeshTarget &operator=(const MeshTarget &) = delete;

    /// Requests may run at the boot that @p report comes from. A boot other than before ends what ran at the old one.
    void serve(const TargetReport &report);
    /// The target takes no further requests: what waits is refused, what runs goes on.
    void stopServing();

    /// @param sender the node that waits for the answer.
    void requested(const Endpoint &sender, CallRequest request, Reply reply);
    /// Nobody waits for the answer any more; it does not come.
    void cancelled(const Endpoint &sender, AttemptId attempt);
    /// The connection to @p sender is lost, so that no answer can reach it.
    void senderLost(const Endpoint &sender);
    /// Refuses what waited for too long. Due every 50 ms or oftener while isBusy().
    void sweep();

    /// Asks the target how it is. @param answered gets the response, or none.
    void probe(const std::string &path, std::function<void(const std::optional<HttpResponse> &response)> answered);
    /// Ends what runs and closes all connections to the target.
    void closeConnections()
    {
        m_pool.reset();
    }

    /// The request that runs at the target and made the call @p callId, or null where the id does not tell.
    [[nodiscard]] const CallRequest *callerOf(std::string_view callId) const;
    /// What may run at once; zero while the target takes no requests.
    [[nodiscard]] std::uint32_t slots() const;
    /// The part of what runs that is a repeat, or was made by one.
    [[nodiscard]] double repeatPart() const
    {
        return m_running == 0 ? 0 : m_runningRepeats / static_cast<double>(m_running);
    }
    [[nodiscard]] bool isBusy() const
    {
        return !m_attempts.empty();
    }
    [[nodiscard]] std::size_t attempts() const
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
        double repeatPart = 0;
    };

    void apply(AdmissionActions &actions);
    void run(AttemptTicket ticket);
    void finished(AttemptTicket ticket, HttpResult result);
    void refuse(Attempt &attempt, const Verdict &verdict);
    void beginRun(Attempt &attempt, TimePoint now);
    void endRun(const Attempt &attempt, TimePoint now, bool isWhole);
    void answer(Attempt &attempt, const Verdict &verdict, std::optional<HttpResponse> response);
    void cancel(AttemptTicket ticket);
    [[nodiscard]] std::optional<Verdict> refusalBeforeAdmission(TimePoint now) const;
    [[nodiscard]] AdmissionHint hintFor(const CallRequest &request, TimePoint now) const;

    MeshTargetSettings m_settings;
    HeaderDialect m_headers;
    MeshTargetHooks m_hooks;
    HttpConnectionPool m_pool;
    std::unique_ptr<AdmissionController> m_admission;
    std::optional<TargetBoot> m_boot;
    bool m_isServing = false;
    /// After a failed connection, requests are refused for a moment: the target has crashed or is starting.
    TimePoint m_unreachableUntil{};
    std::uint64_t m_lastTicket = 0;
    std::size_t m_running = 0;
    double m_runningRepeats = 0;
    std::unordered_map<AttemptTicket, Attempt> m_attempts;
    std::map<Key, AttemptTicket> m_byKey;
    /// Of what runs.
    std::unordered_map<std::string, AttemptTicket> m_byRequestId;
};

} // namespace banyankeel

#pragma once

// The entry side of a node: from a caller's HTTP request over key, allowance, choice of target and attempts to one response.
//
//   MeshEntry entry(settings, headers, hooks, router, now);
//   entry.received(request, respond);
//   entry.answered(answer);

#include "coordination/allowance/fleetallowances.h"
#include "coordination/demand/loadmeter.h"
#include "coordination/demand/rootadmission.h"
#include "coordination/retrybudget/serviceretrybudget.h"
#include "coordination/routing/targetrouter.h"
#include "mesh/entryrequest.h"
#include "mesh/repeatpolicy.h"
#include "mesh/splitchoice.h"
#include "protocol/callmessages.h"
#include "protocol/headerdialect.h"
#include "protocol/httpmessage.h"
#include "state/endpoint.h"
#include "state/meshconfiguration.h"
#include "state/time.h"
#include "transport/httpresponder.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace banyankeel
{

struct MeshEntrySettings {
    /// The service of the host's target; callers on this host speak for it.
    ServiceName service;
    Endpoint self;
    double retryRatio;
    double retrySlack;
    Duration retryWindow;
};

/// How a request ended, for logs and metrics. Views live during the call only.
struct EntryOutcome {
    std::string_view requestId;
    /// Null where the request was refused before its route was known.
    const EntryRequest *request;
    const Verdict &verdict;
    int status;
    Duration age;
};

/// All must be set.
struct MeshEntryHooks {
    std::function<TimePoint()> now;
    /// Null while none is known.
    std::function<MeshConfigurationPointer()> configuration;
    /// False if the message can't leave this node.
    std::function<bool(const Endpoint &to, Envelope message)> send;
    /// Runs a request at this host's target.
    std::function<void(CallRequest request, std::function<void(CallAnswer)> reply)> runHere;
    std::function<void(AttemptId attempt)> cancelHere;
    /// Calls sweep() at that time or a little later.
    std::function<void(TimePoint time)> wakeAt;
    /// Nodes of the fleet, this one included.
    std::function<std::size_t()> nodes;
    std::function<void(const EntryOutcome &outcome)> ended;
    /// The part of what runs at this host's target that is a repeat.
    std::function<double()> repeatPart;
    /// The request at this host's target that made the call of this id, or null where it is not known. Valid during the call only.
    std::function<const CallRequest *(std::string_view callId)> callerOf;
};

/// What decides for an entry; all live longer than it.
struct MeshEntryDecisions {
    TargetRouter &router;
    FleetAllowances &allowances;
    LoadMeter &meter;
    RootAdmission &admission;
};

/// Not thread-safe. Every request is answered exactly once unless its caller leaves.
class MeshEntry
{
public:
    MeshEntry(MeshEntrySettings settings, HeaderDialect headers, MeshEntryHooks hooks, MeshEntryDecisions decisions);

    void received(HttpRequest request, const HttpResponder &respond);
    void answered(CallAnswer answer);
    /// The connection to @p peer ended. @param mayHaveArrived whether requests sent there may have run.
    void peerLost(const Endpoint &peer, bool mayHaveArrived);
    /// Ends requests whose time is over.
    void sweep();
    /// The process ends at @p end. Requests that come after @p lastArrival are taken only if their time is over before.
    void stopAt(TimePoint lastArrival, TimePoint end);

    /// Repeats that this node may still make to @p service.
    [[nodiscard]] double repeatsLeft(const ServiceName &service);

    [[nodiscard]] bool isBusy() const
    {
        return !m_requests.empty();
    }
    [[nodiscard]] std::size_t requests() const
    {
        return m_requests.size();
    }

private:
    using RequestPointer = std::shared_ptr<EntryRequest>;
    struct Stop {
        TimePoint lastArrival;
        TimePoint end;
    };
    struct Budgets {
        /// All repeats, those included that runs above have brought with them.
        ServiceRetryBudget all;
        ServiceRetryBudget rerun;
    };

    /// Who sent a request, or why it is refused.
    struct Caller {
        const MeshOrganisation *organisation;
        bool isRoot;
        std::optional<Reason> refusal;
    };

    [[nodiscard]] Caller callerOf(const HttpRequest &request, const MeshRoute &route, const MeshConfiguration &configuration) const;
    [[nodiscard]] CallRequest callOf(HttpRequest request, const MeshRoute &route, const Caller &caller, const std::string &requestId, Duration remaining);
    [[nodiscard]] std::optional<Duration> remainingOf(const HttpRequest &request, const MeshRoute &route) const;
    /// Sends the request to a target. Returns why none can be asked.
    std::optional<Verdict> attempt(const RequestPointer &request);
    void send(const RequestPointer &request, const TargetChoice &choice);
    /// Repeats the request as @p kind says. False if it can't be.
    bool repeat(const RequestPointer &request, RepeatKind kind);
    void attemptEnded(const RequestPointer &request, const Verdict &verdict, CallAnswer *answer);
    [[nodiscard]] RepeatKind repeatKindOf(EntryRequest &request, const Verdict &verdict, const CallAnswer *answer, TimePoint now);
    [[nodiscard]] bool takeRepeat(const EntryRequest &request, RepeatKind kind, TimePoint now);
    /// Counts a call of this host's target, and takes over what is known of the request that made it.
    void noteCall(EntryRequest &request, TimePoint now);
    /// What is refused before any target is asked; absent if nothing speaks against it.
    [[nodiscard]] std::optional<Verdict> refusalOfCaller(const Caller &caller, const MeshRoute &route, const RequestId &root, TimePoint now);
    void finish(const RequestPointer &request, Verdict verdict, CallAnswer *answer);
    void refuse(const HttpResponder &respond, const std::string &requestId, const Verdict &verdict, TimePoint received);
    void callerLeft(const RequestPointer &request);
    void cancelAttempt(const EntryRequest &request);
    RequestPointer take(AttemptId attempt);
    Budgets &budgetsOf(const ServiceName &service);

    MeshEntrySettings m_settings;
    HeaderDialect m_headers;
    MeshEntryHooks m_hooks;
    TargetRouter &m_router;
    FleetAllowances &m_allowances;
    LoadMeter &m_meter;
    RootAdmission &m_admission;
    SplitChoice m_splits;
    std::unordered_map<ServiceName, Budgets> m_budgets;
    std::unordered_map<AttemptId, RequestPointer> m_requests;
    std::multimap<TimePoint, AttemptId> m_deadlines;
    std::uint64_t m_lastAttempt = 0;
    std::optional<Stop> m_stop;
};

} // namespace banyankeel

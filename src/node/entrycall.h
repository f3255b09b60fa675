#pragma once

// State of one request at its entry node, across all its attempts.

#include "coordination/routing/targetrouter.h"
#include "node/publishedview.h"
#include "protocol/callmessages.h"
#include "transport/httpserver.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyankeel
{

/// Accessed by one thread at a time: the one that took the current attempt out of the CallTable.
struct EntryCall {
    HttpResponder respond;
    /// Keeps the object that `route` points to alive.
    PublishedViewPointer view;
    const RouteEntry *route;
    CallRequest request;
    TimePoint received;
    TimePoint deadline;
    /// True for a request from an external caller, false for a downstream call of a target, which is not charged against the quota.
    bool isCharged;
    /// Context token of the parent request; empty unless this is a downstream call.
    std::string parentToken;
    /// Target of the current attempt.
    std::optional<TargetChoice> choice;
    std::vector<NodeId> triedNodes;
    TimePoint attemptStarted{};
    /// Retries reserved from the parent request's budget for this downstream call.
    std::uint16_t reservedRetries = 0;
    /// Retries left for this hop, and retries passed to the services below with the current attempt.
    std::uint16_t retryBudget = 0;
    std::uint16_t grantedRetries = 0;
    std::uint16_t overloadRefusals = 0;
    std::uint16_t moveRefusals = 0;
    /// Number of targets whose connection broke while they ran the request. Limited, since a request that crashed one may crash the next.
    std::uint16_t lostTargets = 0;
    /// The current attempt, shared with the callback that cancels it when the client disconnects.
    std::shared_ptr<std::atomic<std::uint64_t>> currentAttempt = std::make_shared<std::atomic<std::uint64_t>>(0);
    bool isClientDisconnected = false;
    /// Verdict of the last attempt.
    std::optional<Verdict> lastVerdict = std::nullopt;
    /// Whether the directory may not have reported the service's targets to this node yet.
    bool mayDiscoverTargets = false;
    /// Retries by this hop that may have caused executions, plus the retries reported by the services below.
    std::uint16_t retriesSpent = 0;
    /// Most recent load hint, from a target's answer or from the router.
    std::optional<AdmissionHint> hint = std::nullopt;
    /// Whether any attempt may have run.
    bool mayHaveRun = false;
};

} // namespace banyankeel

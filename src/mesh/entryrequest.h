#pragma once

// The state of one request at its entry node, across all of its attempts.

#include "coordination/routing/routingrequest.h"
#include "protocol/callmessages.h"
#include "state/meshconfiguration.h"
#include "state/time.h"
#include "transport/httpresponder.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyankeel
{

struct EntryRequest {
    HttpResponder respond;
    /// Owns the object that route points to.
    MeshConfigurationPointer configuration;
    const MeshRoute *route;
    std::string requestId;
    /// The message for the current attempt.
    CallRequest call;
    /// True for a request from outside the fleet, with an API key; false for a call made by the host's target.
    bool isRoot;
    TimePoint received;
    TimePoint deadline;
    std::optional<TargetChoice> choice = std::nullopt;
    std::vector<NodeId> triedNodes = {};
    TimePoint attemptStarted{};
    std::uint16_t arrivals = 0;
    std::uint16_t nodeRefusals = 0;
    std::uint16_t overloadRefusals = 0;
    std::uint16_t targetRejections = 0;
    /// The probability, from 0 to 1, that the execution that made this call was a retry.
    double inheritedRetryShare = 0;
    /// At least one attempt may have run.
    bool mayHaveRun = false;
    /// The caller has disconnected or has received its response, or the head of it.
    bool isFinished = false;
    /// Set while parts of the response's body are passed on.
    std::optional<ResponseBody> body = std::nullopt;
    int status = 0;
    std::uint64_t bodyBytes = 0;
};

} // namespace banyankeel

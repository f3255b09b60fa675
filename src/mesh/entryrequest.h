#pragma once

// One request on its way at its entry node, over all its attempts.

#include "coordination/routing/routingquestion.h"
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
    /// Keeps the route alive.
    MeshConfigurationPointer configuration;
    const MeshRoute *route;
    std::string requestId;
    /// With the message for the attempt under way.
    CallRequest call;
    /// Came from outside the fleet, with a key; false for a call of the host's target.
    bool isRoot;
    TimePoint received;
    TimePoint deadline;
    std::optional<TargetChoice> choice = std::nullopt;
    std::vector<NodeId> tried = {};
    TimePoint attemptStarted{};
    std::uint16_t arrivals = 0;
    std::uint16_t refusals = 0;
    std::uint16_t overloads = 0;
    std::uint16_t rejections = 0;
    /// How likely the run that made this call was a repeat, as a part of one.
    double inheritedRepeat = 0;
    /// Some attempt may have run.
    bool mayHaveRun = false;
    /// The caller has left, or was answered.
    bool isOver = false;
};

} // namespace banyankeel

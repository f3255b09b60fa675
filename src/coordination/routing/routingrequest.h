#pragma once

// Input and output types of TargetRouter.

#include "protocol/callmessages.h"
#include "state/callcontext.h"
#include "state/identifier.h"
#include "state/peer.h"
#include "state/requestid.h"
#include "state/time.h"
#include "state/verdict.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace banyankeel
{

/// How a router selects among the targets of a service.
enum class Placement : std::uint8_t {
    /// Uses a farther target only when the nearer ones are full; bytes to other regions have a budget.
    NearestFirst,
    /// Uses the nearest target unless a farther one is expected to answer in at most half the time.
    ShortestTime,
};

struct RoutingSettings {
    NodeId ownNode;
    Place place;
    /// Maximum number of targets of one service at one distance that the node distributes its requests over.
    std::size_t subsetSize = 16;
    /// Maximum fraction of a service's targets that may be ejected at the same time.
    double maxEjectedFraction = 0.5;
    /// This node's share of the bandwidth of the link to other regions.
    std::uint64_t interRegionBytesPerSecond = 200'000;
    /// Capacity of the admission hint table.
    std::size_t hintEntries = 16'384;
    Placement placement = Placement::NearestFirst;
};

struct RoutingRequest {
    ServiceName service;
    PriorityLevel priority;
    RequestId root;
    OrganisationId organisation;
    /// Size of the request.
    std::size_t bytes;
    /// Set if the caller may repeat the root request: only the highest-ranked targets for the root may run it.
    bool restrictToRootCandidates = false;
    /// Execution limit of the service, which determines the number of candidate targets.
    std::uint16_t maxExecutions = 3;
    /// Targets that were already tried.
    std::vector<NodeId> exclude = {};
    /// Returns a target even if the hints say that all would refuse, for requests that must be tried.
    bool ignoreHints = false;
};

/// The target selected for one attempt. Immutable.
struct TargetChoice {
    Peer peer;
    /// The router's slot of the target, and a serial number that identifies the incarnation in the slot.
    std::uint32_t slot;
    std::uint32_t serial;
    bool isInterRegion;
    /// Hash of the organisation and priority of the request.
    std::uint64_t flow;

    friend auto operator<=>(const TargetChoice &, const TargetChoice &) = default;
};

struct RoutingDecision {
    std::optional<TargetChoice> choice;
    /// A refusal if there is no choice, otherwise ran().
    Verdict verdict;
    /// Set on refusal: the hint that the caller's node reports upstream, as if a target had returned it.
    std::optional<AdmissionHint> hint = std::nullopt;
};

/// The result of an attempt as seen by its sender.
struct AttemptOutcome {
    Verdict verdict;
    Duration latency;
    /// Size of the response.
    std::size_t bytes = 0;
    /// Set if the target itself returned an error, such as status 500.
    bool isTargetError = false;

    friend auto operator<=>(const AttemptOutcome &, const AttemptOutcome &) = default;
};

} // namespace banyankeel

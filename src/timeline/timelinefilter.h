#pragma once

// Selects the events of a merged timeline that match given conditions.
//
//   TimelineFilter filter{.organisation = OrganisationId("lufthafen")};
//   MergedTimeline matching = filter.apply(merged);

#include "state/identifier.h"
#include "state/requestid.h"
#include "state/time.h"
#include "timeline/mergedtimeline.h"

#include <optional>

namespace banyankeel
{

/// An event must meet all conditions that are set. Immutable once built.
struct TimelineFilter {
    std::optional<RequestId> root;
    /// Selects the events whose detail names this organisation, and all events that share a root request with one of them.
    std::optional<OrganisationId> organisation;
    /// Likewise for a service.
    std::optional<ServiceName> service;
    std::optional<NodeId> node;
    /// Start of the time range, inclusive.
    std::optional<WallTime> from;
    /// End of the time range, exclusive.
    std::optional<WallTime> until;

    /// Returns the events that meet the conditions. Drops processes without such events and references to causes that were filtered out.
    [[nodiscard]] MergedTimeline apply(const MergedTimeline &timeline) const;
};

} // namespace banyankeel

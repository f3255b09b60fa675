#pragma once

// What a node knows about another node: its name, incarnation, location and address.

#include "state/endpoint.h"
#include "state/identifier.h"

#include <compare>
#include <cstdint>

namespace banyankeel
{

/// Identifies one start of a node. A higher incarnation of the same node replaces a lower one.
/// Nodes use their wall-clock start time in microseconds, which needs no counter in the store.
enum class Incarnation : std::uint64_t {};

/// A region and one of its failure domains.
struct Place {
    RegionName region;
    FailureDomainName failureDomain;

    friend auto operator<=>(const Place &, const Place &) = default;
};

/// A node as seen by its peers. Not modified after construction.
struct Peer {
    NodeId node;
    Incarnation incarnation;
    Place place;
    /// The endpoint on which the node listens for its peers.
    Endpoint endpoint;

    friend auto operator<=>(const Peer &, const Peer &) = default;
};

} // namespace banyankeel

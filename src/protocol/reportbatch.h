#pragma once

// Reports of many nodes that a relay passes on to its subscribers in one message.
//
//   const Envelope message = ReportBatch{.entries = entries, .loads = loads}.encode();

#include "protocol/envelope.h"
#include "protocol/loadreport.h"
#include "state/identifier.h"
#include "state/meshconfiguration.h"
#include "state/peer.h"
#include "state/time.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace banyankeel
{

/// A report as its sender encoded it, without its load.
struct RelayedReport {
    NodeId node;
    Incarnation incarnation;
    /// Present if the report is complete, for receivers that do not know the node or this incarnation of it.
    std::optional<Peer> peer;
    /// Time since the relay received the report, to the millisecond.
    Duration age;
    /// The payload of a NodeReport.
    std::string report;

    friend auto operator<=>(const RelayedReport &, const RelayedReport &) = default;
};

/// The combined load of the nodes of a region whose targets belong to one service.
struct RegionLoad {
    RegionName region;
    LoadReport load;

    friend auto operator<=>(const RegionLoad &, const RegionLoad &) = default;
};

/// Also shows that the relay is alive, and is therefore sent without entries as well.
struct ReportBatch {
    std::vector<RelayedReport> entries;
    std::vector<RegionLoad> loads;
    /// Receivers that relay it pass it on at once.
    bool isUrgent = false;
    /// The relay's configuration, and how long ago that was known to be the newest of the store, to the millisecond; absent if it has none.
    ConfigurationVersion configuration{};
    std::optional<Duration> configurationAge = std::nullopt;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError, IdentifierError, ValueError on malformed payloads.
    static ReportBatch decode(const Envelope &envelope);

    friend auto operator<=>(const ReportBatch &, const ReportBatch &) = default;
};

} // namespace banyankeel

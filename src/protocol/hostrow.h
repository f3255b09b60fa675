#pragma once

// Row in which a node registers itself in the platform's store. Peers discover the node by it, and the node's next process restores from it the
// target departures that this process has accepted. Every process restores the requests that were found to crash targets.
//
//   store.send(WriteRows{{{row.key(), RowAction::Put, std::nullopt, row.encode()}}}, ...);

#include "protocol/nodereport.h"
#include "protocol/storemessages.h"
#include "state/peer.h"
#include "state/requestfingerprint.h"
#include "state/targetreport.h"
#include "state/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyankeel
{

/// The boot of a target that a node last heard from. After a restart the node asks the target whether it is still running the same boot.
struct StoredTarget {
    TargetBoot boot;
    std::uint32_t slots;
    /// The limit that the target has named; absent for no limit.
    std::optional<double> ratePerSecond = std::nullopt;

    friend auto operator<=>(const StoredTarget &, const StoredTarget &) = default;
};

/// A request that is refused because it has crashed targets.
struct StoredQuarantine {
    RequestFingerprint fingerprint;
    WallTime until;

    friend auto operator<=>(const StoredQuarantine &, const StoredQuarantine &) = default;
};

/// A row of the table of hosts, one for each host.
struct HostRow {
    /// The process that wrote the row.
    Peer peer;
    std::optional<StoredTarget> target;
    /// Departures of the host's target, newest last.
    std::vector<TargetDeparture> departures;
    /// Requests that the node has found to crash targets. Stored as far as they fit into a row.
    std::vector<StoredQuarantine> quarantines = {};

    [[nodiscard]] std::string encode() const;
    /// @throws ProtocolError, IdentifierError, ValueError on malformed values.
    static HostRow decode(const std::string &value);
    [[nodiscard]] RowKey key() const;
    /// The key of the row of @p node.
    static RowKey keyOf(const NodeId &node);

    static std::string_view table();

    friend auto operator<=>(const HostRow &, const HostRow &) = default;
};

} // namespace banyankeel

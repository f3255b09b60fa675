#pragma once

// Report that nodes exchange about once a second: their configuration version, their target and the usage of organisations.

#include "protocol/envelope.h"
#include "protocol/loadreport.h"
#include "protocol/quarantinemessages.h"
#include "protocol/storemessages.h"
#include "state/identifier.h"
#include "state/meshconfiguration.h"
#include "state/targetrecord.h"
#include "state/targetreport.h"
#include "state/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace banyankeel
{

/// Requests of an organisation admitted by one node.
struct OrganisationUsage {
    OrganisationId organisation;
    /// Number since the start of the node.
    std::int64_t taken;
    /// Recent rate.
    double ratePerSecond;

    friend auto operator<=>(const OrganisationUsage &, const OrganisationUsage &) = default;
};

/// A target that has announced its departure. It receives no further requests, also after the node's process has been replaced.
struct TargetDeparture {
    std::string name;
    /// Applies to boots that started no later than this. WallTime::max() if the target does not report its start time.
    WallTime startedUntil;

    friend auto operator<=>(const TargetDeparture &, const TargetDeparture &) = default;
};

/// What the sender of a report wants its receiver, a relay, to send from then on.
enum class ReportSubscription : std::uint8_t {
    None,
    /// The reports of the receiver's region.
    Region,
    /// The reports of all regions.
    Fleet,
};

/// What a relay sends at the beginning of a subscription.
enum class ReportHistory : std::uint8_t {
    None,
    /// The reports of the last seconds, for a subscriber that comes from another relay.
    Recent,
    /// All that it knows of all nodes, for a subscriber that knows nothing.
    Full,
};

/// Also serves as a heartbeat of the sender. Most reports are incremental; the first one to each peer is complete, and so is one from time to time.
struct NodeReport {
    /// The receiver should reply immediately with a complete report.
    bool asksReply;
    /// If false, fields below that are absent or empty have not changed since the previous report.
    bool isComplete;
    /// 0 while no configuration is known.
    ConfigurationVersion configuration;
    /// Absent while the sender's target is not known or the sender is stopping.
    std::optional<TargetRecord> target;
    /// Departures of the sender's target.
    std::vector<TargetDeparture> departures;
    /// Departures of the receiver's target that the sender knows of.
    std::vector<TargetDeparture> receiverDepartures;
    std::vector<OrganisationUsage> uses;
    /// The sender accepts no more requests.
    bool isStopping;
    /// Absent if there is no new measurement.
    std::optional<LoadReport> load = std::nullopt;
    /// Whether the sender can follow the configuration in the store.
    bool isStoreReachable = true;
    /// The rate limit of the sender's target, or that it has been lifted. Absent if the sender does not know of any.
    std::optional<TargetRateLimit> rateLimit = std::nullopt;
    /// The last rate limit of the receiver's target that the sender knows of.
    std::optional<TargetRateLimit> receiverRateLimit = std::nullopt;
    /// Increases with each report of an incarnation, so that one that arrives late by another way can be told.
    std::uint64_t sequence = 0;
    /// The receiver is to pass the report on to its subscribers; at once if it is urgent.
    bool isForRelay = false;
    bool isUrgent = false;
    ReportSubscription subscription = ReportSubscription::None;
    ReportHistory history = ReportHistory::None;
    /// What the sender has found out about requests that may crash targets; the quarantined ones in a report to a node that starts.
    std::vector<CrashReport> crashReports = {};

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError, IdentifierError, ValueError on malformed payloads.
    static NodeReport decode(const Envelope &envelope);

    friend auto operator<=>(const NodeReport &, const NodeReport &) = default;
};

/// Requests the configuration from a node that has a newer one.
struct ConfigurationRequest {
    ConfigurationVersion newerThan;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static ConfigurationRequest decode(const Envelope &envelope);

    friend auto operator<=>(const ConfigurationRequest &, const ConfigurationRequest &) = default;
};

/// The text of a configuration as published, and the version of the store's row that holds it.
struct ConfigurationDocument {
    std::string text;
    RowVersion rowVersion;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static ConfigurationDocument decode(const Envelope &envelope);

    friend auto operator<=>(const ConfigurationDocument &, const ConfigurationDocument &) = default;
};

} // namespace banyankeel

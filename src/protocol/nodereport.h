#pragma once

// What nodes tell each other about once a second: the configuration that they have, their target, and what organisations used.

#include "protocol/envelope.h"
#include "protocol/loadreport.h"
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

/// Requests of an organisation that one node let through.
struct OrganisationUse {
    OrganisationId organisation;
    /// Since the node's start.
    std::int64_t taken;
    /// Lately.
    double ratePerSecond;

    friend auto operator<=>(const OrganisationUse &, const OrganisationUse &) = default;
};

/// A target that said it leaves. It gets no request any more, whichever process beside it hears of it.
struct TargetLeaving {
    std::string name;
    /// Boots that started until then are meant. WallTime::max() where the target does not say when it started.
    WallTime startedUntil;

    friend auto operator<=>(const TargetLeaving &, const TargetLeaving &) = default;
};

/// Also shows that the sender is alive. Most reports are brief and hold what changed; one that is complete comes first to each peer, and again
/// from time to time.
struct NodeReport {
    /// The receiver should report at once, completely.
    bool asksReply;
    /// Otherwise what is absent or empty below has not changed since the report before.
    bool isComplete;
    /// 0 while none is known.
    ConfigurationVersion configuration;
    /// Absent while the sender's target is not known or the sender stops.
    std::optional<TargetRecord> target;
    /// Of the sender's target.
    std::vector<TargetLeaving> leavings;
    /// What the sender knows of leavings of the receiver's target.
    std::vector<TargetLeaving> leavingsOfReceiver;
    std::vector<OrganisationUse> uses;
    /// The sender takes no more work.
    bool isStopping;
    /// Absent where there is no news of it.
    std::optional<LoadReport> load = std::nullopt;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError, IdentifierError, ValueError on malformed payloads.
    static NodeReport decode(const Envelope &envelope);

    friend auto operator<=>(const NodeReport &, const NodeReport &) = default;
};

/// Asks a node that has a newer configuration for it.
struct ConfigurationAsk {
    ConfigurationVersion newerThan;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static ConfigurationAsk decode(const Envelope &envelope);

    friend auto operator<=>(const ConfigurationAsk &, const ConfigurationAsk &) = default;
};

/// A configuration as it was published.
struct ConfigurationDocument {
    std::string text;

    [[nodiscard]] Envelope encode() const;
    /// @throws ProtocolError on malformed payloads.
    static ConfigurationDocument decode(const Envelope &envelope);

    friend auto operator<=>(const ConfigurationDocument &, const ConfigurationDocument &) = default;
};

} // namespace banyankeel

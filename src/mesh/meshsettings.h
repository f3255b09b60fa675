#pragma once

// What one node of a fleet with a shared call graph is told at its start.

#include "state/endpoint.h"
#include "state/identifier.h"
#include "state/peer.h"
#include "state/time.h"
#include "telemetry/logging.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace banyankeel
{

struct MeshSettings {
    NodeId node;
    Place place;
    /// Where callers on this host and the host's target send their requests.
    Endpoint callers;
    /// Where the platform asks whether this node takes callers.
    Endpoint readiness;
    /// Where the host's target sends its heartbeats.
    Endpoint reports;
    /// Where other nodes connect.
    Endpoint peers;
    /// Where a collector reads the metrics.
    Endpoint metrics;
    /// The target on this host, and its service.
    Endpoint target;
    ServiceName service;
    /// The platform's store.
    Endpoint store;
    /// Shared by the nodes of the fleet.
    std::string secret;
    std::size_t memoryBytes;
    std::size_t descriptors;
    /// From the order to stop until the process is killed.
    Duration gracePeriod;
    /// Repeats to a service, over all nodes: a part of its requests in a window, and some beyond that.
    double retryRatio;
    double retrySlack;
    Duration retryWindow;
    /// The span in which an organisation's requests are counted, and by how much all nodes may pass its allowance.
    Duration quotaWindow;
    double quotaOvershoot;
    double quotaSlack;
    LogLevel logLevel = LogLevel::Info;

    friend auto operator<=>(const MeshSettings &, const MeshSettings &) = default;
};

/// A setting as it is in force, for people.
struct SettingLine {
    std::string name;
    std::string value;

    friend auto operator<=>(const SettingLine &, const SettingLine &) = default;
};

/// All settings but the secret, in the order of the declaration.
std::vector<SettingLine> settingLines(const MeshSettings &settings);
/// The names of the settings in which @p left and @p right differ; "secret" where only that does.
std::vector<std::string> changedSettings(const MeshSettings &left, const MeshSettings &right);

} // namespace banyankeel

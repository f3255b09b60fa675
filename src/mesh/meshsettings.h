#pragma once

// Startup settings of one node in a fleet with a shared call graph.

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
    /// Where the platform sends readiness probes.
    Endpoint readiness;
    /// Where the host's target sends its heartbeats.
    Endpoint reports;
    /// Where other nodes connect.
    Endpoint peers;
    /// Where a metrics collector scrapes this node.
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
    /// Time between the stop signal and the kill of the process.
    Duration gracePeriod;
    /// Retry budget of a service across all nodes: a ratio of its requests in a window, plus a constant slack.
    double retryRatio;
    double retrySlack;
    Duration retryWindow;
    /// The window in which an organisation's requests are counted, and by how much all nodes together may exceed its quota.
    Duration quotaWindow;
    double quotaOvershoot;
    double quotaSlack;
    LogLevel logLevel = LogLevel::Info;

    friend auto operator<=>(const MeshSettings &, const MeshSettings &) = default;
};

/// A setting in effect, formatted for display.
struct SettingLine {
    std::string name;
    std::string value;

    friend auto operator<=>(const SettingLine &, const SettingLine &) = default;
};

/// All settings except the secret and the log level, in declaration order.
std::vector<SettingLine> settingLines(const MeshSettings &settings);
/// The names of the settings in which @p left and @p right differ, including "secret"; the log level is not compared.
std::vector<std::string> changedSettings(const MeshSettings &left, const MeshSettings &right);

} // namespace banyankeel

#pragma once

// Settings of one node, read from a YAML file and validated as a whole.
//
//   NodeSettings settings = readNodeSettings("node.yaml");

#include "state/endpoint.h"
#include "state/identifier.h"
#include "state/peer.h"
#include "state/time.h"
#include "telemetry/logging.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyankeel
{

/// Listening addresses of the node; they must be distinct.
struct NodeListeners {
    /// For other nodes.
    Endpoint peers;
    /// For callers outside the fleet.
    Endpoint callers;
    /// For downstream calls and announcements of the node's own target.
    Endpoint target;
    /// For operators: metrics, health and status.
    Endpoint operators;
};

/// The target that the node serves.
struct TargetSettings {
    Endpoint address;
    ServiceName service;
    std::uint32_t slots;
    std::uint32_t connections;
    std::string healthPath;
};

struct StoreSettings {
    Endpoint address;
    std::string token;
    Duration timeLimit;
};

/// The highest bodyBytes of any node of a fleet.
inline constexpr std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024;

struct NodeLimits {
    /// Of requests and responses that this node takes from its own callers and its own target.
    std::size_t bodyBytes;
    std::size_t connections;
    std::size_t peerQueueBytes;
    std::size_t timelineEvents;
    unsigned threads;
    /// How long a stopping node waits for requests in flight to complete.
    Duration drain;
};

struct NodeSettings {
    NodeId node;
    Place place;
    NodeListeners listen;
    /// Authenticates nodes to each other; the same on all nodes of the fleet.
    std::string secret;
    std::string operatorToken;
    std::vector<Endpoint> bootstrapPeers;
    StoreSettings store;
    std::optional<TargetSettings> target;
    NodeLimits limits;
    LogLevel logLevel;
};

/// Reads and validates the file at @p path.
/// @throws SettingsError listing every error as "file:line: field: problem".
NodeSettings readNodeSettings(const std::string &path);

/// Same as readNodeSettings(), for settings in memory; @p name replaces the file name in error messages.
NodeSettings parseNodeSettings(const std::string &yaml, const std::string &name);

} // namespace banyankeel

#pragma once

// Settings of banyankeelctl: how to reach the store and the nodes. Read from YAML.
//
//   store:
//     address: 127.0.0.1:6000
//     token: ...
//     time_limit: 2s
//   operator_token: ...
//   nodes: [127.0.0.1:9090]     # initial operator addresses; other nodes are discovered through their peers

#include "state/endpoint.h"
#include "state/time.h"

#include <optional>
#include <string>
#include <vector>

namespace banyankeel
{

struct CtlStoreSettings {
    Endpoint address;
    std::string token;
    Duration timeLimit = std::chrono::seconds(2);
};

struct CtlSettings {
    /// Required by commands that read or change the configuration.
    std::optional<CtlStoreSettings> store;
    /// Authenticates the operator to nodes.
    std::string operatorToken;
    /// Operator addresses of some or all nodes.
    std::vector<Endpoint> nodes;
    /// Whether to query the peers of these nodes too, on the operator port of the first node.
    bool discoverPeers = true;
    Duration nodeTimeLimit = std::chrono::seconds(2);
};

/// Parses and validates settings. @param file name of the file in messages.
/// @throws SettingsError with one line per fault.
CtlSettings readCtlSettings(const std::string &text, const std::string &file);

} // namespace banyankeel

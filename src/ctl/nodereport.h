#pragma once

// Status that a node reports to operators.
//
//   NodeReport report = NodeReport::parse(result.response->body);

#include "state/configurationset.h"
#include "state/endpoint.h"
#include "state/time.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyankeel
{

/// Response to /operator/status. Immutable after construction.
struct NodeReport {
    std::string node;
    std::string region;
    std::string failureDomain;
    std::string state;
    Revision revision;
    Duration staleness;
    /// Addresses where the node's peers listen for other nodes.
    std::vector<Endpoint> peers;
    /// The complete response.
    nlohmann::json json;

    /// @throws ProtocolError if a field is missing or has the wrong type.
    static NodeReport parse(std::string_view text);
};

/// Result of querying a node: its report, or the reason why there is none.
struct NodeView {
    /// The operator address that was queried.
    Endpoint address;
    std::optional<NodeReport> report;
    std::string problem;
};

} // namespace banyankeel

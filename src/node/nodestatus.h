#pragma once

// Status of a node as reported to operators.

#include "coordination/common/component.h"
#include "coordination/quota/quotaledger.h"
#include "protocol/callmessages.h"
#include "state/configurationset.h"
#include "state/peer.h"
#include "state/shard.h"
#include "state/targetrecord.h"
#include "state/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyankeel
{

/// State of a target as seen by this node's router.
struct TargetStatus {
    TargetRecord record;
    std::uint32_t inFlight;
    bool isEjected;
};

struct ControlStatus {
    Revision revision;
    bool isReady;
    Duration staleness;
    std::vector<ShardId> shards;
    std::vector<QuotaTokens> quota;
    std::vector<Peer> peers;
};

struct NodeStatus {
    Peer self;
    bool isDraining;
    /// Address of the operator API.
    Endpoint operators;
    std::optional<TargetState> targetState;
    ControlStatus control;
    std::vector<TargetStatus> targets;
    std::optional<AdmissionHint> admission;
};

/// Returns @p status as a JSON object.
std::string toJson(const NodeStatus &status);

} // namespace banyankeel

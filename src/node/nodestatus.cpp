#include "node/nodestatus.h"

#include "node/targetannouncement.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace banyankeel
{

namespace
{
using nlohmann::json;

json shardsToJson(const std::vector<ShardId> &shards)
{
    json list = json::array();
    for (const ShardId &shard : shards) {
        list.push_back(fmt::format("{}/{}", nameOf(shard.kind), shard.index));
    }
    return list;
}

json quotaToJson(const std::vector<QuotaTokens> &quota)
{
    json list = json::array();
    for (const QuotaTokens &it : quota) {
        list.push_back({{"organisation", it.organisation.text()}, {"tokens", it.tokens}});
    }
    return list;
}

json peersToJson(const std::vector<Peer> &peers)
{
    json list = json::array();
    for (const Peer &peer : peers) {
        list.push_back({
            {"node", peer.node.text()},
            {"endpoint", peer.endpoint.text()},
            {"region", peer.place.region.text()},
            {"failureDomain", peer.place.failureDomain.text()},
        });
    }
    return list;
}

json targetsToJson(const std::vector<TargetStatus> &targets)
{
    json list = json::array();
    for (const TargetStatus &target : targets) {
        list.push_back({
            {"node", target.record.node.node.text()},
            {"service", target.record.service.text()},
            {"state", nameOf(target.record.state)},
            {"inFlight", target.inFlight},
            {"ejected", target.isEjected},
        });
    }
    return list;
}

std::string stateName(const NodeStatus &status)
{
    if (status.isDraining) {
        return "draining";
    }
    return status.targetState ? std::string(nameOf(*status.targetState)) : "serving";
}
} // namespace

std::string toJson(const NodeStatus &status)
{
    json object;
    object["node"] = status.self.node.text();
    object["incarnation"] = static_cast<std::uint64_t>(status.self.incarnation);
    object["region"] = status.self.place.region.text();
    object["failureDomain"] = status.self.place.failureDomain.text();
    object["operators"] = status.operators.text();
    object["state"] = stateName(status);
    object["revision"] = status.control.revision;
    object["ready"] = status.control.isReady;
    const auto stalenessMs = std::chrono::duration_cast<std::chrono::milliseconds>(status.control.staleness).count();
    object["stalenessMs"] = stalenessMs;
    object["shards"] = shardsToJson(status.control.shards);
    object["quota"] = quotaToJson(status.control.quota);
    object["peers"] = peersToJson(status.control.peers);
    object["targets"] = targetsToJson(status.targets);
    if (status.admission) {
        object["admission"] = {
            {"limit", status.admission->limit},
            {"load", status.admission->load},
            {"admittedLevel", static_cast<int>(status.admission->admittedLevel)},
            {"admittedFraction", status.admission->admittedFraction},
        };
    }
    return object.dump();
}

} // namespace banyankeel

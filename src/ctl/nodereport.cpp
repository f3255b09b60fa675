#include "ctl/nodereport.h"

#include "state/errors.h"

namespace banyankeel
{

namespace
{
std::vector<Endpoint> peersIn(const nlohmann::json &json)
{
    std::vector<Endpoint> peers;
    if (!json.contains("peers")) {
        return peers;
    }
    for (const nlohmann::json &peer : json.at("peers")) {
        peers.push_back(Endpoint::parse(peer.at("endpoint").get<std::string>()));
    }
    return peers;
}
} // namespace

NodeReport NodeReport::parse(std::string_view text)
{
    try {
        nlohmann::json json = nlohmann::json::parse(text);
        return {
            .node = json.at("node").get<std::string>(),
            .region = json.at("region").get<std::string>(),
            .failureDomain = json.at("failureDomain").get<std::string>(),
            .state = json.at("state").get<std::string>(),
            .revision = json.at("revision").get<Revision>(),
            .staleness = std::chrono::milliseconds(json.at("stalenessMs").get<std::int64_t>()),
            .peers = peersIn(json),
            .json = json,
        };
    } catch (const nlohmann::json::exception &error) {
        throw ProtocolError(std::string("invalid node status: ") + error.what());
    }
}

} // namespace banyankeel

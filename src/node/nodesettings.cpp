#include "node/nodesettings.h"

#include "node/settingsreader.h"
#include "state/errors.h"

#include <fmt/format.h>

#include <fstream>
#include <set>
#include <sstream>

namespace banyankeel
{

namespace
{
using namespace std::chrono_literals;

constexpr std::size_t MinSecretBytes = 16;
constexpr std::uint64_t Mebibyte = std::uint64_t{1024} * 1024;

const Endpoint PlaceholderEndpoint("127.0.0.1", 1);

Endpoint readEndpoint(SettingsReader &reader, const std::string &field)
{
    return reader.parsed<Endpoint>(field, PlaceholderEndpoint, [](const std::string &text) { return Endpoint::parse(text); });
}

template<typename Name>
Name readName(SettingsReader &reader, const std::string &field)
{
    return reader.parsed<Name>(field, Name("placeholder"), [](const std::string &text) { return Name(text); });
}

std::string readSecret(SettingsReader &reader, const std::string &field)
{
    std::string secret = reader.text(field);
    if (secret.size() < MinSecretBytes) {
        reader.addError(field, fmt::format("must have at least {1} characters, found {0}", secret.size(), MinSecretBytes));
    }
    return secret;
}

NodeListeners readListeners(SettingsReader reader)
{
    NodeListeners listen{
        readEndpoint(reader, "peers"),
        readEndpoint(reader, "callers"),
        readEndpoint(reader, "target"),
        readEndpoint(reader, "operators"),
    };
    const std::set<Endpoint> distinct{listen.peers, listen.callers, listen.target, listen.operators};
    if (distinct.size() != 4 && distinct.count(PlaceholderEndpoint) == 0) {
        reader.addError("peers", "the four listening addresses must be distinct");
    }
    reader.finish();
    return listen;
}

StoreSettings readStore(SettingsReader reader)
{
    const Endpoint address = readEndpoint(reader, "address");
    const std::string token = reader.text("token");
    const Duration timeLimit = reader.duration("time_limit", 50ms, 30s, 1s);
    reader.finish();
    return {address, token, timeLimit};
}

TargetSettings readTarget(SettingsReader reader)
{
    constexpr std::uint64_t MaxCount = 1'000'000;
    const Endpoint address = readEndpoint(reader, "address");
    const auto service = readName<ServiceName>(reader, "service");
    const auto slots = static_cast<std::uint32_t>(reader.number("slots", 1, MaxCount, 16));
    const auto connections = static_cast<std::uint32_t>(reader.number("connections", 1, MaxCount, 256));
    const std::string healthPath = reader.text("health_path", "/health");
    if (healthPath.empty() || healthPath.front() != '/') {
        reader.addError("health_path", fmt::format("must be a path starting with '/', found '{}'", healthPath));
    }
    reader.finish();
    return {address, service, slots, connections, healthPath};
}

NodeLimits defaultLimits()
{
    return {
        .bodyBytes = 8 * Mebibyte,
        .connections = 1024,
        .peerQueueBytes = 16 * Mebibyte,
        .timelineEvents = 20'000,
        .threads = 2,
        .drain = 30s,
    };
}

NodeLimits readLimits(SettingsReader reader)
{
    NodeLimits limits = defaultLimits();
    limits.bodyBytes = reader.number("body_bytes", 1024, MaxBodyBytes, limits.bodyBytes);
    limits.connections = reader.number("connections", 1, 65'535, limits.connections);
    limits.peerQueueBytes = reader.number("peer_queue_bytes", 1024, 256 * Mebibyte, limits.peerQueueBytes);
    limits.timelineEvents = reader.number("timeline_events", 16, 1'000'000, limits.timelineEvents);
    limits.threads = static_cast<unsigned>(reader.number("threads", 1, 64, limits.threads));
    limits.drain = reader.duration("drain", 100ms, 10min, limits.drain);
    reader.finish();
    return limits;
}

LogLevel readLogLevel(SettingsReader &reader)
{
    const std::string text = reader.text("log_level", "info");
    if (text == "debug") {
        return LogLevel::Debug;
    }
    if (text == "info") {
        return LogLevel::Info;
    }
    if (text == "warning") {
        return LogLevel::Warning;
    }
    if (text != "error") {
        reader.addError("log_level", fmt::format("must be debug, info, warning or error, found '{}'", text));
    }
    return LogLevel::Error;
}

std::vector<Endpoint> readPeers(SettingsReader &reader)
{
    std::vector<Endpoint> peers;
    for (const std::string &text : reader.textList("peers")) {
        try {
            peers.push_back(Endpoint::parse(text));
        } catch (const ValueError &e) {
            reader.addError("peers", e.what());
        }
    }
    return peers;
}

YAML::Node loadYaml(const std::string &yaml, const std::string &name)
{
    try {
        return YAML::Load(yaml);
    } catch (const YAML::Exception &e) {
        throw SettingsError(fmt::format("{}:{}: invalid YAML: {}", name, e.mark.line + 1, e.msg));
    }
}
} // namespace

NodeSettings parseNodeSettings(const std::string &yaml, const std::string &name)
{
    const YAML::Node root = loadYaml(yaml, name);
    SettingsErrorList errors(name);
    if (!root.IsMap()) {
        throw SettingsError(name + ":1: the top level must be a mapping");
    }
    SettingsReader reader(root, "", errors);
    const auto node = readName<NodeId>(reader, "node");
    const auto region = readName<RegionName>(reader, "region");
    const auto failureDomain = readName<FailureDomainName>(reader, "failure_domain");
    const NodeListeners listen = readListeners(reader.section("listen"));
    const std::string secret = readSecret(reader, "secret");
    const std::string operatorToken = readSecret(reader, "operator_token");
    const std::vector<Endpoint> peers = readPeers(reader);
    const StoreSettings store = readStore(reader.section("store"));
    std::optional<TargetSettings> target;
    if (reader.has("target")) {
        target = readTarget(reader.section("target"));
    }
    const NodeLimits limits = reader.has("limits") ? readLimits(reader.section("limits")) : defaultLimits();
    const LogLevel logLevel = readLogLevel(reader);
    reader.finish();
    errors.throwIfAny();
    return {node, {region, failureDomain}, listen, secret, operatorToken, peers, store, target, limits, logLevel};
}

NodeSettings readNodeSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw SettingsError(path + ": cannot open the file");
    }
    std::stringstream contents;
    contents << file.rdbuf();
    return parseNodeSettings(contents.str(), path);
}

} // namespace banyankeel

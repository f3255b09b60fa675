#include "testing/fleet/fleet.h"

#include "state/errors.h"

#include <fmt/format.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace banyankeel::testing
{

namespace
{
using namespace std::chrono_literals;

constexpr Duration StartPatience = 20s;
constexpr Duration ToolPatience = 60s;
constexpr std::uint16_t PeersPort = 7001;
constexpr std::uint16_t CallersPort = 8080;
constexpr std::uint16_t TargetListenerPort = 8081;
constexpr std::uint16_t OperatorsPort = 9090;
constexpr std::uint16_t TargetPort = 9000;
constexpr std::uint16_t StorePort = 6000;

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::string makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "banyankeel-fleet-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw Error(pattern + ": no folder for settings");
    }
    return pattern;
}

std::vector<DomainPlan> domainsOf(const std::string &first, const std::string &second)
{
    return {{first, first + "-a"}, {first, first + "-b"}, {second, second + "-a"}, {second, second + "-b"}};
}
} // namespace

FleetPlan FleetPlan::steigflug(unsigned upstreamsPerDomain)
{
    return {
        .domains = domainsOf("muc", "nue"),
        .services =
            {
                {.name = "einsatz", .upstreamsPerDomain = upstreamsPerDomain, .slots = 25, .serviceTime = 10ms, .downstreamPath = "/zertifikat/check"},
                {.name = "zertifikat", .upstreamsPerDomain = upstreamsPerDomain, .slots = 90, .serviceTime = 5ms, .downstreamPath = "/archiv/lookup"},
                {.name = "archiv", .upstreamsPerDomain = upstreamsPerDomain, .slots = 90, .serviceTime = 5ms, .downstreamPath = ""},
                {.name = "ausbilder", .upstreamsPerDomain = upstreamsPerDomain, .slots = 90, .serviceTime = 5ms, .downstreamPath = "/archiv/lookup"},
            },
    };
}

FleetPlan FleetPlan::aigaio(unsigned upstreamsPerDomain)
{
    return {
        .domains = domainsOf("attica", "macedonia"),
        .services =
            {
                {.name = "monitor", .upstreamsPerDomain = upstreamsPerDomain, .slots = 40, .serviceTime = 10ms, .downstreamPath = "/dispatch/teams"},
                {.name = "dispatch", .upstreamsPerDomain = upstreamsPerDomain, .slots = 110, .serviceTime = 5ms, .downstreamPath = "/archive/lookup"},
                {.name = "archive", .upstreamsPerDomain = upstreamsPerDomain, .slots = 110, .serviceTime = 5ms, .downstreamPath = ""},
                {.name = "stores", .upstreamsPerDomain = upstreamsPerDomain, .slots = 110, .serviceTime = 5ms, .downstreamPath = "/archive/lookup"},
            },
    };
}

FleetPlan FleetPlan::chain(unsigned domains)
{
    FleetPlan plan = steigflug(1);
    plan.services.pop_back();
    plan.domains = {{"muc", "muc-a"}, {"nue", "nue-a"}, {"muc", "muc-b"}, {"nue", "nue-b"}};
    plan.domains.erase(plan.domains.begin() + domains, plan.domains.end());
    return plan;
}

FleetPlan FleetPlan::single(unsigned domains)
{
    std::vector<DomainPlan> all = domainsOf("muc", "nue");
    all.erase(all.begin() + domains, all.end());
    return {.domains = all, .services = {{.name = "archiv", .upstreamsPerDomain = 1, .slots = 8, .serviceTime = 5ms, .downstreamPath = ""}}};
}

Fleet::Fleet(FleetPlan plan, std::string binaries)
    : m_plan(std::move(plan))
    , m_binaries(std::move(binaries))
    , m_folder(makeFolder())
    , m_subnet(static_cast<unsigned>(getpid()))
    , m_store(address(++m_lastHost, StorePort))
    , m_storeForNodes(m_store)
{
    for (const ServicePlan &service : m_plan.services) {
        unsigned number = 0;
        for (const DomainPlan &domain : m_plan.domains) {
            for (unsigned n = 0; n < service.upstreamsPerDomain; ++n) {
                planHost(service, domain, ++number);
            }
        }
    }
}

Fleet::~Fleet()
{
    m_hosts.clear();
    m_storeProcess.reset();
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

Endpoint Fleet::address(unsigned host, std::uint16_t port) const
{
    constexpr unsigned ByteMask = 0xff;
    constexpr unsigned FirstByte = 16;
    // Two test processes run on different loopback networks, and a process's fleets follow one another.
    const unsigned second = FirstByte + ((m_subnet >> 8U) & 0x7fU);
    return {fmt::format("127.{}.{}.{}", second, m_subnet & ByteMask, host), port};
}

void Fleet::planHost(const ServicePlan &service, const DomainPlan &domain, unsigned number)
{
    const unsigned ip = ++m_lastHost;
    Host host{
        .name = fmt::format("{}-{}", service.name, number),
        .service = service.name,
        .domain = domain,
        .callers = address(ip, CallersPort),
        .operators = address(ip, OperatorsPort),
        .peers = address(ip, PeersPort),
        .targetListener = address(ip, TargetListenerPort),
        .target = address(ip, TargetPort),
        .targetCommand = {},
        .nodeCommand = {},
        .nodeLimits = {},
        .targetProcess = nullptr,
        .node = nullptr,
    };
    host.targetCommand = {
        program("target-standin"),
        "--listen",
        host.target.text(),
        "--node",
        host.targetListener.text(),
        "--name",
        host.name,
        "--slots",
        std::to_string(service.slots),
        "--service-time-ms",
        std::to_string(milliseconds(service.serviceTime)),
    };
    if (!service.downstreamPath.empty()) {
        host.targetCommand.insert(host.targetCommand.end(), {"--calls", service.downstreamPath});
    }
    host.nodeCommand = {program("banyankeel-node"), path(host.name + ".yaml")};
    m_hosts.push_back(std::move(host));
}

std::string Fleet::path(const std::string &file) const
{
    return m_folder + '/' + file;
}

std::string Fleet::program(const std::string &name) const
{
    return m_binaries + '/' + name;
}

void Fleet::start()
{
    writeSettings();
    m_storeProcess =
        std::make_unique<Process>(std::vector<std::string>{program("store-standin"), "--listen", m_store.text(), "--token", std::string(StoreToken)});
    m_storeProcess->waitForLine("event=listening", StartPatience);
    for (Host &host : m_hosts) {
        startTarget(host);
        startNode(host);
    }
    for (Host &host : m_hosts) {
        host.targetProcess->waitForLine("event=listening", StartPatience);
        host.node->waitForLine("event=listening", StartPatience);
    }
}

void Fleet::startTarget(Host &host)
{
    host.targetProcess = std::make_unique<Process>(host.targetCommand);
}

void Fleet::startNode(Host &host)
{
    host.node = std::make_unique<Process>(host.nodeCommand);
}

void Fleet::publish(const std::string &file)
{
    const ToolResult result = ctl({"publish", file});
    if (result.status != 0) {
        throw Error(fmt::format("publish {}: exit status {}: {}", file, result.status, fmt::join(result.lines, " | ")));
    }
}

std::string Fleet::grantKey(const std::string &organisation, const std::string &name)
{
    const ToolResult result = ctl({"key", "grant", organisation, "--name", name});
    // The secret is the only word of the output that begins with the key's name and a dot.
    const std::string prefix = name + '.';
    for (const std::string &line : result.lines) {
        const std::size_t at = line.find(prefix);
        if (result.status == 0 && at != std::string::npos) {
            return line.substr(at, line.find_first_of(" \"", at) - at);
        }
    }
    throw Error(fmt::format("key grant {}: exit status {}: {}", name, result.status, fmt::join(result.lines, " | ")));
}

Fleet::ToolResult Fleet::ctl(const std::vector<std::string> &arguments)
{
    std::vector<std::string> command{program("banyankeelctl"), "--settings", path("ctl.yaml")};
    command.insert(command.end(), arguments.begin(), arguments.end());
    Process tool(command);
    const int status = tool.waitForExit(ToolPatience);
    // The reader sees the end of the output right after the exit.
    std::vector<std::string> lines = tool.lines();
    return {status, std::move(lines)};
}

Host &Fleet::host(const std::string &name)
{
    for (Host &host : m_hosts) {
        if (host.name == name) {
            return host;
        }
    }
    throw Error(name + ": no such host in the fleet");
}

void Fleet::writeSettings()
{
    for (const Host &host : m_hosts) {
        writeNodeSettings(host);
    }
    writeCtlSettings();
}

void Fleet::writeNodeSettings(const Host &host) const
{
    std::ofstream file(path(host.name + ".yaml"));
    file << fmt::format("node: {}\nregion: {}\nfailure_domain: {}\n", host.name, host.domain.region, host.domain.failureDomain);
    file << "secret: secret-of-the-test-fleet\n";
    file << fmt::format("operator_token: {}\n", OperatorToken);
    file << fmt::format("listen:\n  peers: {}\n  callers: {}\n  target: {}\n  operators: {}\n",
                        host.peers.text(),
                        host.callers.text(),
                        host.targetListener.text(),
                        host.operators.text());
    file << "peers:\n";
    // The first host of each of the first domains is enough to begin with.
    for (std::size_t i = 0; i < m_hosts.size() && i < 3; ++i) {
        file << fmt::format("  - {}\n", m_hosts[i].peers.text());
    }
    file << fmt::format("store:\n  address: {}\n  token: {}\n", m_storeForNodes.text(), StoreToken);
    file << fmt::format("target:\n  address: {}\n  service: {}\n", host.target.text(), host.service);
    if (!host.nodeLimits.empty()) {
        file << "limits:\n";
    }
    for (const auto &[name, value] : host.nodeLimits) {
        file << fmt::format("  {}: {}\n", name, value);
    }
}

void Fleet::writeCtlSettings() const
{
    std::ofstream file(path("ctl.yaml"));
    file << fmt::format("store:\n  address: {}\n  token: {}\n", m_store.text(), StoreToken);
    file << fmt::format("operator_token: {}\nnodes:\n", OperatorToken);
    for (const Host &host : m_hosts) {
        file << fmt::format("  - {}\n", host.operators.text());
    }
}

} // namespace banyankeel::testing

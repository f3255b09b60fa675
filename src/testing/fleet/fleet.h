#pragma once

// A fleet of real processes on loopback: a store stand-in, and a target stand-in with its node on each host.
// Every host has a loopback address of its own.
//
//   Fleet fleet(FleetPlan::steigflug(1), "build/bin");
//   fleet.start();
//   fleet.publish("examples/steigflug.yaml");
//   fleet.host("zertifikat-1").node->signal(SIGKILL);

#include "state/endpoint.h"
#include "state/time.h"
#include "testing/fleet/process.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace banyankeel::testing
{

/// A service and what its target stand-ins do.
struct ServicePlan {
    std::string name;
    /// Hosts in each failure domain.
    unsigned upstreamsPerDomain;
    unsigned slots;
    Duration serviceTime;
    /// The path that each request calls through the target's own node; empty for none.
    std::string downstreamPath;
};

struct DomainPlan {
    std::string region;
    std::string failureDomain;
};

struct FleetPlan {
    std::vector<DomainPlan> domains;
    std::vector<ServicePlan> services;

    /// The services, regions and failure domains of the two example deployments, scaled to so many hosts per service and domain.
    static FleetPlan steigflug(unsigned upstreamsPerDomain);
    static FleetPlan aigaio(unsigned upstreamsPerDomain);
    /// A chain einsatz, zertifikat, archiv with one host of each in @p domains failure domains, of which the second is in another region.
    static FleetPlan chain(unsigned domains);
    /// One service "archiv" without downstream calls, on one host in each of @p domains failure domains of two regions.
    static FleetPlan single(unsigned domains);
};

/// Addresses and processes of one host.
struct Host {
    std::string name;
    std::string service;
    DomainPlan domain;
    Endpoint callers;
    Endpoint operators;
    Endpoint peers;
    Endpoint targetListener;
    Endpoint target;
    std::vector<std::string> targetCommand;
    std::vector<std::string> nodeCommand;
    /// Limits of the node in place of the defaults, by name. To be set before the fleet starts.
    std::map<std::string, std::uint64_t> nodeLimits;
    std::unique_ptr<Process> targetProcess;
    std::unique_ptr<Process> node;
};

/// Not thread-safe. The destructor ends every process and removes the settings files.
class Fleet
{
public:
    static constexpr std::string_view OperatorToken = "operator-token-of-the-test-fleet";
    static constexpr std::string_view StoreToken = "store-token-of-the-test-fleet";

    /// @param binaries the folder with the programs.
    Fleet(FleetPlan plan, std::string binaries);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Starts everything and waits until every process listens.
    void start();
    void startTarget(Host &host);
    void startNode(Host &host);

    /// Publishes the configuration in @p file with banyankeelctl and waits until it is in force on every node.
    /// @throws Error if the tool fails.
    void publish(const std::string &file);
    /// Grants @p organisation a key named @p name and returns its secret. In force everywhere on return.
    std::string grantKey(const std::string &organisation, const std::string &name);
    /// Runs banyankeelctl with the fleet's settings. Returns its exit status and its lines.
    struct ToolResult {
        int status;
        std::vector<std::string> lines;
    };
    ToolResult ctl(const std::vector<std::string> &arguments);

    /// @throws Error if there is no such host.
    Host &host(const std::string &name);
    [[nodiscard]] std::vector<Host> &hosts()
    {
        return m_hosts;
    }
    [[nodiscard]] const Endpoint &store() const
    {
        return m_store;
    }
    [[nodiscard]] Process &storeProcess()
    {
        return *m_storeProcess;
    }
    /// Lets nodes reach the store and peers through other addresses, such as those of a fault proxy. Before start().
    void setStoreAddressForNodes(const Endpoint &address)
    {
        m_storeForNodes = address;
    }

private:
    Endpoint address(unsigned host, std::uint16_t port) const;
    void planHost(const ServicePlan &service, const DomainPlan &domain, unsigned number);
    void writeSettings();
    void writeNodeSettings(const Host &host) const;
    void writeCtlSettings() const;
    [[nodiscard]] std::string path(const std::string &file) const;
    [[nodiscard]] std::string program(const std::string &name) const;

    FleetPlan m_plan;
    std::string m_binaries;
    std::string m_folder;
    unsigned m_subnet;
    unsigned m_lastHost = 0;
    Endpoint m_store;
    Endpoint m_storeForNodes;
    std::vector<Host> m_hosts;
    std::unique_ptr<Process> m_storeProcess;
};

} // namespace banyankeel::testing

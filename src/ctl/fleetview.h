#pragma once

// Queries all nodes of a fleet, starting from the nodes in the settings.
//
//   FleetView fleet(settings, session);
//   for (const NodeView &node : fleet.queryNodes()) ...

#include "ctl/ctlsettings.h"
#include "ctl/nodereport.h"
#include "transport/httpclient.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace banyankeel
{

/// Sends the same request to several nodes; returns the results in the order of the addresses.
using NodeCalls = std::function<std::vector<HttpResult>(const std::vector<Endpoint> &nodes, const std::string &method, const std::string &target)>;

/// Not thread-safe.
class FleetView
{
public:
    /// @throws CtlError if the settings name no node.
    FleetView(const CtlSettings &settings, NodeCalls send);

    /// Queries the nodes of the settings and, transitively, their peers. A node that is reached by several addresses is listed once.
    /// Sorted by region, failure domain and node; nodes that did not respond come last.
    std::vector<NodeView> queryNodes();
    /// Returns the operator address of @p node. @throws CtlError if no node of that name responds.
    Endpoint find(const std::string &node);

private:
    std::vector<NodeView> queryStatus(const std::vector<Endpoint> &addresses);
    std::vector<Endpoint> unqueriedPeers(const std::vector<NodeView> &views, std::vector<Endpoint> &queried) const;

    CtlSettings m_settings;
    NodeCalls m_send;
};

} // namespace banyankeel

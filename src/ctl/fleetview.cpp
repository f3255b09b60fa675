#include "ctl/fleetview.h"

#include "ctl/ctlerror.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace banyankeel
{

namespace
{
constexpr int StatusOk = 200;

NodeView makeNodeView(const Endpoint &address, const HttpResult &result)
{
    if (!result.response) {
        return {address, std::nullopt, "no answer: " + (result.detail.empty() ? std::string(nameOf(result.reason)) : result.detail)};
    }
    if (result.response->status != StatusOk) {
        return {address, std::nullopt, "status " + std::to_string(result.response->status)};
    }
    try {
        return {address, NodeReport::parse(result.response->body), ""};
    } catch (const Error &error) {
        return {address, std::nullopt, error.what()};
    }
}

std::tuple<bool, std::string, std::string, std::string, std::string> sortKey(const NodeView &view)
{
    if (!view.report) {
        return {true, {}, {}, {}, view.address.text()};
    }
    return {false, view.report->region, view.report->failureDomain, view.report->node, {}};
}
} // namespace

FleetView::FleetView(const CtlSettings &settings, NodeCalls send)
    : m_settings(settings)
    , m_send(std::move(send))
{
    if (m_settings.nodes.empty()) {
        throw CtlError(ExitStatus::UsageError, "settings: field nodes: found nothing, allowed: operator addresses of one or more nodes");
    }
}

std::vector<NodeView> FleetView::queryNodes()
{
    std::vector<NodeView> all;
    std::set<std::string> names;
    std::vector<Endpoint> queried = m_settings.nodes;
    std::vector<Endpoint> next = m_settings.nodes;
    while (!next.empty()) {
        std::vector<NodeView> views = queryStatus(next);
        next = m_settings.discoverPeers ? unqueriedPeers(views, queried) : std::vector<Endpoint>();
        for (NodeView &view : views) {
            if (!view.report || names.insert(view.report->node).second) {
                all.push_back(std::move(view));
            }
        }
    }
    std::sort(all.begin(), all.end(), [](const NodeView &left, const NodeView &right) { return sortKey(left) < sortKey(right); });
    return all;
}

Endpoint FleetView::find(const std::string &node)
{
    for (const NodeView &view : queryNodes()) {
        if (view.report && view.report->node == node) {
            return view.address;
        }
    }
    throw CtlError(ExitStatus::Failed, "node " + node + ": no node of that name responds; see banyankeelctl status");
}

std::vector<NodeView> FleetView::queryStatus(const std::vector<Endpoint> &addresses)
{
    const std::vector<HttpResult> results = m_send(addresses, "GET", "/operator/status");
    std::vector<NodeView> views;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        views.push_back(makeNodeView(addresses[i], results[i]));
    }
    return views;
}

/// Reports contain the address where a peer listens for nodes; its operator interface is at the same IP address, on the operator port of the settings.
std::vector<Endpoint> FleetView::unqueriedPeers(const std::vector<NodeView> &views, std::vector<Endpoint> &queried) const
{
    std::vector<Endpoint> next;
    std::set<Endpoint> known(queried.begin(), queried.end());
    for (const NodeView &view : views) {
        if (!view.report) {
            continue;
        }
        for (const Endpoint &peer : view.report->peers) {
            const Endpoint address(peer.address(), m_settings.nodes.front().port());
            if (known.insert(address).second) {
                queried.push_back(address);
                next.push_back(address);
            }
        }
    }
    return next;
}

} // namespace banyankeel

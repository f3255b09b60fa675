#include "ctl/operatorclient.h"

#include "protocol/headernames.h"

#include <latch>

namespace banyankeel
{

namespace
{
constexpr std::size_t MaxConnections = 256;
// Large enough for the timeline of a node with a million events.
constexpr std::size_t MaxResponseBytes = std::size_t{512} * 1024 * 1024;
} // namespace

OperatorClient::OperatorClient(std::string operatorToken, Duration timeLimit)
    : m_token(std::move(operatorToken))
    , m_timeLimit(timeLimit)
    , m_http({.maxConnections = MaxConnections, .maxBodyBytes = MaxResponseBytes})
{
}

HttpResult OperatorClient::send(const Endpoint &node, const std::string &method, const std::string &target)
{
    return sendAll({node}, method, target).front();
}

std::vector<HttpResult> OperatorClient::sendAll(const std::vector<Endpoint> &nodes, const std::string &method, const std::string &target)
{
    std::vector<HttpResult> results(nodes.size(), HttpResult{.response = std::nullopt, .runState = RunState::NotRun, .reason = Reason::None, .detail = {}});
    std::latch pending(static_cast<std::ptrdiff_t>(nodes.size()));
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        HttpRequest request{.method = method, .target = target, .headers = {{std::string(headers::Authorization), "Bearer " + m_token}}, .body = {}};
        m_http.send({.server = nodes[i], .request = std::move(request), .timeLimit = m_timeLimit}, [&results, &pending, i](HttpResult result) {
            results[i] = std::move(result);
            pending.count_down();
        });
    }
    pending.wait();
    return results;
}

} // namespace banyankeel

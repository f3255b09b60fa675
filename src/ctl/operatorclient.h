#pragma once

// Sends requests to the operator addresses of nodes, to several in parallel.
//
//   OperatorClient client(token, 2s);
//   std::vector<HttpResult> results = client.sendAll(addresses, "GET", "/operator/status");

#include "state/endpoint.h"
#include "state/time.h"
#include "transport/httpclient.h"

#include <string>
#include <vector>

namespace banyankeel
{

/// Authenticates each request with the operator token. Not thread-safe.
class OperatorClient
{
public:
    OperatorClient(std::string operatorToken, Duration timeLimit);

    HttpResult send(const Endpoint &node, const std::string &method, const std::string &target);
    /// Returns the results in the order of @p nodes, after each node has responded or its time limit has expired.
    std::vector<HttpResult> sendAll(const std::vector<Endpoint> &nodes, const std::string &method, const std::string &target);

private:
    std::string m_token;
    Duration m_timeLimit;
    HttpClient m_http;
};

} // namespace banyankeel

#pragma once

// Names of the headers between callers, nodes and targets in a deployment that defines its own.

#include <compare>
#include <string>

namespace banyankeel
{

/// Header names of one deployment. Immutable after construction.
struct HeaderDialect {
    /// Caller to node to target, and back: id of the request. A retry by the caller has a different id.
    std::string requestId;
    /// Caller to node to target: time until the deadline, in whole milliseconds.
    std::string remainingTime;
    /// Caller to node: the scheme and the key. Never forwarded.
    std::string authorization;
    /// Prefix of the key in the authorization header, including the space.
    std::string authorizationScheme;
    /// Node to target: the organisation that owns the key.
    std::string organisation;
    /// Node to target: the service of the host that made the request.
    std::string callerService;
    /// Node to target: name of the intended target. Any other target rejects the request.
    std::string expectedTarget;
    /// Target to node, in responses to health checks: name of the target.
    std::string targetName;
    /// Target to node to caller: proves that the response was produced by a target.
    std::string targetSignature;
    /// Target to node: the request was not executed and will not be.
    std::string notRun;
    /// Node to caller: delay before a retry in seconds, possibly fractional.
    std::string retryAfter;

    friend auto operator<=>(const HeaderDialect &, const HeaderDialect &) = default;
};

} // namespace banyankeel

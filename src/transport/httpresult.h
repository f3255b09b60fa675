#pragma once

// How an HTTP call to a server ended.

#include "protocol/httpmessage.h"
#include "state/verdict.h"

#include <optional>
#include <string>

namespace banyankeel
{

/// How a call ended. Without a response, runState says whether the server may have seen the request:
/// NotRun only when no byte of it can have reached the server.
struct HttpResult {
    std::optional<HttpResponse> response;
    RunState runState;
    /// BodyIncomplete, DeadlineExpired, ConnectionLost, Cancelled, BodyTooLarge, or None with a response.
    Reason reason;
    std::string detail;
};

} // namespace banyankeel

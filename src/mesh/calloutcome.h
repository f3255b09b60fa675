#pragma once

// Derives the outcome of a request from the target's HTTP response or from its absence.

#include "protocol/headerdialect.h"
#include "protocol/httpmessage.h"
#include "state/verdict.h"
#include "transport/httpresult.h"

#include <optional>
#include <string>

namespace banyankeel
{

/// The verdict on an attempt, and the response for the caller if there is one.
struct CallOutcome {
    Verdict verdict;
    std::optional<HttpResponse> response;

    friend auto operator<=>(const CallOutcome &, const CallOutcome &) = default;
};

/// Returns whether @p response belongs to the request @p requestId. A response without a request id matches if it reports that the request was not run,
/// because targets refuse some requests without echoing the id.
bool isResponseTo(const HeaderDialect &headers, const std::string &requestId, const HttpResponse &response);

/// A refusal by the target itself has Reason::TargetFailed, which distinguishes it from a refusal by its node: the request did reach the target.
CallOutcome classifyResult(const HeaderDialect &headers, HttpResult result);

} // namespace banyankeel

#pragma once

// Translates verdicts into HTTP responses.

#include "protocol/httpmessage.h"
#include "state/requestid.h"
#include "state/verdict.h"

#include <optional>
#include <vector>

namespace banyankeel
{

/// Builds the response to a request without a complete answer: a status, the verdict headers and a line of text with the reason.
HttpResponse refusalResponse(const Verdict &verdict, const std::optional<RequestId> &root);

/// Returns the target's response with the verdict headers added and hop-by-hop headers removed.
HttpResponse answerResponse(HttpResponse answer, const RequestId &root);

/// Returns the headers that are forwarded to the next hop. Connection headers, API keys and Banyankeel's own per-hop headers are not.
std::vector<HttpHeader> forwardedHeaders(const std::vector<HttpHeader> &headers);

} // namespace banyankeel

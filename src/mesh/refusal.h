#pragma once

// Builds the HTTP response for a request that ended without a response from a target.

#include "protocol/headerdialect.h"
#include "protocol/httpmessage.h"
#include "state/verdict.h"

#include <string_view>

namespace banyankeel
{

/// 503 and 429 mean that the request did not and will not run; 502 and 504 leave that open. @param requestId may be empty.
HttpResponse refusalResponse(const HeaderDialect &headers, const Verdict &verdict, std::string_view requestId);

} // namespace banyankeel

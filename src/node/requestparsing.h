#pragma once

// Extracts the API key, idempotency key, deadline and request identifiers from an HTTP request.

#include "protocol/httpmessage.h"
#include "state/callcontext.h"
#include "state/requestid.h"
#include "state/time.h"

#include <optional>
#include <string_view>

namespace banyankeel
{

/// Returns the token after "Bearer ", if any. The result refers to memory of @p request.
std::optional<std::string_view> bearerToken(const HttpRequest &request);

/// Returns the idempotency key, or nullopt if it is missing or empty. The result refers to memory of @p request.
std::optional<std::string_view> idempotencyKeyOf(const HttpRequest &request);

/// Returns the caller's deadline, limited to @p maxDeadline. Without a deadline header returns @p maxDeadline; nullopt if its value is invalid.
std::optional<Duration> parseDeadline(const HttpRequest &request, Duration maxDeadline);

/// Returns the root ID of a caller's request: derived from its idempotency key if it has one, otherwise random.
RequestId makeRootId(const HttpRequest &request, const OrganisationId &organisation);

/// Returns an ID that is the same for all repeats of a request: same organisation, route and @p repeatKey.
RequestId makeRepeatId(const OrganisationId &organisation, std::string_view route, std::string_view repeatKey);

/// Returns the key that identifies repeats of a downstream call under one root: the idempotency key if there is one, otherwise method, path and body.
std::string downstreamRepeatKey(const HttpRequest &request, const RequestId &root);

} // namespace banyankeel

#pragma once

// Serialisation of HTTP/1.1 messages with complete bodies.

#include "protocol/httpmessage.h"

#include <string>

namespace banyankeel
{

/// Whether the connection stays open after a response.
enum class ConnectionOption {
    KeepAlive,
    Close,
};

/// The request line and headers of @p request, including Content-Length where it applies. The body is to be sent after them.
std::string serializeHead(const HttpRequest &request);
/// The status line and headers of @p response, including Content-Length where it applies. The body is to be sent after them.
std::string serializeHead(const HttpResponse &response, ConnectionOption use);

} // namespace banyankeel

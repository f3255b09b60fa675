#pragma once

// Serialisation of HTTP/1.1 messages.

#include "protocol/httpmessage.h"

#include <cstdint>
#include <string>
#include <string_view>

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

/// How the end of a body that is sent in parts is marked.
enum class BodyFraming {
    Length,
    Chunks,
    /// By the end of the connection, for clients that know no chunks.
    Connection,
};

/// The head of a response whose body is sent in parts. @param length used with BodyFraming::Length.
std::string serializeStreamHead(const HttpResponse &response, BodyFraming framing, std::uint64_t length, ConnectionOption use);
/// @p bytes as one chunk of a chunked body; empty for no bytes.
std::string serializeChunk(std::string_view bytes);
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace banyankeel

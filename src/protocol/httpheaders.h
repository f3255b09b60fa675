#pragma once

// Selects the headers of an HTTP message that are forwarded, and makes values for those that are added.
//
//   request.headers = endToEndHeaders(std::move(request.headers));
//   request.headers.push_back({"Caller", headerValueOf(service.text())});

#include "protocol/httpmessage.h"

#include <string>
#include <string_view>
#include <vector>

namespace banyankeel
{

/// Compares header names case-insensitively.
bool isSameHeaderName(std::string_view left, std::string_view right);

/// Whether a header is hop-by-hop and therefore not forwarded: Connection, Keep-Alive, Transfer-Encoding and similar, and Content-Length, which is
/// set again on each connection.
bool isHopByHopHeader(std::string_view name);

/// Returns @p headers without the hop-by-hop headers and without those that a Connection header lists.
std::vector<HttpHeader> endToEndHeaders(std::vector<HttpHeader> headers);

/// Returns @p text as the value of a header. What a value can't hold is percent-encoded: control characters, and spaces at its ends.
std::string headerValueOf(std::string_view text);

} // namespace banyankeel

#pragma once

// HTTP requests and responses as values, independent of any HTTP library.

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyankeel
{

struct HttpHeader {
    std::string name;
    std::string value;

    friend auto operator<=>(const HttpHeader &, const HttpHeader &) = default;
};

/// Returns the value of the first header named @p name, compared case-insensitively. The view is valid as long as @p headers.
std::optional<std::string_view> findHeader(const std::vector<HttpHeader> &headers, std::string_view name);

/// A request with its complete body.
struct HttpRequest {
    std::string method;
    /// Path and query, as in the request line.
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;

    friend auto operator<=>(const HttpRequest &, const HttpRequest &) = default;
};

/// A response with its complete body.
/// Range of the status codes that HTTP defines.
inline constexpr int LowestHttpStatus = 100;
inline constexpr int HighestHttpStatus = 599;

/// Whether @p status ends a request. Lower ones are interim, others are not defined.
constexpr bool isFinalStatus(int status)
{
    constexpr int LowestFinalStatus = 200;
    return status >= LowestFinalStatus && status <= HighestHttpStatus;
}

struct HttpResponse {
    int status;
    std::vector<HttpHeader> headers;
    std::string body;

    friend auto operator<=>(const HttpResponse &, const HttpResponse &) = default;
};

} // namespace banyankeel

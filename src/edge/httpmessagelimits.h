#pragma once

// Size limits of HTTP messages.

#include <compare>
#include <cstddef>

namespace banyankeel
{

/// Maximum sizes of the parts of an HTTP message.
struct HttpMessageLimits {
    /// The start line and all headers together.
    std::size_t headerBytes = std::size_t{16} * 1024;
    std::size_t bodyBytes = std::size_t{8} * 1024 * 1024;

    friend auto operator<=>(const HttpMessageLimits &, const HttpMessageLimits &) = default;
};

} // namespace banyankeel

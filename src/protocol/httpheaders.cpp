#include "protocol/httpheaders.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace banyankeel
{

namespace
{
constexpr std::array<std::string_view, 10> HopByHopHeaders{
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
};

/// Returns the names listed in the Connection headers.
std::vector<std::string> namesListedInConnection(const std::vector<HttpHeader> &headers)
{
    std::vector<std::string> names;
    for (const HttpHeader &it : headers) {
        if (!isSameHeaderName(it.name, "Connection")) {
            continue;
        }
        std::size_t begin = 0;
        while (begin < it.value.size()) {
            const std::size_t end = std::min(it.value.find(',', begin), it.value.size());
            const std::size_t first = it.value.find_first_not_of(" \t", begin);
            const std::size_t last = it.value.find_last_not_of(" \t", end - 1);
            if (first < end && last >= first && last != std::string::npos) {
                names.push_back(it.value.substr(first, last - first + 1));
            }
            begin = end + 1;
        }
    }
    return names;
}
} // namespace

std::string headerValueOf(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7f;
    std::string value;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const auto byte = static_cast<unsigned char>(text[n]);
        const bool isAtEnd = n == 0 || n + 1 == text.size();
        if (byte < FirstPrintable || byte == Delete || (byte == ' ' && isAtEnd)) {
            value += {'%', Digits[byte >> 4U], Digits[byte & 0xfU]};
        } else {
            value += text[n];
        }
    }
    return value;
}

bool isSameHeaderName(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool isHopByHopHeader(std::string_view name)
{
    return std::any_of(HopByHopHeaders.begin(), HopByHopHeaders.end(), [name](std::string_view it) { return isSameHeaderName(it, name); });
}

std::vector<HttpHeader> endToEndHeaders(std::vector<HttpHeader> headers)
{
    const std::vector<std::string> listed = namesListedInConnection(headers);
    std::erase_if(headers, [&listed](const HttpHeader &header) {
        return isHopByHopHeader(header.name)
            || std::any_of(listed.begin(), listed.end(), [&](const std::string &it) { return isSameHeaderName(it, header.name); });
    });
    return headers;
}

} // namespace banyankeel

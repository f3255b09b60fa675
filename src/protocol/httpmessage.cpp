#include "protocol/httpmessage.h"

#include <strings.h>

namespace banyankeel
{

std::optional<std::string_view> findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (header.name.size() == name.size() && strncasecmp(header.name.data(), name.data(), name.size()) == 0) {
            return header.value;
        }
    }
    return std::nullopt;
}

} // namespace banyankeel

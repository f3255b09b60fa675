#include "timeline/timelinedetail.h"

#include <algorithm>

namespace banyankeel
{

std::optional<std::string_view> detailValue(std::string_view detail, std::string_view key)
{
    while (!detail.empty()) {
        const std::string_view pair = detail.substr(0, detail.find(' '));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == key) {
            return pair.substr(equals + 1);
        }
        detail.remove_prefix(std::min(detail.size(), pair.size() + 1));
    }
    return std::nullopt;
}

} // namespace banyankeel

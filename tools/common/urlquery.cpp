#include "tools/common/urlquery.h"

#include <charconv>

namespace banyankeel
{

UrlQuery::UrlQuery(std::string_view target)
    : m_path(target.substr(0, target.find('?')))
    , m_query(m_path.size() == target.size() ? std::string_view() : target.substr(m_path.size() + 1))
{
}

std::optional<std::string_view> UrlQuery::value(std::string_view name) const
{
    std::string_view rest = m_query;
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        }
        rest.remove_prefix(pair.size() == rest.size() ? rest.size() : pair.size() + 1);
    }
    return std::nullopt;
}

std::optional<std::uint64_t> UrlQuery::number(std::string_view name) const
{
    const auto text = value(name);
    if (!text) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const char *end = text->data() + text->size();
    const auto [rest, ec] = std::from_chars(text->data(), end, number);
    return ec == std::errc() && rest == end ? std::optional(number) : std::nullopt;
}

} // namespace banyankeel

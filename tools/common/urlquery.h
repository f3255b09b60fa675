#pragma once

// The parts of a request target such as "/control/slow?ms=200".
//
//   const UrlQuery url("/control/slow?ms=200");
//   url.path();            // "/control/slow"
//   url.number("ms");      // 200

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyankeel
{

/// Knows no escapes: values of control requests need none. Immutable; views are valid as long as the text given.
class UrlQuery
{
public:
    explicit UrlQuery(std::string_view target);

    [[nodiscard]] std::string_view path() const
    {
        return m_path;
    }
    /// The value of the first parameter called @p name.
    [[nodiscard]] std::optional<std::string_view> value(std::string_view name) const;
    /// The same as a number. Absent if it is none.
    [[nodiscard]] std::optional<std::uint64_t> number(std::string_view name) const;

private:
    std::string_view m_path;
    std::string_view m_query;
};

} // namespace banyankeel

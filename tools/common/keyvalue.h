#pragma once

// Lines of key=value pairs, as all programs of the project print them.
//
//   std::cout << KeyValueLine("listening").add("address", endpoint.text()).text() << std::endl;

#include <cstdint>
#include <string>
#include <string_view>

namespace banyankeel
{

/// Builds one line. Values with spaces, quotes or '=' are quoted. Not thread-safe.
class KeyValueLine
{
public:
    KeyValueLine() = default;
    /// Begins with event=@p event.
    explicit KeyValueLine(std::string_view event);

    KeyValueLine &add(std::string_view key, std::string_view value);
    KeyValueLine &add(std::string_view key, std::uint64_t value);
    /// With @p digits digits behind the point.
    KeyValueLine &add(std::string_view key, double value, int digits);

    /// Without a line end.
    [[nodiscard]] const std::string &text() const
    {
        return m_text;
    }

private:
    std::string m_text;
};

} // namespace banyankeel

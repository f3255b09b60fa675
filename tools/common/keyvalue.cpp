#include "tools/common/keyvalue.h"

#include <fmt/format.h>

namespace banyankeel
{

namespace
{
bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

std::string quoted(std::string_view value)
{
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        // A line stays one line whatever a value holds.
        text += c == '\n' || c == '\r' ? ' ' : c;
    }
    return text + '"';
}
} // namespace

KeyValueLine::KeyValueLine(std::string_view event)
{
    add("event", event);
}

KeyValueLine &KeyValueLine::add(std::string_view key, std::string_view value)
{
    if (!m_text.empty()) {
        m_text += ' ';
    }
    m_text += key;
    m_text += '=';
    m_text += needsQuotes(value) ? quoted(value) : std::string(value);
    return *this;
}

KeyValueLine &KeyValueLine::add(std::string_view key, std::uint64_t value)
{
    return add(key, std::to_string(value));
}

KeyValueLine &KeyValueLine::add(std::string_view key, double value, int digits)
{
    return add(key, fmt::format("{:.{}f}", value, digits));
}

} // namespace banyankeel

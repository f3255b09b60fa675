#include "ctl/ctloutput.h"

#include <fmt/format.h>

#include <ostream>

namespace banyankeel
{

namespace
{
std::string_view ansiCode(Colour colour)
{
    switch (colour) {
    case Colour::Green:
        return "32";
    case Colour::Red:
        return "31";
    case Colour::Yellow:
        return "33";
    }
    return "0";
}
} // namespace

CtlOutput::CtlOutput(OutputFormat format, bool isTerminal, std::ostream &results, std::ostream &messages)
    : m_format(format)
    , m_isTerminal(isTerminal)
    , m_results(results)
    , m_messages(messages)
{
}

void CtlOutput::result(const nlohmann::json &json, const std::string &text)
{
    if (m_format == OutputFormat::Json) {
        m_results << json.dump() << '\n';
    } else {
        m_results << text;
    }
    m_results.flush();
}

void CtlOutput::progress(const std::string &line)
{
    m_messages << line << '\n';
    m_messages.flush();
}

std::string CtlOutput::coloured(std::string_view text, Colour colour) const
{
    if (!m_isTerminal || m_format == OutputFormat::Json) {
        return std::string(text);
    }
    return fmt::format("\x1b[{}m{}\x1b[0m", ansiCode(colour), text);
}

} // namespace banyankeel

#pragma once

// Prints results as text or JSON, and progress messages on a separate stream.
//
//   CtlOutput output(OutputFormat::Text, isTerminal, std::cout, std::cerr);
//   output.result({{"revision", 7}}, "published as revision 7\n");

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <string_view>

namespace banyankeel
{

enum class OutputFormat {
    Text,
    Json,
};

enum class Colour {
    Green,
    Red,
    Yellow,
};

/// Results go to one stream, progress and problems to another, so that results can be piped. Not thread-safe.
class CtlOutput
{
public:
    /// @param isTerminal whether @p results is a terminal that shows colours; @param results and @param messages must outlive this object.
    CtlOutput(OutputFormat format, bool isTerminal, std::ostream &results, std::ostream &messages);

    /// Prints @p json on one line or @p text unchanged, depending on the format.
    void result(const nlohmann::json &json, const std::string &text);
    /// Prints a progress message, which is not part of the result.
    void progress(const std::string &line);
    /// Returns @p text in @p colour for text output to a terminal, otherwise unchanged.
    [[nodiscard]] std::string coloured(std::string_view text, Colour colour) const;

private:
    OutputFormat m_format;
    bool m_isTerminal;
    std::ostream &m_results;
    std::ostream &m_messages;
};

} // namespace banyankeel

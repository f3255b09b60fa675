#pragma once

// Structured logging: writes each event to standard output as one line of key=value pairs.
//
//   logEvent(LogLevel::Info, "listening", {{"callers", endpoint.text()}});

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace banyankeel
{

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Key and value of a log line. Values that are empty or contain white space, control characters, quotes or "=" are quoted. Control characters are
/// escaped, line ends are written as spaces, and long values are cut.
using LogField = std::pair<std::string_view, std::string>;

/// The text of a line, without time and level.
std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields);

/// Configures logging for this process; events below @p minimumLevel are discarded. Call once, before the first event is logged.
void configureLogging(LogLevel minimumLevel);

/// Writes a line with the time, @p level, @p event and @p fields. Thread-safe.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace banyankeel

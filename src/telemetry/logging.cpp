#include "telemetry/logging.h"

#include <easylogging++.h>
#include <fmt/format.h>

#include <algorithm>

INITIALIZE_EASYLOGGINGPP

namespace banyankeel
{

namespace
{
// Other systems choose some of the names that are logged.
constexpr std::size_t MaxValueBytes = 4096;

bool isControl(char c)
{
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr char Delete = 0x7f;
    return static_cast<unsigned char>(c) < FirstPrintable || c == Delete;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=") != std::string_view::npos || std::ranges::any_of(value, isControl);
}

void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (const char c : value) {
        if (c == '\n' || c == '\r' || c == '\t') {
            line += ' ';
        } else if (isControl(c)) {
            line += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        } else {
            line += c == '"' || c == '\\' ? "\\" : "";
            line += c;
        }
    }
    line += '"';
}

void appendValue(std::string &line, std::string_view value)
{
    const std::string_view shown = value.substr(0, MaxValueBytes);
    if (needsQuotes(shown)) {
        appendQuoted(line, shown);
    } else {
        line += shown;
    }
    line += shown.size() < value.size() ? "..." : "";
}

void enableLevels(el::Configurations &configurations, LogLevel minimumLevel)
{
    const std::pair<LogLevel, el::Level> levels[] = {
        {LogLevel::Debug, el::Level::Debug},
        {LogLevel::Info, el::Level::Info},
        {LogLevel::Warning, el::Level::Warning},
        {LogLevel::Error, el::Level::Error},
    };
    for (const auto &[level, backendLevel] : levels) {
        configurations.set(backendLevel, el::ConfigurationType::Enabled, level >= minimumLevel ? "true" : "false");
    }
}
} // namespace

std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=";
    line += event;
    for (const auto &[key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        appendValue(line, value);
    }
    return line;
}

void configureLogging(LogLevel minimumLevel)
{
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    enableLevels(configurations, minimumLevel);
    el::Loggers::reconfigureLogger("default", configurations);
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const std::string line = formatLogLine(event, fields);
    switch (level) {
    case LogLevel::Debug:
        LOG(DEBUG) << line;
        return;
    case LogLevel::Info:
        LOG(INFO) << line;
        return;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        return;
    case LogLevel::Error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace banyankeel

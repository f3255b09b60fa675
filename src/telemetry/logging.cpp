#include "telemetry/logging.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace banyankeel
{

namespace
{
bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line += '\\';
        }
        line += c == '\n' || c == '\r' ? ' ' : c;
    }
    line += '"';
}

std::string formatLine(std::string_view event, std::initializer_list<LogField> fields)
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
    const std::string line = formatLine(event, fields);
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

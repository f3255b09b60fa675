#include "state/errors.h"
#include "tools/targetstandin/targetsettings.h"

namespace banyankeel
{

namespace
{
DownstreamCall parseOne(std::string_view text)
{
    const std::size_t equals = text.find('=');
    const std::string_view prefix = equals == std::string_view::npos ? "/" : text.substr(0, equals);
    std::string_view path = equals == std::string_view::npos ? text : text.substr(equals + 1);
    std::string_view method = "GET";
    if (const std::size_t space = path.find(' '); space != std::string_view::npos) {
        method = path.substr(0, space);
        path = path.substr(space + 1);
    }
    if (!prefix.starts_with('/') || !path.starts_with('/') || method.empty()) {
        throw SettingsError("--calls: \"" + std::string(text) + "\" found, <path>, <prefix>=<path> or <prefix>=<method> <path> allowed");
    }
    return {std::string(prefix), std::string(method), std::string(path)};
}
} // namespace

std::vector<DownstreamCall> DownstreamCall::parse(std::string_view text)
{
    std::vector<DownstreamCall> calls;
    while (!text.empty()) {
        const std::string_view part = text.substr(0, text.find(','));
        calls.push_back(parseOne(part));
        text.remove_prefix(part.size() == text.size() ? text.size() : part.size() + 1);
    }
    return calls;
}

} // namespace banyankeel

#include "node/targetannouncement.h"

#include <array>
#include <charconv>
#include <utility>

namespace banyankeel
{

namespace
{
constexpr std::array StateNames{
    std::pair{TargetState::Starting, std::string_view("starting")},
    std::pair{TargetState::Serving, std::string_view("serving")},
    std::pair{TargetState::Draining, std::string_view("draining")},
    std::pair{TargetState::Gone, std::string_view("gone")},
};

std::optional<TargetState> parseState(std::string_view name)
{
    for (const auto &[state, candidate] : StateNames) {
        if (candidate == name) {
            return state;
        }
    }
    return std::nullopt;
}

std::optional<std::uint32_t> parseCount(std::string_view text)
{
    std::uint32_t count = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), count);
    const bool isCount = ec == std::errc() && end == text.data() + text.size() && count > 0;
    return isCount ? std::optional(count) : std::nullopt;
}

void parseParameter(std::string_view parameter, TargetAnnouncementRequest &announcement)
{
    const std::size_t equals = parameter.find('=');
    if (equals == std::string_view::npos) {
        return;
    }
    const std::string_view name = parameter.substr(0, equals);
    const std::string_view value = parameter.substr(equals + 1);
    if (name == "state") {
        announcement.state = parseState(value);
    } else if (name == "slots") {
        announcement.slots = parseCount(value);
    } else if (name == "connections") {
        announcement.connections = parseCount(value);
    }
}
} // namespace

TargetAnnouncementRequest parseTargetAnnouncement(std::string_view target)
{
    TargetAnnouncementRequest announcement;
    const std::size_t queryStart = target.find('?');
    std::string_view rest = queryStart == std::string_view::npos ? std::string_view() : target.substr(queryStart + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        parseParameter(rest.substr(0, end), announcement);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return announcement;
}

std::string_view nameOf(TargetState state)
{
    for (const auto &[candidate, name] : StateNames) {
        if (candidate == state) {
            return name;
        }
    }
    return "unknown";
}

} // namespace banyankeel

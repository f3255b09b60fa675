#include "timeline/timelinecodec.h"

#include "state/errors.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace banyankeel
{

namespace
{
using Json = nlohmann::json;

Json toJson(const TimelineEvent &event)
{
    Json json{
        {"wall_us", event.wallTime.time_since_epoch().count()},
        {"time_ns", event.time.time_since_epoch().count()},
        {"node", event.node.text()},
        {"incarnation", static_cast<std::uint64_t>(event.incarnation)},
        {"sequence", event.sequence},
        {"kind", nameOf(event.note.kind)},
        {"detail", event.note.detail},
    };
    if (event.note.root) {
        json["root"] = event.note.root->text();
    }
    if (event.note.link != 0) {
        json["link"] = event.note.link;
    }
    return json;
}

TimelineNote noteFromJson(const Json &json)
{
    const auto kindText = json.at("kind").get<std::string>();
    const std::optional<TimelineKind> kind = parseTimelineKind(kindText);
    if (!kind) {
        throw ProtocolError(fmt::format("field kind: \"{}\" found, the name of an event kind allowed", kindText));
    }
    TimelineNote note{.kind = *kind, .root = std::nullopt, .detail = json.at("detail").get<std::string>()};
    if (json.contains("root")) {
        note.root = RequestId::parse(json.at("root").get<std::string>());
    }
    note.link = json.value("link", std::uint64_t{0});
    return note;
}

TimelineEvent eventFromJson(const Json &json)
{
    return {
        WallTime(std::chrono::microseconds(json.at("wall_us").get<std::int64_t>())),
        TimePoint(Duration(json.at("time_ns").get<std::int64_t>())),
        NodeId(json.at("node").get<std::string>()),
        static_cast<Incarnation>(json.at("incarnation").get<std::uint64_t>()),
        json.at("sequence").get<std::uint64_t>(),
        noteFromJson(json),
    };
}

TimelineEvent decodeLine(std::string_view line, std::size_t lineNumber)
{
    try {
        return eventFromJson(Json::parse(line));
    } catch (const Json::exception &error) {
        throw ProtocolError(fmt::format("timeline: line {}: {}", lineNumber, error.what()));
    } catch (const Error &error) {
        throw ProtocolError(fmt::format("timeline: line {}: {}", lineNumber, error.what()));
    }
}
} // namespace

std::string encodeTimeline(const std::vector<TimelineEvent> &events)
{
    constexpr int NoIndent = -1;
    std::string text;
    for (const TimelineEvent &event : events) {
        text += toJson(event).dump(NoIndent, ' ', false, Json::error_handler_t::replace);
        text += '\n';
    }
    return text;
}

std::vector<TimelineEvent> decodeTimeline(std::string_view text)
{
    std::vector<TimelineEvent> events;
    std::size_t lineNumber = 0;
    while (!text.empty()) {
        const std::string_view line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        ++lineNumber;
        if (!line.empty()) {
            events.push_back(decodeLine(line, lineNumber));
        }
    }
    return events;
}

} // namespace banyankeel

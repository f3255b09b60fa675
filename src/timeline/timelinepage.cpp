#include "timeline/timelinepage.h"

#include "timeline/timelinetext.h"

#include <fmt/format.h>

#include <algorithm>

namespace banyankeel
{

namespace
{
// Lengths in pixels.
constexpr std::size_t TimeWidth = 170;
constexpr std::size_t LaneWidth = 300;
constexpr std::size_t RowHeight = 20;
constexpr std::size_t HeaderHeight = 50;
constexpr std::size_t LaneOffset = 14;
constexpr std::size_t LabelOffset = 8;
constexpr std::size_t BaselineOffset = 4;
constexpr std::size_t MaxLabelCharacters = 44;

constexpr std::string_view Style = R"(<style>
body{font-family:system-ui,sans-serif;margin:1.5em;background:#fff;color:#222}
svg{background:#fff}
svg text{font-family:ui-monospace,monospace;font-size:11px;fill:#222}
svg .head{font-weight:bold;font-size:12px}
svg .time{fill:#777}
svg .lane{stroke:#ccc;stroke-width:1}
svg .arrow{stroke:#3465a4;stroke-width:1.2;fill:none;marker-end:url(#tip)}
svg .good{fill:#2e7d32}
svg .bad{fill:#c62828}
svg .change{fill:#ef6c00}
svg .plain{fill:#3465a4}
</style>
)";

constexpr std::string_view ArrowMarker = R"(<defs><marker id="tip" viewBox="0 0 8 8" refX="7" refY="4" markerWidth="7" markerHeight="7" orient="auto">)"
                                         R"(<path d="M0,0 L8,4 L0,8 z" fill="#3465a4"/></marker></defs>)";

std::string escapeXml(std::string_view text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            // XML 1.0 forbids control characters other than tab, line feed and carriage return; these are replaced as well.
            result += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
        }
    }
    return result;
}

std::string_view cssClassOf(TimelineKind kind)
{
    switch (kind) {
    case TimelineKind::Answered:
    case TimelineKind::TargetAnswered:
    case TimelineKind::Admitted:
        return "good";
    case TimelineKind::Refused:
    case TimelineKind::Cancelled:
    case TimelineKind::Quarantined:
    case TimelineKind::TargetEjected:
    case TimelineKind::PeerLost:
    case TimelineKind::LeaseLost:
        return "bad";
    case TimelineKind::ConfigurationApplied:
    case TimelineKind::KeyWithdrawn:
    case TimelineKind::LeaseTaken:
    case TimelineKind::TargetDraining:
    case TimelineKind::TargetReturned:
    case TimelineKind::Started:
    case TimelineKind::Stopping:
    case TimelineKind::PeerJoined:
        return "change";
    default:
        return "plain";
    }
}

std::size_t laneX(std::size_t process)
{
    return TimeWidth + process * LaneWidth + LaneOffset;
}

std::size_t rowY(std::size_t index)
{
    return HeaderHeight + index * RowHeight;
}

std::string truncateLabel(const std::string &text)
{
    return text.size() <= MaxLabelCharacters ? text : text.substr(0, MaxLabelCharacters - 3) + "...";
}

std::string laneSvg(const TimelineProcess &process, std::size_t index, std::size_t bottom)
{
    const std::size_t x = laneX(index);
    return fmt::format("<text class=\"head\" x=\"{}\" y=\"20\">{}<title>incarnation {}</title></text>"
                       "<line class=\"lane\" x1=\"{}\" y1=\"30\" x2=\"{}\" y2=\"{}\"/>\n",
                       x,
                       escapeXml(process.node.text()),
                       static_cast<std::uint64_t>(process.incarnation),
                       x,
                       x,
                       bottom);
}

std::string eventSvg(const MergedTimeline &timeline, std::size_t index)
{
    const MergedEvent &it = timeline.events[index];
    const TimelineNote &note = it.event.note;
    const std::chrono::duration<double, std::milli> elapsed = it.time - timeline.events.front().time;
    const std::size_t x = laneX(it.process);
    const std::size_t y = rowY(index);
    const std::string label = fmt::format("{} {}", nameOf(note.kind), note.detail);
    const std::string tooltip = fmt::format("{} {}{}", timeOfDayText(it.time), label, note.root ? " root=" + note.root->text() : std::string());
    return fmt::format("<text class=\"time\" x=\"4\" y=\"{0}\">{1:+.3f} ms</text>"
                       "<circle class=\"{2}\" cx=\"{3}\" cy=\"{4}\" r=\"4\"><title>{5}</title></circle>"
                       "<text x=\"{6}\" y=\"{0}\">{7}<title>{5}</title></text>\n",
                       y + BaselineOffset,
                       elapsed.count(),
                       cssClassOf(note.kind),
                       x,
                       y,
                       escapeXml(tooltip),
                       x + LabelOffset,
                       escapeXml(truncateLabel(label)));
}

std::string arrowSvg(const MergedTimeline &timeline, std::size_t index)
{
    const MergedEvent &it = timeline.events[index];
    if (!it.cause) {
        return {};
    }
    const MergedEvent &sent = timeline.events[*it.cause];
    return fmt::format(
        "<line class=\"arrow\" x1=\"{}\" y1=\"{}\" x2=\"{}\" y2=\"{}\"/>\n", laneX(sent.process), rowY(*it.cause), laneX(it.process), rowY(index));
}

std::string offsetsText(const MergedTimeline &timeline)
{
    if (timeline.processes.empty()) {
        return {};
    }
    std::string text = "<p>Clock offsets relative to the first process, estimated from message times:";
    for (const TimelineProcess &it : timeline.processes) {
        const std::chrono::duration<double, std::milli> offset = it.clockOffset;
        text += fmt::format(" {} {:+.3f} ms;", escapeXml(it.node.text()), offset.count());
    }
    text.back() = '.';
    return text + "</p>\n";
}
} // namespace

std::string timelineSvg(const MergedTimeline &timeline)
{
    const std::size_t shownEvents = std::min(timeline.events.size(), MaxPageEvents);
    const std::size_t width = TimeWidth + std::max<std::size_t>(1, timeline.processes.size()) * LaneWidth;
    const std::size_t height = rowY(shownEvents) + RowHeight;
    std::string svg = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" viewBox=\"0 0 {0} {1}\">\n", width, height);
    svg += Style;
    svg += ArrowMarker;
    for (std::size_t i = 0; i < timeline.processes.size(); ++i) {
        svg += laneSvg(timeline.processes[i], i, height);
    }
    for (std::size_t i = 0; i < shownEvents; ++i) {
        svg += arrowSvg(timeline, i);
    }
    for (std::size_t i = 0; i < shownEvents; ++i) {
        svg += eventSvg(timeline, i);
    }
    return svg + "</svg>\n";
}

std::string timelinePage(const MergedTimeline &timeline, std::string_view title)
{
    const std::string escapedTitle = escapeXml(title);
    std::string page =
        fmt::format("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title></head><body>\n<h1>{0}</h1>\n", escapedTitle);
    page += fmt::format("<p>{} events of {} processes.", timeline.events.size(), timeline.processes.size());
    if (timeline.events.size() > MaxPageEvents) {
        page += fmt::format(" Only the first {} are shown.", MaxPageEvents);
    }
    page += "</p>\n" + offsetsText(timeline) + timelineSvg(timeline);
    return page + "</body></html>\n";
}

} // namespace banyankeel

#include "timeline/timelinetext.h"

#include <fmt/format.h>

#include <algorithm>

namespace banyankeel
{

namespace
{
// Leading digits of a root id that are shown; enough to distinguish the requests of one listing.
constexpr std::size_t RootPrefixDigits = 8;

std::string rootPrefix(const TimelineNote &note)
{
    return note.root ? note.root->text().substr(0, RootPrefixDigits) : std::string(RootPrefixDigits, '-');
}

std::size_t maxNodeNameLength(const MergedTimeline &timeline)
{
    std::size_t width = 0;
    for (const TimelineProcess &it : timeline.processes) {
        width = std::max(width, it.node.text().size());
    }
    return width;
}
} // namespace

std::string timeOfDayText(WallTime time)
{
    const auto sinceMidnight = time - std::chrono::floor<std::chrono::days>(time);
    const std::chrono::hh_mm_ss parts(sinceMidnight);
    return fmt::format("{:02}:{:02}:{:02}.{:06}", parts.hours().count(), parts.minutes().count(), parts.seconds().count(), parts.subseconds().count());
}

std::string timelineText(const MergedTimeline &timeline)
{
    std::string text;
    const std::size_t width = maxNodeNameLength(timeline);
    for (const MergedEvent &it : timeline.events) {
        const std::chrono::duration<double, std::milli> elapsed = it.time - timeline.events.front().time;
        const TimelineNote &note = it.event.note;
        text += fmt::format("{} {:>+12.3f}ms {:<{}} {:<21} {} {}",
                            timeOfDayText(it.time),
                            elapsed.count(),
                            it.event.node.text(),
                            width,
                            nameOf(note.kind),
                            rootPrefix(note),
                            note.detail);
        if (it.cause) {
            text += fmt::format(" <- {}", timeline.events[*it.cause].event.node.text());
        }
        text += '\n';
    }
    return text;
}

} // namespace banyankeel

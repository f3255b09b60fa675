#include "state/durationtext.h"

#include <array>
#include <charconv>

namespace banyankeel
{

namespace
{
struct Unit {
    std::string_view name;
    Duration length;
};

// In descending order, so that the first unit that divides a duration gives the shortest text.
constexpr std::array Units{
    Unit{"d", std::chrono::hours(24)},
    Unit{"h", std::chrono::hours(1)},
    Unit{"m", std::chrono::minutes(1)},
    Unit{"s", std::chrono::seconds(1)},
    Unit{"ms", std::chrono::milliseconds(1)},
    Unit{"us", std::chrono::microseconds(1)},
    Unit{"ns", std::chrono::nanoseconds(1)},
};

constexpr Duration MaxDuration = std::chrono::hours(100L * 365 * 24);
} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    std::uint64_t count = 0;
    const char *end = text.data() + text.size();
    const auto [unitBegin, ec] = std::from_chars(text.data(), end, count);
    if (ec != std::errc()) {
        return std::nullopt;
    }
    const std::string_view unitName(unitBegin, static_cast<std::size_t>(end - unitBegin));
    for (const Unit &unit : Units) {
        if (unit.name == unitName) {
            const auto maxCount = static_cast<std::uint64_t>(MaxDuration / unit.length);
            return count > maxCount ? std::nullopt : std::optional(unit.length * static_cast<std::int64_t>(count));
        }
    }
    return std::nullopt;
}

std::string durationText(Duration duration)
{
    if (duration == Duration::zero()) {
        return "0s";
    }
    for (const Unit &unit : Units) {
        if (duration % unit.length == Duration::zero()) {
            return std::to_string(duration / unit.length) + std::string(unit.name);
        }
    }
    return std::to_string(duration.count()) + "ns";
}

} // namespace banyankeel

#include "tools/faultproxy/linkrules.h"

#include "state/durationtext.h"
#include "state/errors.h"

#include <array>
#include <charconv>
#include <limits>

namespace banyankeel
{

namespace
{
constexpr unsigned PerMille = 1000;
constexpr std::array SwallowedNames{"none", "requests", "answers", "both"};

[[noreturn]] void fail(std::string_view name, std::string_view value, std::string_view allowed)
{
    throw SettingsError("rule " + std::string(name) + ": \"" + std::string(value) + "\" found, " + std::string(allowed) + " allowed");
}

std::uint64_t numberOf(std::string_view name, std::string_view value, std::uint64_t highest)
{
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (ec != std::errc() || end != value.data() + value.size() || number > highest) {
        fail(name, value, "a whole number from 0 to " + std::to_string(highest));
    }
    return number;
}

unsigned chanceOf(std::string_view name, std::string_view value)
{
    return static_cast<unsigned>(numberOf(name, value, PerMille));
}

Duration durationOf(std::string_view name, std::string_view value)
{
    const auto duration = parseDuration(value);
    if (!duration) {
        fail(name, value, "a duration such as 8ms");
    }
    return *duration;
}

bool flagOf(std::string_view name, std::string_view value)
{
    if (value != "true" && value != "false") {
        fail(name, value, "true or false");
    }
    return value == "true";
}

Swallowed swallowedOf(std::string_view name, std::string_view value)
{
    for (std::size_t i = 0; i < SwallowedNames.size(); ++i) {
        if (value == SwallowedNames[i]) {
            return static_cast<Swallowed>(i);
        }
    }
    fail(name, value, "none, requests, answers or both");
}
} // namespace

const std::vector<std::string> &LinkRules::names()
{
    static const std::vector<std::string> All{
        "delay", "jitter", "bits_per_second", "cut", "swallow", "reset_per_mille", "reorder_per_mille", "duplicate_per_mille", "lose_answer_per_mille"};
    return All;
}

void LinkRules::set(std::string_view name, std::string_view value)
{
    if (name == "delay") {
        delay = durationOf(name, value);
    } else if (name == "jitter") {
        jitter = durationOf(name, value);
    } else if (name == "bits_per_second") {
        bitsPerSecond = numberOf(name, value, std::numeric_limits<std::uint64_t>::max());
    } else if (name == "cut") {
        isCut = flagOf(name, value);
    } else if (name == "swallow") {
        swallowed = swallowedOf(name, value);
    } else if (name == "reset_per_mille") {
        resetPerMille = chanceOf(name, value);
    } else if (name == "reorder_per_mille") {
        reorderPerMille = chanceOf(name, value);
    } else if (name == "duplicate_per_mille") {
        duplicatePerMille = chanceOf(name, value);
    } else if (name == "lose_answer_per_mille") {
        loseAnswerPerMille = chanceOf(name, value);
    } else {
        fail(name, value, "a known rule");
    }
}

} // namespace banyankeel

#pragma once

// Parses and formats durations: a whole number followed by one of the units ns, us, ms, s, m, h or d.
//
//   std::optional<Duration> limit = parseDuration("200ms");
//   std::string text = durationText(std::chrono::seconds(5));   // "5s"

#include "state/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyankeel
{

/// Returns nullopt unless @p text is a non-negative whole number with a unit, of at most 100 years.
std::optional<Duration> parseDuration(std::string_view text);

/// Returns the shortest text that parseDuration() parses as @p duration, which must not be negative.
std::string durationText(Duration duration);

} // namespace banyankeel

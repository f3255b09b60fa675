#pragma once

// Looks up values in the key=value pairs of an event's detail.
//
//   detailValue("service=archiv verdict=ran", "verdict");   // "ran"

#include <optional>
#include <string_view>

namespace banyankeel
{

/// Returns the value of the first pair with @p key, or nothing if there is none. The result refers to the memory of @p detail.
std::optional<std::string_view> detailValue(std::string_view detail, std::string_view key);

} // namespace banyankeel

#pragma once

// Parses a target's announcement to its own node: POST /banyankeel/announce?state=draining&slots=90&connections=630

#include "state/targetrecord.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace banyankeel
{

/// Parameters given by the target.
struct TargetAnnouncementRequest {
    std::optional<TargetState> state;
    std::optional<std::uint32_t> slots;
    std::optional<std::uint32_t> connections;
};

/// Parses the query of the request target @p target. Missing and invalid parameters are left empty.
TargetAnnouncementRequest parseTargetAnnouncement(std::string_view target);

/// Returns "starting", "serving", "draining" or "gone".
std::string_view nameOf(TargetState state);

} // namespace banyankeel

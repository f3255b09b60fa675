#pragma once

// Renders a merged timeline as text.
//
//   std::cout << timelineText(merged);

#include "state/time.h"
#include "timeline/mergedtimeline.h"

#include <string>

namespace banyankeel
{

/// Renders one line for each event: time of day in UTC, milliseconds since the first event, node, kind, root, detail, and the node that sent the
/// message received.
std::string timelineText(const MergedTimeline &timeline);

/// Formats the time of day in UTC as hh:mm:ss.uuuuuu.
std::string timeOfDayText(WallTime time);

} // namespace banyankeel

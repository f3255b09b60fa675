#pragma once

// Renders a merged timeline as a self-contained HTML page: processes are lanes, messages are arrows between them.
//
//   std::ofstream("call.html") << timelinePage(merged, "one schedule check");

#include "timeline/mergedtimeline.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace banyankeel
{

/// Maximum number of events on one page. Later events are omitted; the page states the total and how many are shown.
inline constexpr std::size_t MaxPageEvents = 5000;

/// Renders the diagram alone, as SVG. Each event takes one row, in order from top to bottom.
std::string timelineSvg(const MergedTimeline &timeline);

/// Renders an HTML page with the title, the clock offsets and the diagram. All text of events is escaped.
std::string timelinePage(const MergedTimeline &timeline, std::string_view title);

} // namespace banyankeel

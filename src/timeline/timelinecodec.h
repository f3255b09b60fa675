#pragma once

// Encodes and decodes timelines as JSON lines, one object for each event.
//
//   std::string text = encodeTimeline(ring.events());
//   std::vector<TimelineEvent> events = decodeTimeline(text);

#include "state/timelineevent.h"

#include <string>
#include <string_view>
#include <vector>

namespace banyankeel
{

/// Writes one line for each event, with the fields wall_us, time_ns, node, incarnation, sequence, kind, root, link and detail; root and link are
/// omitted where the event has none. Invalid UTF-8 in the detail is replaced by U+FFFD.
std::string encodeTimeline(const std::vector<TimelineEvent> &events);

/// Decodes the output of encodeTimeline(), also the concatenated output of several nodes. Skips empty lines.
/// @throws ProtocolError with the line number and the cause if a line is malformed.
std::vector<TimelineEvent> decodeTimeline(std::string_view text);

} // namespace banyankeel

#pragma once

// Encodes target departures in messages and store rows.

#include "protocol/nodereport.h"

#include <vector>

namespace banyankeel
{

class WireReader;
class WireWriter;

/// A target departs at most once per boot, and only recent departures are needed.
inline constexpr std::size_t MaxLeavings = 16;

void writeLeavings(WireWriter &writer, const std::vector<TargetLeaving> &leavings);
/// @throws ProtocolError on malformed values.
std::vector<TargetLeaving> readLeavings(WireReader &reader);

} // namespace banyankeel

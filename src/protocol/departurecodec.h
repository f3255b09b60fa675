#pragma once

// Encodes target departures in messages and store rows.

#include "protocol/nodereport.h"

#include <vector>

namespace banyankeel
{

class WireReader;
class WireWriter;

/// A target departs at most once per boot, and only recent departures are needed.
inline constexpr std::size_t MaxDepartures = 16;

void writeDepartures(WireWriter &writer, const std::vector<TargetDeparture> &departures);
/// @throws ProtocolError on malformed values.
std::vector<TargetDeparture> readDepartures(WireReader &reader);

} // namespace banyankeel

#pragma once

// Encodes what is known about a target in messages and store rows: its boot, its departures and its rate limit.

#include "protocol/nodereport.h"

#include <optional>
#include <vector>

namespace banyankeel
{

class WireReader;
class WireWriter;

/// How many departures of one target a process keeps, and therefore sends. A target departs at most once per boot, and only recent departures are needed.
inline constexpr std::size_t MaxDepartures = 16;

void writeDepartures(WireWriter &writer, const std::vector<TargetDeparture> &departures);
/// @throws ProtocolError on malformed values.
std::vector<TargetDeparture> readDepartures(WireReader &reader);

void writeBoot(WireWriter &writer, const TargetBoot &boot);
/// @throws ProtocolError on malformed values.
TargetBoot readBoot(WireReader &reader);

/// @param ratePerSecond absent for no limit.
void writeRate(WireWriter &writer, std::optional<double> ratePerSecond);
/// @throws ProtocolError on malformed values, and if the rate is negative or not finite.
std::optional<double> readRate(WireReader &reader);

} // namespace banyankeel

#pragma once

// Parses times given on the command line.
//
//   WallTime from = parseTime("10m", now);

#include "state/time.h"

#include <string>

namespace banyankeel
{

/// Parses an absolute time such as "2026-01-31T12:00:00Z", or a duration such as "10m" before @p now. @throws CtlError on any other text.
WallTime parseTime(const std::string &text, WallTime now);

} // namespace banyankeel

#pragma once

// Commands that inspect and control nodes.

#include "ctl/ctlcontext.h"
#include "timeline/timelinefilter.h"

#include <string>
#include <vector>

namespace banyankeel
{

struct TimelineArguments {
    TimelineFilter filter;
    /// Files with recorded events to read instead of querying nodes.
    std::vector<std::string> inputs;
    /// Output files for the HTML page, the SVG drawing and the recorded events; not written if empty.
    std::string pageFile;
    std::string svgFile;
    std::string recordFile;
};

/// Each command prints its result and throws CtlError on failure.
void statusCommand(CtlContext &context);
/// @param wait whether to wait until the node reports that it is draining.
void drainCommand(CtlContext &context, const std::string &node, bool wait, unsigned waitSeconds);
void timelineCommand(CtlContext &context, const TimelineArguments &arguments);
void quarantineListCommand(CtlContext &context);
/// Releases the fingerprint on every node that has quarantined it.
void quarantineReleaseCommand(CtlContext &context, const std::string &fingerprint);

} // namespace banyankeel

#pragma once

// Formats the status of the nodes of a fleet.
//
//   std::cout << statusText(fleet.queryNodes(), output);

#include "ctl/ctloutput.h"
#include "ctl/nodereport.h"

#include <string>
#include <vector>

namespace banyankeel
{

/// Formats one line per node, grouped by region and failure domain, followed by the number of nodes at each revision.
/// @param views sorted by region and failure domain, as returned by FleetView::queryNodes().
std::string statusText(const std::vector<NodeView> &views, const CtlOutput &output);

} // namespace banyankeel

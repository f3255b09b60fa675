#pragma once

// Divides an organisation's rate and burst among the regions.

#include "coordination/quota/quotaaccount.h"
#include "state/configurationobjects.h"

#include <cstddef>

namespace banyankeel
{

/// The share of @p limit of region @p region (an index) out of @p regions. The shares add up to the limit. A burst too small to be divided is
/// assigned to one region, selected by a hash of the organisation's name.
QuotaAmount quotaShare(const OrganisationId &organisation, const Limit &limit, std::size_t region, std::size_t regions);

} // namespace banyankeel

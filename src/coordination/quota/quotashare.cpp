#include "coordination/quota/quotashare.h"

#include <xxhash.h>

namespace banyankeel
{

namespace
{
// Below this, a region could not lend a token to two nodes at once.
constexpr double MinBurstPerRegion = 2.0;
} // namespace

QuotaAmount quotaShare(const OrganisationId &organisation, const Limit &limit, std::size_t region, std::size_t regions)
{
    const auto count = static_cast<double>(regions);
    if (limit.burst >= MinBurstPerRegion * count) {
        return {limit.ratePerSecond / count, limit.burst / count};
    }
    const std::size_t home = XXH3_64bits(organisation.text().data(), organisation.text().size()) % regions;
    return region == home ? QuotaAmount{limit.ratePerSecond, limit.burst} : QuotaAmount{};
}

} // namespace banyankeel

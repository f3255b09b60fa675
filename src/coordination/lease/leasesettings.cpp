#include "coordination/lease/leasesettings.h"

#include "state/errors.h"

#include <algorithm>
#include <string>

namespace banyankeel
{

namespace
{
void require(bool isInRange, const char *field, const char *allowed)
{
    if (!isInRange) {
        throw SettingsError(std::string("lease settings: field ") + field + " is out of range: must be " + allowed);
    }
}
} // namespace

Duration LeaseSettings::withDriftMargin(Duration term) const
{
    // The holder's clock may run slow by the bound while the waiting node's clock runs fast by it.
    const double factor = (1.0 + clockDrift) / (1.0 - clockDrift);
    return Duration(static_cast<std::int64_t>(static_cast<double>(term.count()) * factor) + 1);
}

Duration LeaseSettings::responseTimeout() const
{
    return promiseTerm * 2 / 3;
}

void LeaseSettings::check() const
{
    require(shortTerm > Duration(0), "shortTerm", "above 0");
    require(longTerm >= shortTerm, "longTerm", "at least the short term");
    require(heartbeatInterval > Duration(0) && heartbeatInterval * 2 <= promiseTerm, "heartbeatInterval", "above 0 and at most half the promise term");
    require(clockDrift >= 0.0 && clockDrift < 0.1, "clockDrift", "at least 0 and below 0.1");
    require(successors <= 4, "successors", "between 0 and 4");
    require(candidates >= 1, "candidates", "at least 1");
}

} // namespace banyankeel

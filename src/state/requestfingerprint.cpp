#include "state/requestfingerprint.h"

#include <xxhash.h>

namespace banyankeel
{

RequestFingerprint RequestFingerprint::of(OrganisationId organisation, RouteName route, std::string_view method, std::string_view target, std::string_view body)
{
    // The hash of each part seeds the next, so that moving text from one part to another changes the result.
    const std::uint64_t methodHash = XXH3_64bits(method.data(), method.size());
    const std::uint64_t targetHash = XXH3_64bits_withSeed(target.data(), target.size(), methodHash);
    const std::uint64_t bodyHash = XXH3_64bits_withSeed(body.data(), body.size(), targetHash);
    return {std::move(organisation), std::move(route), bodyHash};
}

} // namespace banyankeel

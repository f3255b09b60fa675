#include "state/requestkind.h"

#include <xxhash.h>

namespace banyankeel
{

RequestKind requestKindOf(const RouteName &route)
{
    return static_cast<RequestKind>(XXH32(route.text().data(), route.text().size(), 0));
}

} // namespace banyankeel

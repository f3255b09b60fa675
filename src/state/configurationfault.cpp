#include "state/configurationfault.h"

#include <fmt/format.h>

namespace banyankeel
{

std::string ConfigurationFault::text() const
{
    return fmt::format("{} {}: field {}: found \"{}\", allowed: {}", nameOf(object.kind), object.name, field, found, allowed);
}

} // namespace banyankeel

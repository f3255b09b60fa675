#pragma once

// A validation error in a configuration set.
//
//   ConfigurationFault fault{{ObjectKind::Route, "issue"}, "service", "zertifkat", "the name of a service"};
//   std::string line = fault.text();   // route issue: field service: found "zertifkat", allowed: the name of a service

#include "state/configurationobjects.h"

#include <compare>
#include <string>

namespace banyankeel
{

/// The object and field at fault, the value found and the values allowed. Not modified after construction.
struct ConfigurationFault {
    ObjectName object;
    std::string field;
    std::string found;
    std::string allowed;

    /// Formats the fault as a single line for operators.
    [[nodiscard]] std::string text() const;

    friend auto operator<=>(const ConfigurationFault &, const ConfigurationFault &) = default;
};

} // namespace banyankeel

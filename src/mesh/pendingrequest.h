#pragma once

// Describes a request that has not ended, for logs.

#include "state/time.h"

#include <string>
#include <string_view>

namespace banyankeel
{

struct PendingRequest {
    std::string requestId;
    std::string route;
    /// What it waits for, such as "answer" or "slot".
    std::string_view waitsFor;
    /// The node of its target.
    std::string node;
    Duration age;
};

} // namespace banyankeel

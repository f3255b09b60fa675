#pragma once

// The rules that a publish relies on for its guarantees. Tests override one to show that their checkers detect the violation.

#include "coordination/configuration/configurationrows.h"
#include "protocol/storemessages.h"
#include "state/identifier.h"

#include <functional>
#include <optional>

namespace banyankeel
{

/// Pure functions; only the defaults are safe.
struct PublishRules {
    /// The version that a write expects of a row that had @p version when read.
    std::function<std::optional<RowVersion>(RowVersion version)> expectedVersion = [](RowVersion version) { return std::optional(version); };
    /// Whether a change row was written by @p operation.
    std::function<bool(const ChangeRow &row, const OperationId &operation)> isOwnChange = [](const ChangeRow &row, const OperationId &operation) {
        return row.operation == operation;
    };
    /// Whether a failed write may have taken effect.
    std::function<bool(RunState state)> mayHaveWritten = [](RunState state) { return state != RunState::NotRun; };
};

} // namespace banyankeel

#pragma once

// Change feed of a table, for platform stores that provide one.

#include "protocol/storemessages.h"
#include "state/time.h"

#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace banyankeel
{

/// Long poll for rows of a table that changed after @p after; answered immediately if there are any. Costs one read.
struct FollowRows {
    std::string table;
    RowVersion after;
    /// Time after which the request is answered without rows.
    Duration wait;

    friend auto operator<=>(const FollowRows &, const FollowRows &) = default;
};

/// Answers FollowRows: the changed rows without the removed ones, and the version from which to continue.
struct RowsChanged {
    std::vector<Row> rows;
    RowVersion newest;

    friend auto operator<=>(const RowsChanged &, const RowsChanged &) = default;
};

/// Answers FollowRows if the store no longer has all changes since the requested version: the table has to be read again.
struct HistoryLost {
    friend auto operator<=>(const HistoryLost &, const HistoryLost &) = default;
};

using FollowReply = std::variant<RowsChanged, HistoryLost, StoreFailure>;

} // namespace banyankeel

#pragma once

// Batching, retry and retention settings of claims.

#include "protocol/storemessages.h"
#include "state/time.h"

#include <cstddef>
#include <functional>

namespace banyankeel
{

struct ClaimSettings {
    /// How long a claim is kept. Set from the fleet rules.
    Duration retention = std::chrono::hours(24);
    /// Added to the retention, since the wall clocks of successive holders differ.
    Duration retentionMargin = std::chrono::minutes(10);
    /// A claim without an answer is abandoned after this time.
    Duration timeLimit = std::chrono::seconds(3);
    Duration resendInterval = std::chrono::milliseconds(200);
    /// The minimum time between two log rows of one shard. A claim on an idle shard is written immediately.
    Duration commitInterval = std::chrono::milliseconds(80);
    std::size_t batchSize = 512;
    /// The maximum number of claims queued for commit per shard, and of undecided claims per claimant node.
    std::size_t queueSize = 8192;
    /// The maximum number of claims per shard. No more are granted until older ones expire.
    std::size_t shardCapacity = 400'000;
    /// How many small log rows are merged into one.
    std::size_t mergeRowCount = 16;
    Duration maintenanceInterval = std::chrono::seconds(1);
    /// Test hook: the writes to send for a transaction. Any value other than all of them unchanged is unsafe.
    std::function<std::vector<RowWrite>(std::vector<RowWrite>)> transaction = [](std::vector<RowWrite> writes) { return writes; };
    /// Test hook: whether @p reply proves that a transaction was committed. Accepting any reply other than RowsWritten is unsafe.
    std::function<bool(const StoreReply &reply)> isDurable = [](const StoreReply &reply) { return std::holds_alternative<RowsWritten>(reply); };
};

} // namespace banyankeel

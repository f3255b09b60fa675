#pragma once

// Timing and size settings of shard leases. All nodes of a fleet must use the same values.

#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace banyankeel
{

/// A holder measures a term from the time it sent the request. Every other node measures from a later time and extends the term by the
/// clock drift bound, so the holder's lease always ends first.
struct LeaseSettings {
    /// The validity of a lease after a row write, without promises.
    Duration shortTerm = std::chrono::seconds(8);
    /// The maximum validity of a lease after a row write while all successors keep promising. Longer than the longest store outage to be
    /// tolerated.
    Duration longTerm = std::chrono::minutes(75);
    /// How long a successor does not take over after a promise.
    Duration promiseTerm = std::chrono::milliseconds(1500);
    Duration heartbeatInterval = std::chrono::milliseconds(400);
    /// The bound on clock rate error, as a fraction: a clock runs at 1 - clockDrift to 1 + clockDrift of real time.
    double clockDrift = 1e-3;
    /// How often candidates and holders read the lease row.
    Duration readInterval = std::chrono::seconds(20);
    Duration retryInterval = std::chrono::milliseconds(500);
    /// How long a node waits after startup, to discover its peers, before its first write. Each lower rank waits one more such interval.
    Duration startupDelay = std::chrono::seconds(1);
    /// How long an unresponsive successor is not selected again.
    Duration unresponsiveExclusion = std::chrono::seconds(30);
    Duration pullInterval = std::chrono::seconds(30);
    std::size_t successors = 2;
    std::size_t candidates = 3;
    /// How many peers a node notifies of a new holder.
    std::size_t gossipFanout = 3;
    /// Test hook: the time from which a holder counts a promise. Any value other than @p sent is unsafe.
    std::function<TimePoint(TimePoint sent, TimePoint received)> promiseStart = [](TimePoint sent, TimePoint) { return sent; };

    /// How long after its last promise a successor counts as unresponsive. Shorter than the promise term, to leave time for a row write.
    [[nodiscard]] Duration responseTimeout() const;
    /// How long a node other than the holder must wait for @p term to end on the holder's clock.
    [[nodiscard]] Duration withDriftMargin(Duration term) const;
    /// @throws SettingsError that names the field that is out of range.
    void check() const;
};

} // namespace banyankeel

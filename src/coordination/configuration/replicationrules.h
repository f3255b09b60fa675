#pragma once

// The rules that configuration replication relies on for its guarantees. Tests override one to show that their checkers detect the
// violation.

#include "protocol/setdigest.h"
#include "state/configurationset.h"
#include "state/time.h"

#include <functional>

namespace banyankeel
{

/// Pure functions; only the defaults are safe.
struct ReplicationRules {
    /// Whether a node at revision @p current applies revision @p offered.
    std::function<bool(Revision current, Revision offered)> isNewer = [](Revision current, Revision offered) { return offered > current; };
    /// Whether a starting node may serve. @p hasQueried is set once it has queried the store or its peers; @p highestKnown is the highest
    /// revision it has learned of.
    std::function<bool(bool hasQueried, Revision current, Revision highestKnown)> mayServe = [](bool hasQueried, Revision current, Revision highestKnown) {
        return hasQueried && current >= highestKnown;
    };
    /// The time that an answer confirms; the confirmation was @p age old when the answer was sent. The answer may have been buffered while
    /// a process was paused, so only the time of the request is a safe bound.
    std::function<TimePoint(TimePoint askedAt, TimePoint receivedAt, Duration age)> confirmedAt =
        [](TimePoint askedAt, TimePoint /*receivedAt*/, Duration age) { return askedAt - age; };
    /// Whether a set assembled from messages equals the sender's set.
    std::function<bool(const SetDigest &found, const SetDigest &expected)> isIntact = [](const SetDigest &found, const SetDigest &expected) {
        return found == expected;
    };
};

} // namespace banyankeel

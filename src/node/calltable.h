#pragma once

// Attempts that this node has sent and that are awaiting an answer.
//
//   table.insert(attempt, call, peer, deadline);
//   if (auto call = table.take(attempt)) ...   // the caller now has exclusive access to the call

#include "protocol/callmessages.h"
#include "state/endpoint.h"
#include "state/time.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyankeel
{

struct EntryCall;

/// Thread-safe. Each attempt is taken exactly once: when its answer arrives, its peer is lost or its deadline expires.
class CallTable
{
public:
    using CallPointer = std::shared_ptr<EntryCall>;

    void insert(AttemptId attempt, CallPointer call, const Endpoint &peer, TimePoint deadline);
    /// Returns null if the attempt has already ended, for example if its answer arrives late.
    CallPointer take(AttemptId attempt);
    /// Takes every attempt that was sent to @p peer.
    std::vector<CallPointer> takeSentTo(const Endpoint &peer);
    /// Takes every attempt whose deadline is at or before @p now.
    std::vector<CallPointer> takeExpired(TimePoint now);
    [[nodiscard]] std::size_t size() const;

private:
    struct Entry {
        CallPointer call;
        Endpoint peer;
        TimePoint deadline;
    };

    CallPointer takeLocked(AttemptId attempt);

    mutable std::mutex m_mutex;
    std::unordered_map<AttemptId, Entry> m_entries;
    std::multimap<TimePoint, AttemptId> m_deadlines;
};

} // namespace banyankeel

#pragma once

// Computes how long a holder's lease is valid, from its own row writes and its successors' promises only.
//
//   HeldLease lease(Fence{3}, sentAt, successors);
//   lease.recordPromise(endpoint, heartbeatSentAt);
//   if (now < lease.validUntil(settings)) ...

#include "coordination/lease/leasesettings.h"
#include "state/shard.h"

#include <map>
#include <vector>

namespace banyankeel
{

/// A lease as seen by its holder. Not thread-safe.
class HeldLease
{
public:
    /// @param sentAt when the write request that created the lease row was sent.
    HeldLease(Fence fence, TimePoint sentAt, std::vector<Peer> successors);

    [[nodiscard]] Fence fence() const
    {
        return m_fence;
    }
    [[nodiscard]] TimePoint rowWriteSentAt() const
    {
        return m_rowWriteSentAt;
    }
    [[nodiscard]] const std::vector<Peer> &successors() const
    {
        return m_successors;
    }
    /// The successors whose promises are required: those in the lease row and those in a pending row write, which may already be in effect.
    [[nodiscard]] std::vector<Peer> requiredSuccessors() const;
    /// Records that a row with @p successors is being written. The write may take effect at any time until rowWriteSucceeded().
    void rowWriteStarted(std::vector<Peer> successors);
    /// Records that the pending row write, sent at @p sentAt, took effect.
    void rowWriteSucceeded(TimePoint sentAt, std::vector<Peer> successors);
    /// Records a promise of @p successor, whose term starts at @p start.
    void recordPromise(const Endpoint &successor, TimePoint start);
    /// The start of the last promise of @p successor; TimePoint::min() if there is none.
    [[nodiscard]] TimePoint lastPromiseStart(const Endpoint &successor) const;

    /// The time until which all required successors have promised not to take over; TimePoint::min() if a promise is missing.
    [[nodiscard]] TimePoint promisedUntil(const LeaseSettings &settings) const;
    /// The end of the lease on the holder's own clock.
    [[nodiscard]] TimePoint validUntil(const LeaseSettings &settings) const;

private:
    Fence m_fence;
    TimePoint m_rowWriteSentAt;
    std::vector<Peer> m_successors;
    std::vector<Peer> m_pendingSuccessors;
    bool m_isWritePending = false;
    std::map<Endpoint, TimePoint> m_promises;
};

} // namespace banyankeel

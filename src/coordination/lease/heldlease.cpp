#include "coordination/lease/heldlease.h"

#include <algorithm>

namespace banyankeel
{

HeldLease::HeldLease(Fence fence, TimePoint sentAt, std::vector<Peer> successors)
    : m_fence(fence)
    , m_rowWriteSentAt(sentAt)
    , m_successors(std::move(successors))
{
}

std::vector<Peer> HeldLease::requiredSuccessors() const
{
    std::vector<Peer> required = m_successors;
    for (const Peer &it : m_pendingSuccessors) {
        const auto isSameEndpoint = [&it](const Peer &other) { return other.endpoint == it.endpoint; };
        if (std::none_of(required.begin(), required.end(), isSameEndpoint)) {
            required.push_back(it);
        }
    }
    return required;
}

void HeldLease::rowWriteStarted(std::vector<Peer> successors)
{
    m_pendingSuccessors = std::move(successors);
    m_isWritePending = true;
}

void HeldLease::rowWriteSucceeded(TimePoint sentAt, std::vector<Peer> successors)
{
    m_rowWriteSentAt = sentAt;
    m_successors = std::move(successors);
    m_pendingSuccessors.clear();
    m_isWritePending = false;
}

void HeldLease::recordPromise(const Endpoint &successor, TimePoint start)
{
    const auto [it, isNew] = m_promises.try_emplace(successor, start);
    it->second = std::max(it->second, start);
}

TimePoint HeldLease::lastPromiseStart(const Endpoint &successor) const
{
    const auto it = m_promises.find(successor);
    return it == m_promises.end() ? TimePoint::min() : it->second;
}

TimePoint HeldLease::promisedUntil(const LeaseSettings &settings) const
{
    // Any node may take over a row without successors after the short term, so promises cannot extend the lease.
    if (m_successors.empty() || (m_isWritePending && m_pendingSuccessors.empty())) {
        return TimePoint::min();
    }
    TimePoint until = m_rowWriteSentAt + settings.longTerm;
    for (const Peer &it : requiredSuccessors()) {
        const TimePoint start = lastPromiseStart(it.endpoint);
        until = std::min(until, start == TimePoint::min() ? start : start + settings.promiseTerm);
    }
    return until;
}

TimePoint HeldLease::validUntil(const LeaseSettings &settings) const
{
    return std::max(m_rowWriteSentAt + settings.shortTerm, promisedUntil(settings));
}

} // namespace banyankeel

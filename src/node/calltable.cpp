#include "node/calltable.h"

namespace banyankeel
{

void CallTable::insert(AttemptId attempt, CallPointer call, const Endpoint &peer, TimePoint deadline)
{
    const std::lock_guard lock(m_mutex);
    m_entries.emplace(attempt, Entry{std::move(call), peer, deadline});
    m_deadlines.emplace(deadline, attempt);
}

CallTable::CallPointer CallTable::take(AttemptId attempt)
{
    const std::lock_guard lock(m_mutex);
    return takeLocked(attempt);
}

std::vector<CallTable::CallPointer> CallTable::takeSentTo(const Endpoint &peer)
{
    const std::lock_guard lock(m_mutex);
    std::vector<AttemptId> attempts;
    for (const auto &[attempt, entry] : m_entries) {
        if (entry.peer == peer) {
            attempts.push_back(attempt);
        }
    }
    std::vector<CallPointer> calls;
    calls.reserve(attempts.size());
    for (const AttemptId attempt : attempts) {
        calls.push_back(takeLocked(attempt));
    }
    return calls;
}

std::vector<CallTable::CallPointer> CallTable::takeExpired(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<CallPointer> calls;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        calls.push_back(takeLocked(m_deadlines.begin()->second));
    }
    return calls;
}

std::size_t CallTable::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_entries.size();
}

CallTable::CallPointer CallTable::takeLocked(AttemptId attempt)
{
    const auto it = m_entries.find(attempt);
    if (it == m_entries.end()) {
        return nullptr;
    }
    const auto [first, last] = m_deadlines.equal_range(it->second.deadline);
    for (auto deadline = first; deadline != last; ++deadline) {
        if (deadline->second == attempt) {
            m_deadlines.erase(deadline);
            break;
        }
    }
    CallPointer call = std::move(it->second.call);
    m_entries.erase(it);
    return call;
}

} // namespace banyankeel

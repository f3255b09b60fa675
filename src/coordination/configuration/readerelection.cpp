#include "coordination/configuration/readerelection.h"

#include "state/errors.h"

#include <xxhash.h>

#include <utility>

namespace banyankeel
{

ReaderElection::ReaderElection(ReaderElectionSettings settings, RandomSource random)
    : m_settings(std::move(settings))
    , m_random(std::move(random))
{
    if (m_settings.readers == 0 || m_settings.maxReaders < m_settings.readers) {
        throw SettingsError("reader election: field readers: must be above zero and not above maxReaders");
    }
}

bool ReaderElection::handleHeartbeat(const ReaderHeartbeat &heartbeat, TimePoint now)
{
    dropExpired(now);
    if (heartbeat.reader == m_settings.self.node) {
        return false;
    }
    const std::uint64_t rank = rankOf(heartbeat.reader);
    // A superfluous reader steps down when it receives the heartbeats of lower-ranked ones; its own heartbeats are not forwarded.
    if (!isElected(rank, heartbeat.reader)) {
        return false;
    }
    const auto it = m_readers.find(heartbeat.reader);
    if (it != m_readers.end()) {
        const auto known = std::pair(it->second.incarnation, it->second.sequence);
        if (std::pair(heartbeat.incarnation, heartbeat.sequence) <= known) {
            return false;
        }
    }
    m_readers.insert_or_assign(heartbeat.reader, Reader{rank, heartbeat.incarnation, heartbeat.sequence, heartbeat.isStoreFailing, now});
    return true;
}

bool ReaderElection::isReader(TimePoint now)
{
    dropExpired(now);
    if (!isElected(rankOf(m_settings.self.node), m_settings.self.node)) {
        m_becomesReaderAt.reset();
        return false;
    }
    if (!m_becomesReaderAt) {
        const auto delayRange = static_cast<std::uint64_t>(m_settings.maxDelay.count()) + 1;
        m_becomesReaderAt = now + Duration(static_cast<std::int64_t>(uniformBelow(m_random, delayRange)));
    }
    return now >= *m_becomesReaderAt;
}

ReaderHeartbeat ReaderElection::nextHeartbeat(bool isStoreFailing)
{
    ++m_sequence;
    return {m_settings.self.node, m_settings.self.incarnation, m_sequence, isStoreFailing};
}

std::uint64_t ReaderElection::rankOf(const NodeId &node) const
{
    const std::string text = m_settings.self.place.failureDomain.text() + "/" + node.text();
    return XXH3_64bits(text.data(), text.size());
}

// Readers whose reads fail are not counted towards the target, so that further nodes, which may still reach the store, join them.
bool ReaderElection::isElected(std::uint64_t rank, const NodeId &node) const
{
    std::size_t lowerRanked = 0;
    std::size_t succeeding = 0;
    for (const auto &[other, reader] : m_readers) {
        if (other != node && reader.rank < rank) {
            ++lowerRanked;
            succeeding += reader.isStoreFailing ? 0 : 1;
        }
    }
    return succeeding < m_settings.readers && lowerRanked < m_settings.maxReaders;
}

void ReaderElection::dropExpired(TimePoint now)
{
    std::erase_if(m_readers, [&](const auto &it) { return now - it.second.receivedAt > m_settings.expiry; });
}

} // namespace banyankeel

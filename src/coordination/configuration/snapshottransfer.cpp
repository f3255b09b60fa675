#include "coordination/configuration/snapshottransfer.h"

#include <utility>

namespace banyankeel
{

namespace
{
constexpr std::size_t ObjectsPerPage = 1000;
constexpr Duration CacheTime = std::chrono::seconds(5);
} // namespace

ConfigurationSnapshot SnapshotSource::page(const ConfigurationSet &current, const SetDigest &digest, const ConfigurationPull &pull, TimePoint now)
{
    tick(now);
    // A cached set also serves new transfers: the receiver then gets the few later changes as a delta, and no second set is kept.
    if (!m_cached || m_cached->set.revision() <= pull.have) {
        m_cached = CachedSet{current, digest, now};
    }
    m_cached->lastUsedAt = now;
    const auto &objects = m_cached->set.objects();
    const bool isContinuation = pull.position && pull.position->revision == m_cached->set.revision();
    auto it = isContinuation ? objects.upper_bound(pull.position->after) : objects.begin();
    ConfigurationSnapshot page{
        .revision = m_cached->set.revision(),
        .digest = m_cached->digest,
        .isFirst = !isContinuation,
        .isLast = false,
        .objects = {},
    };
    for (; it != objects.end() && page.objects.size() < ObjectsPerPage; ++it) {
        page.objects.push_back(*it->second);
    }
    page.isLast = it == objects.end();
    return page;
}

void SnapshotSource::tick(TimePoint now)
{
    if (m_cached && now - m_cached->lastUsedAt > CacheTime) {
        m_cached.reset();
    }
}

bool SnapshotAssembler::add(ConfigurationSnapshot page)
{
    if (page.isFirst) {
        m_revision = page.revision;
        m_digest = page.digest;
        m_objects.clear();
    } else {
        const bool isNext = !page.objects.empty() && !m_objects.empty() && nameOf(m_objects.back()) < nameOf(page.objects.front());
        if (page.revision != m_revision || m_isComplete || !isNext) {
            return false;
        }
    }
    m_objects.insert(m_objects.end(), std::make_move_iterator(page.objects.begin()), std::make_move_iterator(page.objects.end()));
    m_isComplete = page.isLast;
    return true;
}

std::optional<SnapshotPosition> SnapshotAssembler::position() const
{
    if (m_objects.empty()) {
        return std::nullopt;
    }
    return SnapshotPosition{m_revision, nameOf(m_objects.back())};
}

std::optional<ConfigurationSet> SnapshotAssembler::takeSet()
{
    ConfigurationSet set = ConfigurationSet().with({.put = std::exchange(m_objects, {}), .removed = {}}, m_revision);
    m_isComplete = false;
    if (digestOf(set) != m_digest) {
        return std::nullopt;
    }
    return set;
}

} // namespace banyankeel

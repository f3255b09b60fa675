#pragma once

// Sender and receiver of the paged transfer of a complete configuration set between two nodes.
//
//   SnapshotSource source;
//   out.send(peer, source.page(set, digest, pull, now).encode());
//
//   SnapshotAssembler assembler;
//   if (assembler.add(snapshot) && assembler.isComplete()) ... assembler.takeSet() ...

#include "protocol/configurationmessages.h"
#include "state/configurationset.h"
#include "state/time.h"

#include <optional>
#include <vector>

namespace banyankeel
{

/// Serves pages. Caches the set of a transfer in progress, so that all pages of a transfer are of one revision. Not thread-safe.
class SnapshotSource
{
public:
    /// Returns the page that @p pull requests, or the first page if the requested revision is no longer cached.
    ConfigurationSnapshot page(const ConfigurationSet &current, const SetDigest &digest, const ConfigurationPull &pull, TimePoint now);
    /// Drops a cached set that has not been requested recently.
    void tick(TimePoint now);

private:
    struct CachedSet {
        ConfigurationSet set;
        SetDigest digest;
        TimePoint lastUsedAt;
    };

    std::optional<CachedSet> m_cached;
};

/// Assembles a set from its pages. Not thread-safe.
class SnapshotAssembler
{
public:
    /// Adds a page; a first page restarts the transfer. Returns false if the page does not continue the transfer.
    bool add(ConfigurationSnapshot page);
    [[nodiscard]] bool isComplete() const
    {
        return m_isComplete;
    }
    /// The position from which to continue; absent before the first page.
    [[nodiscard]] std::optional<SnapshotPosition> position() const;
    [[nodiscard]] const SetDigest &digest() const
    {
        return m_digest;
    }
    /// Returns the complete set, or nothing if it does not match the digest. Clears the collected pages.
    std::optional<ConfigurationSet> takeSet();

private:
    Revision m_revision = 0;
    SetDigest m_digest;
    bool m_isComplete = false;
    std::vector<ConfigurationObject> m_objects;
};

} // namespace banyankeel

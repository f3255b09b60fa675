#pragma once

// Recently applied configuration changes, kept so that a node can send deltas to peers that are behind.
//
//   log.append(set.revision(), change);
//   if (auto changes = log.since(peerRevision)) ...

#include "state/configurationset.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace banyankeel
{

/// Merges @p changes, applied in order, into one change with the same effect.
ConfigurationChange mergeChanges(const std::vector<ConfigurationChange> &changes);

/// A bounded log of consecutive changes. Not thread-safe.
class ChangeLog
{
public:
    /// @param maxChanges and @param maxBytes must be above zero; the oldest changes are evicted first.
    ChangeLog(std::size_t maxChanges, std::size_t maxBytes);

    /// Clears the log; the next appended change produces revision @p base + 1.
    void reset(Revision base);
    /// Appends the change that produces the revision after lastRevision().
    void append(const ConfigurationChange &change);

    /// Returns the changes after revision @p base, or nullopt if they are no longer logged or @p base is above lastRevision().
    [[nodiscard]] std::optional<std::vector<ConfigurationChange>> since(Revision base) const;
    /// The revision that the newest change produced.
    [[nodiscard]] Revision lastRevision() const
    {
        return m_base + m_changes.size();
    }

private:
    struct Entry {
        ConfigurationChange change;
        std::size_t bytes;
    };

    std::size_t m_maxChanges;
    std::size_t m_maxBytes;
    Revision m_base = 0;
    std::size_t m_bytes = 0;
    std::deque<Entry> m_changes;
};

} // namespace banyankeel

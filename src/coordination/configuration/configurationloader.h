#pragma once

// Updates a configuration set to the store's head: from change rows if they go back far enough, otherwise from the snapshot.
//
//   ConfigurationLoader loader(set, digest);
//   StoreRequest request = loader.firstRequest();
//   ... for each reply: if (loader.advance(reply) == ConfigurationLoader::Step::Continue) send loader.nextRequest();

#include "coordination/configuration/configurationrows.h"
#include "protocol/setdigest.h"
#include "protocol/storemessages.h"
#include "state/configurationset.h"

#include <optional>
#include <string>
#include <vector>

namespace banyankeel
{

/// One load as a sequence of store requests, from the head row to a complete set. Not thread-safe.
class ConfigurationLoader
{
public:
    enum class Step {
        /// The request nextRequest() must be sent.
        Continue,
        /// set() is at least as new as the head was when the load started.
        Loaded,
        /// failure() has the reason; start a new load later.
        Failed,
    };

    /// @param set the set to update; an empty set loads everything. @param digest the digest of @p set.
    ConfigurationLoader(ConfigurationSet set, const SetDigest &digest);

    /// The request that reads the head row. A load costs only this read if there is no newer revision.
    [[nodiscard]] StoreRequest firstRequest() const;
    /// Handles the reply to the last request.
    Step advance(const StoreReply &reply);
    [[nodiscard]] const StoreRequest &nextRequest() const
    {
        return m_next;
    }

    [[nodiscard]] const ConfigurationSet &set() const
    {
        return m_set;
    }
    [[nodiscard]] const SetDigest &digest() const
    {
        return m_digest;
    }
    /// The change rows applied on top of the initial set, or of the snapshot if one was used, to get set().
    [[nodiscard]] const std::vector<ChangeRow> &changes() const
    {
        return m_changes;
    }
    /// Whether set() was built from a snapshot rather than from the initial set.
    [[nodiscard]] bool usedSnapshot() const
    {
        return m_usedSnapshot;
    }
    /// The head row as read; revision 0 if nothing has been published. Absent before the first reply.
    [[nodiscard]] const std::optional<HeadRow> &head() const
    {
        return m_head;
    }
    /// The row version that a compare-and-set of the head must expect.
    [[nodiscard]] RowVersion headVersion() const
    {
        return m_headVersion;
    }
    [[nodiscard]] const std::string &failure() const
    {
        return m_failure;
    }

private:
    enum class Phase { Head, Changes, SnapshotRow, SnapshotObject };

    Step handleHead(const RowsRead &reply);
    Step handleChanges(const RowsRead &reply);
    Step handleSnapshotRow(const RowsRead &reply);
    Step handleSnapshotObject(const ObjectRead &reply);
    Step requestChanges();
    Step fail(std::string reason);
    Step advanceOrThrow(const StoreReply &reply);

    ConfigurationSet m_set;
    SetDigest m_digest;
    Phase m_phase = Phase::Head;
    StoreRequest m_next;
    std::optional<HeadRow> m_head;
    RowVersion m_headVersion = 0;
    std::vector<ChangeRow> m_changes;
    bool m_usedSnapshot = false;
    std::string m_failure;
};

} // namespace banyankeel

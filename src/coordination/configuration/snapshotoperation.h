#pragma once

// Keeps the configuration table small: periodically writes a snapshot object and removes the change rows that it covers.
// Run by the publisher after each publish; a later run makes up for one that was interrupted.
//
//   SnapshotOperation snapshot({}, publish.set(), publish.digest());
//   std::optional<StoreRequest> request = snapshot.start();
//   while (request) request = snapshot.advance(askStore(*request));

#include "coordination/configuration/configurationrows.h"
#include "protocol/storemessages.h"
#include "state/configurationset.h"

#include <optional>

namespace banyankeel
{

struct SnapshotSettings {
    /// Number of revisions between snapshots.
    Revision interval = 1000;
    /// Number of covered change rows that are kept, for nodes that were disconnected for a while.
    Revision keptChanges = 1000;

    friend auto operator<=>(const SnapshotSettings &, const SnapshotSettings &) = default;
};

/// One run as a sequence of store requests. Costs one read if no snapshot is due. Not thread-safe.
class SnapshotOperation
{
public:
    /// @param set an accepted set. @throws SettingsError if the interval is zero.
    SnapshotOperation(const SnapshotSettings &settings, ConfigurationSet set, const SetDigest &digest);

    [[nodiscard]] StoreRequest start() const;
    /// Handles the reply to the last request. Returns the next request, or nothing if the run has finished or failed.
    std::optional<StoreRequest> advance(const StoreReply &reply);

private:
    enum class Phase { ReadingRow, WritingObject, WritingRow, ListingChanges, RemovingChanges };

    std::optional<StoreRequest> handleSnapshotRow(const RowsRead &reply);
    std::optional<StoreRequest> removeCovered(const RowsRead &reply);
    [[nodiscard]] std::string objectName() const;
    std::optional<StoreRequest> listChanges();

    SnapshotSettings m_settings;
    ConfigurationSet m_set;
    SetDigest m_digest;
    RowVersion m_rowVersion = 0;
    Phase m_phase = Phase::ReadingRow;
};

} // namespace banyankeel

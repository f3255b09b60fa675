#include "coordination/configuration/snapshotoperation.h"

#include "state/errors.h"

#include <fmt/format.h>

#include <algorithm>

namespace banyankeel
{

namespace
{
// Object names are reused cyclically, which bounds the space of old snapshots. Readers take the revision from the object itself.
constexpr Revision ObjectNameCount = 16;
constexpr std::uint32_t RowsPerRemoval = 128;
} // namespace

SnapshotOperation::SnapshotOperation(const SnapshotSettings &settings, ConfigurationSet set, const SetDigest &digest)
    : m_settings(settings)
    , m_set(std::move(set))
    , m_digest(digest)
{
    if (m_settings.interval == 0) {
        throw SettingsError("snapshot: field interval: 0 found, at least 1 allowed");
    }
}

StoreRequest SnapshotOperation::start() const
{
    return ReadRows{.keys = {snapshotKey()}};
}

std::optional<StoreRequest> SnapshotOperation::advance(const StoreReply &reply)
{
    if (std::holds_alternative<StoreFailure>(reply) || std::holds_alternative<WriteConflict>(reply)) {
        return std::nullopt;
    }
    const auto *rows = std::get_if<RowsRead>(&reply);
    switch (m_phase) {
    case Phase::ReadingRow:
        return rows == nullptr ? std::nullopt : handleSnapshotRow(*rows);
    case Phase::WritingObject:
        m_phase = Phase::WritingRow;
        return WriteRows{.writes = {{snapshotKey(), RowAction::Put, m_rowVersion, SnapshotRow{m_set.revision(), objectName()}.encode()}}};
    case Phase::WritingRow:
    case Phase::RemovingChanges:
        return listChanges();
    case Phase::ListingChanges:
        return rows == nullptr ? std::nullopt : removeCovered(*rows);
    }
    return std::nullopt;
}

std::optional<StoreRequest> SnapshotOperation::handleSnapshotRow(const RowsRead &reply)
{
    Revision last = 0;
    if (!reply.rows.empty()) {
        last = SnapshotRow::decode(reply.rows.front().value).revision;
        m_rowVersion = reply.rows.front().version;
    }
    if (m_set.revision() < last + m_settings.interval) {
        return std::nullopt;
    }
    m_phase = Phase::WritingObject;
    return PutObject{.name = objectName(), .bytes = encodeSnapshot(m_set, m_digest)};
}

std::string SnapshotOperation::objectName() const
{
    return fmt::format("configuration/snapshot-{:02}", m_set.revision() / m_settings.interval % ObjectNameCount);
}

std::optional<StoreRequest> SnapshotOperation::listChanges()
{
    m_phase = Phase::ListingChanges;
    return historyRequest(0, RowsPerRemoval);
}

std::optional<StoreRequest> SnapshotOperation::removeCovered(const RowsRead &reply)
{
    const Revision firstKept = m_set.revision() - std::min(m_set.revision(), m_settings.keptChanges);
    WriteRows removal;
    for (const Row &row : reply.rows) {
        if (row.key < changeKey(firstKept)) {
            removal.writes.push_back({row.key, RowAction::Remove, row.version, ""});
        }
    }
    if (removal.writes.empty()) {
        return std::nullopt;
    }
    m_phase = Phase::RemovingChanges;
    return removal;
}

} // namespace banyankeel

#include "coordination/configuration/configurationloader.h"

#include "coordination/configuration/changelog.h"
#include "state/errors.h"

#include <fmt/format.h>

namespace banyankeel
{

namespace
{
constexpr std::uint32_t ChangesPerRead = 256;
} // namespace

ConfigurationLoader::ConfigurationLoader(ConfigurationSet set, const SetDigest &digest)
    : m_set(std::move(set))
    , m_digest(digest)
{
}

StoreRequest ConfigurationLoader::firstRequest() const
{
    return ReadRows{.keys = {headKey()}};
}

ConfigurationLoader::Step ConfigurationLoader::advance(const StoreReply &reply)
{
    try {
        return advanceOrThrow(reply);
    } catch (const Error &error) {
        return fail(error.what());
    }
}

ConfigurationLoader::Step ConfigurationLoader::advanceOrThrow(const StoreReply &reply)
{
    if (const auto *failure = std::get_if<StoreFailure>(&reply)) {
        return fail("store: " + failure->detail);
    }
    if (m_phase == Phase::SnapshotObject) {
        const auto *object = std::get_if<ObjectRead>(&reply);
        return object == nullptr ? fail("store: unexpected reply type") : handleSnapshotObject(*object);
    }
    const auto *rows = std::get_if<RowsRead>(&reply);
    if (rows == nullptr) {
        return fail("store: unexpected reply type");
    }
    switch (m_phase) {
    case Phase::Head:
        return handleHead(*rows);
    case Phase::Changes:
        return handleChanges(*rows);
    default:
        return handleSnapshotRow(*rows);
    }
}

ConfigurationLoader::Step ConfigurationLoader::handleHead(const RowsRead &reply)
{
    m_head = HeadRow{.revision = 0, .digest = {}};
    if (!reply.rows.empty()) {
        m_head = HeadRow::decode(reply.rows.front().value);
        m_headVersion = reply.rows.front().version;
    }
    if (m_head->revision <= m_set.revision()) {
        return Step::Loaded;
    }
    return requestChanges();
}

ConfigurationLoader::Step ConfigurationLoader::requestChanges()
{
    m_phase = Phase::Changes;
    m_next = historyRequest(m_set.revision(), ChangesPerRead);
    return Step::Continue;
}

ConfigurationLoader::Step ConfigurationLoader::handleChanges(const RowsRead &reply)
{
    std::vector<ConfigurationChange> changes;
    std::vector<ChangeRow> rows;
    for (const Row &row : reply.rows) {
        ChangeRow change = ChangeRow::decode(row.value);
        if (change.revision != m_set.revision() + rows.size() + 1) {
            break;
        }
        changes.push_back(change.change);
        rows.push_back(std::move(change));
    }
    if (rows.empty()) {
        // Old change rows are removed once a snapshot covers them, so fall back to the snapshot.
        if (m_usedSnapshot) {
            return fail(fmt::format("configuration: no change row after revision {}", m_set.revision()));
        }
        m_phase = Phase::SnapshotRow;
        m_next = ReadRows{.keys = {snapshotKey()}};
        return Step::Continue;
    }
    const ConfigurationChange change = mergeChanges(changes);
    const SetDigest digest = m_digest.after(m_set, change);
    if (digest != rows.back().digest) {
        return fail(fmt::format("configuration: digest mismatch at revision {}", rows.back().revision));
    }
    m_set = m_set.with(change, rows.back().revision);
    m_digest = digest;
    m_changes.insert(m_changes.end(), std::make_move_iterator(rows.begin()), std::make_move_iterator(rows.end()));
    return m_set.revision() >= m_head->revision ? Step::Loaded : requestChanges();
}

ConfigurationLoader::Step ConfigurationLoader::handleSnapshotRow(const RowsRead &reply)
{
    if (reply.rows.empty()) {
        return fail("configuration: neither change rows nor a snapshot found to reach the head revision");
    }
    m_phase = Phase::SnapshotObject;
    m_next = GetObject{.name = SnapshotRow::decode(reply.rows.front().value).object};
    return Step::Continue;
}

ConfigurationLoader::Step ConfigurationLoader::handleSnapshotObject(const ObjectRead &reply)
{
    if (!reply.bytes) {
        return fail("configuration: the snapshot object is missing");
    }
    ConfigurationSet snapshot = decodeSnapshot(*reply.bytes);
    if (snapshot.revision() <= m_set.revision()) {
        return fail("configuration: the snapshot is not newer than the loaded revision");
    }
    m_digest = digestOf(snapshot);
    m_set = std::move(snapshot);
    m_changes.clear();
    m_usedSnapshot = true;
    return m_set.revision() >= m_head->revision ? Step::Loaded : requestChanges();
}

ConfigurationLoader::Step ConfigurationLoader::fail(std::string reason)
{
    m_failure = std::move(reason);
    return Step::Failed;
}

} // namespace banyankeel

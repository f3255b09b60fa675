#include "coordination/configuration/publishoperation.h"

#include "state/errors.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace banyankeel
{

namespace
{
std::set<ObjectName> objectNamesIn(const ConfigurationChange &change)
{
    std::set<ObjectName> names(change.removed.begin(), change.removed.end());
    for (const ConfigurationObject &object : change.put) {
        names.insert(nameOf(object));
    }
    return names;
}
} // namespace

PublishOperation::PublishOperation(PublishSettings settings, ConfigurationSet baseSet, ConfigurationChange change, ConfigurationCheck check)
    : m_settings(std::move(settings))
    , m_baseSet(std::move(baseSet))
    , m_change(std::move(change))
    , m_check(std::move(check))
    , m_loader(m_baseSet, digestOf(m_baseSet))
    , m_outcome(PublishUnavailable{"not started"})
{
    if (!m_check) {
        throw SettingsError("publish: field check: is required");
    }
}

StoreRequest PublishOperation::start()
{
    return m_loader.firstRequest();
}

StoreRequest PublishOperation::startLoad()
{
    m_phase = Phase::Loading;
    m_loader = ConfigurationLoader(m_loader.set(), m_loader.digest());
    return m_loader.firstRequest();
}

std::optional<StoreRequest> PublishOperation::advance(const StoreReply &reply)
{
    if (m_phase == Phase::Writing) {
        return handleWriteReply(reply);
    }
    switch (m_loader.advance(reply)) {
    case ConfigurationLoader::Step::Continue:
        return m_loader.nextRequest();
    case ConfigurationLoader::Step::Failed:
        return retry(m_loader.failure());
    case ConfigurationLoader::Step::Loaded:
        break;
    }
    return handleLoaded();
}

// Optimistic concurrency control: the objects that others published since the base set are compared with the write set of this change.
// There is no read set; validating the complete merged set covers everything that the change depends on.
std::optional<StoreRequest> PublishOperation::handleLoaded()
{
    m_isHistoryComplete = m_isHistoryComplete && !m_loader.usedSnapshot();
    m_knownChanges.insert(m_knownChanges.end(), m_loader.changes().begin(), m_loader.changes().end());
    if (const auto revision = publishedRevision()) {
        return finish(PublishAccepted{*revision});
    }
    if (m_loader.head()->revision < m_baseSet.revision()) {
        const std::string found = fmt::format("head: revision {} found, at least {} expected", m_loader.head()->revision, m_baseSet.revision());
        return finish(PublishUnavailable{found});
    }
    const bool hasHeadMoved = m_loader.set().revision() != m_baseSet.revision();
    std::vector<ObjectName> objects = conflictingObjects();
    if (!objects.empty() && !m_isHistoryComplete) {
        // The conflicting change may be an earlier run of this same operation.
        const std::string detail = fmt::format("the store no longer has the changes since revision {}", m_baseSet.revision());
        return finish(PublishUnknown{m_settings.operation, m_baseSet.revision(), detail});
    }
    if (!objects.empty() || (hasHeadMoved && !m_settings.isRebased)) {
        return finish(conflict(std::move(objects)));
    }
    std::vector<std::string> faults = m_check(m_loader.set().with(m_change, m_loader.set().revision() + 1));
    if (!faults.empty()) {
        return finish(PublishRefused{m_loader.set().revision(), std::move(faults)});
    }
    m_phase = Phase::Writing;
    return writeRequest();
}

StoreRequest PublishOperation::writeRequest() const
{
    const Revision revision = m_loader.set().revision() + 1;
    const SetDigest digest = m_loader.digest().after(m_loader.set(), m_change);
    const ChangeRow row{revision, m_settings.operation, m_settings.author, m_settings.time, digest, m_change};
    WriteRows request;
    const auto &expected = m_settings.rules.expectedVersion;
    request.writes.push_back({headKey(), RowAction::Put, expected(m_loader.headVersion()), HeadRow{revision, digest}.encode()});
    request.writes.push_back({changeKey(revision), RowAction::Put, expected(0), row.encode()});
    return request;
}

void PublishOperation::recordAcceptedWrite()
{
    const Revision revision = m_loader.set().revision() + 1;
    const SetDigest digest = m_loader.digest().after(m_loader.set(), m_change);
    m_knownChanges.push_back({revision, m_settings.operation, m_settings.author, m_settings.time, digest, m_change});
    m_loader = ConfigurationLoader(m_loader.set().with(m_change, revision), digest);
}

std::optional<ConfigurationDelta> PublishOperation::delta() const
{
    if (!m_isHistoryComplete) {
        return std::nullopt;
    }
    ConfigurationDelta delta{.base = m_baseSet.revision(), .changes = {}, .digest = m_loader.digest()};
    for (const ChangeRow &row : m_knownChanges) {
        delta.changes.push_back(row.change);
    }
    return delta;
}

std::optional<StoreRequest> PublishOperation::handleWriteReply(const StoreReply &reply)
{
    if (std::holds_alternative<RowsWritten>(reply)) {
        recordAcceptedWrite();
        return finish(PublishAccepted{m_loader.set().revision()});
    }
    if (std::holds_alternative<WriteConflict>(reply)) {
        // Another operation won the race, or an earlier write of this one succeeded and its reply was lost.
        return retry("the head changed concurrently");
    }
    const auto *failure = std::get_if<StoreFailure>(&reply);
    const RunState runState = failure == nullptr ? RunState::MayHaveRun : failure->runState;
    m_mayHaveWritten = m_mayHaveWritten || m_settings.rules.mayHaveWritten(runState);
    return retry(failure == nullptr ? "unexpected reply type" : failure->detail);
}

// Reading back and writing again is safe after a lost reply. The earlier write may still arrive: if the head has not moved since, it
// succeeds and makes the later write fail; otherwise it fails itself.
std::optional<StoreRequest> PublishOperation::retry(const std::string &reason)
{
    ++m_attempts;
    if (m_attempts < m_settings.maxAttempts) {
        return startLoad();
    }
    const std::string detail = fmt::format("{} attempts, last: {}", m_attempts, reason);
    if (m_mayHaveWritten) {
        return finish(PublishUnknown{m_settings.operation, m_baseSet.revision(), detail});
    }
    return finish(PublishUnavailable{detail});
}

std::optional<StoreRequest> PublishOperation::finish(PublishOutcome outcome)
{
    m_outcome = std::move(outcome);
    return std::nullopt;
}

std::optional<Revision> PublishOperation::publishedRevision() const
{
    for (const ChangeRow &row : m_knownChanges) {
        if (m_settings.rules.isOwnChange(row, m_settings.operation)) {
            return row.revision;
        }
    }
    return std::nullopt;
}

std::vector<ObjectName> PublishOperation::conflictingObjects() const
{
    const std::set<ObjectName> own = objectNamesIn(m_change);
    const std::set<ObjectName> concurrent = objectNamesIn(m_baseSet.changeTo(m_loader.set()));
    std::vector<ObjectName> common;
    std::set_intersection(own.begin(), own.end(), concurrent.begin(), concurrent.end(), std::back_inserter(common));
    return common;
}

PublishConflict PublishOperation::conflict(std::vector<ObjectName> objects) const
{
    PublishConflict conflict{.revision = m_loader.set().revision(), .objects = std::move(objects), .others = {}};
    if (conflict.objects.empty()) {
        const std::set<ObjectName> changedNames = objectNamesIn(m_baseSet.changeTo(m_loader.set()));
        conflict.objects.assign(changedNames.begin(), changedNames.end());
    }
    for (const ChangeRow &row : m_knownChanges) {
        const std::set<ObjectName> changed = objectNamesIn(row.change);
        const bool isInvolved = std::any_of(conflict.objects.begin(), conflict.objects.end(), [&](const ObjectName &it) { return changed.count(it) != 0; });
        if (isInvolved) {
            conflict.others.push_back(fmt::format("revision={} operation={} author={}", row.revision, row.operation.text(), row.author));
        }
    }
    return conflict;
}

} // namespace banyankeel

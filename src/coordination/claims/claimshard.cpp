#include "coordination/claims/claimshard.h"

#include "protocol/peercodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace banyankeel
{

namespace
{
constexpr std::string_view LogTable = "claims";
constexpr std::string_view FenceTable = "claimfences";
constexpr std::uint32_t RowsPerList = 256;
constexpr std::size_t MaxRowsPerDrop = 64;

// The fence forms the high bits of the sequence, so a new holder's sequences exceed all earlier ones and no key is reused, even after rows
// were merged.
constexpr unsigned FenceShift = 32;
constexpr RowVersion FirstVersion = 1;

std::uint64_t sequenceOf(const std::string &key)
{
    return std::stoull(key.substr(key.find('/') + 1));
}
} // namespace

ClaimShard::ClaimShard(ShardId shard, Fence fence, Peer self, const ClaimSettings &settings, WallClock wallClock)
    : m_shard(shard)
    , m_fence(fence)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_wallClock(std::move(wallClock))
    , m_nextSequence(static_cast<std::uint64_t>(fence) << FenceShift)
{
}

void ClaimShard::submit(const ClaimRequest &claim, TimePoint now)
{
    if (m_phase != Phase::Serving || m_undecidedRequests.contains(claim.item.request)) {
        // The claimant resends; by then the batch that contains this request is decided.
        return;
    }
    if (const ClaimantId *claimant = m_log.find(claim.item.request)) {
        decide(claim, *claimant == claim.id() ? ClaimDecision::Granted : ClaimDecision::Duplicate);
        return;
    }
    if (m_queue.size() >= m_settings.queueSize || m_log.size() + m_queue.size() >= m_settings.shardCapacity) {
        return;
    }
    m_queue.push_back({claim, now});
    m_undecidedRequests.insert(claim.item.request);
}

void ClaimShard::abandon(const ClaimRequest &claim)
{
    if (m_phase != Phase::Serving) {
        return;
    }
    const auto isSame = [&claim](const ClaimRequest &it) { return it.item.request == claim.item.request && it.id() == claim.id(); };
    const auto queued = std::find_if(m_queue.begin(), m_queue.end(), [&](const QueuedClaim &it) { return isSame(it.claim); });
    if (queued != m_queue.end()) {
        m_undecidedRequests.erase(claim.item.request);
        m_queue.erase(queued);
        return;
    }
    const ClaimantId *claimant = m_log.find(claim.item.request);
    const bool isRecorded = claimant != nullptr && *claimant == claim.id();
    const bool isInBatch = std::any_of(m_batch.begin(), m_batch.end(), isSame);
    if ((isRecorded || isInBatch) && m_abandoned.size() < m_settings.queueSize) {
        m_abandoned.push_back({claim.item.request, claim.id(), true});
    }
}

std::optional<TimePoint> ClaimShard::nextStep() const
{
    if (m_isStoreCallPending || m_phase == Phase::Lost) {
        return std::nullopt;
    }
    const bool hasWork = m_phase != Phase::Serving || !m_batch.empty() || !m_queue.empty() || !m_abandoned.empty();
    return std::max(m_nextAttempt, hasWork ? m_nextCommit : m_nextMaintenance);
}

std::optional<StoreRequest> ClaimShard::step(TimePoint now)
{
    if (m_isStoreCallPending || now < m_nextAttempt) {
        return std::nullopt;
    }
    std::optional<StoreRequest> request;
    switch (m_phase) {
    case Phase::ReadingFence:
        request = ReadRows{{fenceKey()}};
        break;
    case Phase::WritingFence:
        request = WriteRows{{{fenceKey(), RowAction::Put, m_fenceVersion, fenceValue()}}};
        break;
    case Phase::Loading:
        request = ListRows{std::string(LogTable), fmt::format("{:05}/", m_shard.index), m_lastLoadedKey, RowsPerList};
        break;
    case Phase::Serving:
        request = stepServing(now);
        break;
    case Phase::Lost:
        break;
    }
    m_isStoreCallPending = request.has_value();
    return request;
}

std::optional<StoreRequest> ClaimShard::stepServing(TimePoint now)
{
    if (m_operation == Operation::ReadBack) {
        return ReadRows{{rowKey(m_nextSequence)}};
    }
    if (m_operation == Operation::Drop || m_operation == Operation::Merge) {
        m_nextMaintenance = std::min(m_nextMaintenance, now);
        return stepMaintenance(now);
    }
    if (m_batchRow || (now >= m_nextCommit && (!m_queue.empty() || !m_abandoned.empty()))) {
        if (!m_batchRow) {
            buildBatch(now);
            m_nextCommit = now + m_settings.commitInterval;
        }
        m_operation = Operation::Commit;
        return transaction({{rowKey(m_nextSequence), RowAction::Put, RowVersion{0}, m_batchRow->encode()}});
    }
    return stepMaintenance(now);
}

void ClaimShard::buildBatch(TimePoint now)
{
    m_batchRow = ClaimLogRow{m_wallClock(), {}};
    while (!m_abandoned.empty() && m_batchRow->records.size() < m_settings.batchSize / 2) {
        m_batchRow->records.push_back(m_abandoned.front());
        m_abandoned.pop_front();
    }
    while (!m_queue.empty() && m_batchRow->records.size() < m_settings.batchSize) {
        const auto [claim, queuedAt] = std::move(m_queue.front());
        m_queue.pop_front();
        if (now - queuedAt > m_settings.timeLimit) {
            // The claimant has abandoned it.
            m_undecidedRequests.erase(claim.item.request);
            continue;
        }
        m_batchRow->records.push_back({claim.item.request, claim.id(), false});
        m_batch.push_back(claim);
    }
}

std::optional<StoreRequest> ClaimShard::stepMaintenance(TimePoint now)
{
    if (now < m_nextMaintenance) {
        return std::nullopt;
    }
    m_nextMaintenance = now + m_settings.maintenanceInterval;
    if (m_operation == Operation::None) {
        planMaintenance();
    }
    if (m_operation == Operation::None) {
        return std::nullopt;
    }
    return maintenanceWrites();
}

void ClaimShard::planMaintenance()
{
    const Duration kept = m_settings.retention + m_settings.retentionMargin;
    const WallTime oldest = m_wallClock() - std::chrono::duration_cast<std::chrono::microseconds>(kept);
    m_maintenanceRows = m_log.rowsWrittenBefore(oldest, MaxRowsPerDrop);
    if (!m_maintenanceRows.empty()) {
        m_operation = Operation::Drop;
        return;
    }
    m_maintenanceRows = m_log.findMergeableRows(m_settings.mergeRowCount, m_settings.batchSize);
    if (!m_maintenanceRows.empty()) {
        m_operation = Operation::Merge;
        m_mergedRow = m_log.merged(m_maintenanceRows);
    }
}

WriteRows ClaimShard::maintenanceWrites() const
{
    std::vector<RowWrite> writes;
    for (const std::uint64_t sequence : m_maintenanceRows) {
        writes.push_back({rowKey(sequence), RowAction::Remove, std::nullopt, {}});
    }
    if (m_operation == Operation::Merge) {
        const std::uint64_t first = m_maintenanceRows.front();
        // The version check keeps a delayed duplicate of this write from overwriting a row that was merged again later.
        writes.front() = {rowKey(first), RowAction::Put, m_log.versionOf(first), m_mergedRow->encode()};
    }
    return transaction(std::move(writes));
}

void ClaimShard::handleReply(const StoreReply &reply, TimePoint now)
{
    m_isStoreCallPending = false;
    if (std::holds_alternative<StoreFailure>(reply)) {
        m_nextAttempt = now + m_settings.resendInterval;
    }
    switch (m_phase) {
    case Phase::ReadingFence:
        handleFenceRead(reply);
        return;
    case Phase::WritingFence:
        // Always read back: the row version is needed, and the reply to a successful write may have been lost.
        m_phase = Phase::ReadingFence;
        return;
    case Phase::Loading:
        handleLoadReply(reply);
        return;
    case Phase::Lost:
        return;
    case Phase::Serving:
        break;
    }
    if (isFenceLost(reply)) {
        m_phase = Phase::Lost;
    } else if (m_operation == Operation::Commit) {
        handleCommitReply(reply);
    } else if (m_operation == Operation::ReadBack) {
        handleReadBackReply(reply);
    } else {
        handleMaintenanceReply(reply);
    }
}

void ClaimShard::handleFenceRead(const StoreReply &reply)
{
    const auto *read = std::get_if<RowsRead>(&reply);
    if (read == nullptr) {
        return;
    }
    m_fenceVersion = read->rows.empty() ? 0 : read->rows.front().version;
    if (read->rows.empty()) {
        m_phase = Phase::WritingFence;
        return;
    }
    const std::string &value = read->rows.front().value;
    WireReader reader(value, "claim fence");
    const Fence found = readFence(reader);
    if (value == fenceValue()) {
        m_phase = Phase::Loading;
    } else {
        m_phase = found < m_fence ? Phase::WritingFence : Phase::Lost;
    }
}

void ClaimShard::handleLoadReply(const StoreReply &reply)
{
    const auto *read = std::get_if<RowsRead>(&reply);
    if (read == nullptr) {
        return;
    }
    for (const Row &row : read->rows) {
        m_log.append(sequenceOf(row.key.key), row.version, ClaimLogRow::decode(row.value));
        m_lastLoadedKey = row.key.key;
    }
    if (read->rows.size() < RowsPerList) {
        m_phase = Phase::Serving;
    }
}

void ClaimShard::handleCommitReply(const StoreReply &reply)
{
    if (m_settings.isDurable(reply)) {
        finishBatch();
    } else if (std::holds_alternative<WriteConflict>(reply)) {
        // The fence is unchanged, so the existing row can only come from an earlier attempt.
        m_operation = Operation::ReadBack;
    }
}

void ClaimShard::handleReadBackReply(const StoreReply &reply)
{
    const auto *read = std::get_if<RowsRead>(&reply);
    if (read == nullptr) {
        return;
    }
    m_operation = Operation::Commit;
    if (!read->rows.empty() && read->rows.front().value == m_batchRow->encode()) {
        finishBatch();
    } else if (!read->rows.empty()) {
        m_phase = Phase::Lost;
    }
}

void ClaimShard::finishBatch()
{
    m_log.append(m_nextSequence++, FirstVersion, *m_batchRow);
    for (const ClaimRequest &claim : m_batch) {
        m_undecidedRequests.erase(claim.item.request);
        decide(claim, ClaimDecision::Granted);
    }
    m_batch.clear();
    m_batchRow.reset();
    m_operation = Operation::None;
}

void ClaimShard::handleMaintenanceReply(const StoreReply &reply)
{
    if (std::holds_alternative<StoreFailure>(reply)) {
        // The same writes are retried until they are known to have been committed.
        return;
    }
    // The fence is unchanged, so a conflict means that an earlier attempt of the same merge was committed.
    if (m_operation == Operation::Drop) {
        m_log.drop(m_maintenanceRows);
    } else {
        m_log.replace(m_maintenanceRows, *m_mergedRow);
    }
    m_operation = Operation::None;
}

bool ClaimShard::isFenceLost(const StoreReply &reply) const
{
    const auto *conflict = std::get_if<WriteConflict>(&reply);
    return conflict != nullptr && std::find(conflict->rows.begin(), conflict->rows.end(), fenceKey()) != conflict->rows.end();
}

void ClaimShard::decide(const ClaimRequest &claim, ClaimDecision decision)
{
    m_decided.push_back({claim.claimant, {claim.item.ticket, decision}});
}

std::vector<DecidedClaim> ClaimShard::takeDecided()
{
    return std::exchange(m_decided, {});
}

RowKey ClaimShard::fenceKey() const
{
    return {std::string(FenceTable), fmt::format("{:05}", m_shard.index)};
}

RowKey ClaimShard::rowKey(std::uint64_t sequence) const
{
    return {std::string(LogTable), fmt::format("{:05}/{:020}", m_shard.index, sequence)};
}

std::string ClaimShard::fenceValue() const
{
    WireWriter writer;
    writeFence(writer, m_fence);
    writePeer(writer, m_self);
    return writer.take();
}

WriteRows ClaimShard::transaction(std::vector<RowWrite> writes) const
{
    writes.push_back({fenceKey(), RowAction::Check, m_fenceVersion, {}});
    return {m_settings.transaction(std::move(writes))};
}

} // namespace banyankeel

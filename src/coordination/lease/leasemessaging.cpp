// Message and store reply handling of ShardLeases.

#include "coordination/lease/shardleases.h"

#include "state/errors.h"

#include <algorithm>

namespace banyankeel
{

namespace
{
constexpr std::string_view LeaseTable = "leases";
constexpr std::string_view LayoutKey = "layout";
constexpr double LayoutReadsPerSecond = 500.0;
constexpr std::size_t MaxReadsPerCall = 256;
constexpr std::size_t MaxHoldersPerMessage = 256;
constexpr std::size_t MaxMarksPerMessage = 512;

RowKey rowKey(const ShardId &shard)
{
    return {std::string(LeaseTable), leaseKey(shard)};
}

const Row *findRow(const RowsRead &read, const RowKey &key)
{
    const auto it = std::find_if(read.rows.begin(), read.rows.end(), [&](const Row &row) { return row.key == key; });
    return it == read.rows.end() ? nullptr : &*it;
}
} // namespace

std::vector<MessageType> ShardLeases::handledTypes()
{
    return {MessageType::HolderTable, MessageType::HolderTablePull, MessageType::LeaseHeartbeat, MessageType::LeasePromise};
}

void ShardLeases::receive(const Peer &from, const Envelope &envelope, TimePoint now, Outbox &out)
{
    switch (envelope.type) {
    case MessageType::HolderTable:
        receiveHolderTable(HolderTable::decode(envelope), now);
        break;
    case MessageType::HolderTablePull:
        receiveHolderTablePull(from, HolderTablePull::decode(envelope), out);
        break;
    case MessageType::LeaseHeartbeat:
        receiveHeartbeat(from, LeaseHeartbeat::decode(envelope), now, out);
        break;
    case MessageType::LeasePromise:
        receivePromise(from, LeasePromise::decode(envelope), now);
        break;
    default:
        throw ProtocolError("shard leases: unexpected message type");
    }
}

void ShardLeases::receiveHolderTable(const HolderTable &table, TimePoint now)
{
    if (!m_layout && !table.layout.empty()) {
        m_layout = ShardLayout::decode(table.layout);
    }
    if (!m_layout) {
        return;
    }
    for (const ShardHolder &it : table.holders) {
        if (!m_layout->has(it.shard)) {
            continue;
        }
        const auto entry = m_entries.find(it.shard);
        if (entry != m_entries.end() && entry->second.held && it.fence > entry->second.held->fence()) {
            dropLease(it.shard, entry->second);
            entry->second.needsRead = true;
            entry->second.nextStep = now;
        }
        recordHolder(it);
    }
}

void ShardLeases::receiveHolderTablePull(const Peer &from, const HolderTablePull &pull, Outbox &out) const
{
    HolderTable table;
    table.layout = m_layout ? m_layout->encode() : std::string();
    for (auto it = m_knownHolders.lower_bound(pull.from); it != m_knownHolders.end(); ++it) {
        table.holders.push_back(it->second);
        if (table.holders.size() == MaxHoldersPerMessage) {
            out.send(from.endpoint, table.encode());
            table.holders.clear();
        }
    }
    out.send(from.endpoint, table.encode());
}

void ShardLeases::receiveHeartbeat(const Peer &from, const LeaseHeartbeat &heartbeat, TimePoint now, Outbox &out)
{
    if (!m_layout || !m_start) {
        return;
    }
    LeasePromise promise{heartbeat.asked, {}};
    for (const LeaseState &mark : heartbeat.marks) {
        if (!m_layout->has(mark.shard)) {
            continue;
        }
        Entry &entry = m_entries[mark.shard];
        if (mark.isReleased) {
            entry.needsRead = true;
            entry.nextStep = now;
        } else if (canPromise(from, mark, entry, now)) {
            entry.promisedUntil = std::max(entry.promisedUntil, now + m_settings.withDriftMargin(m_settings.promiseTerm));
            promise.marks.push_back(mark);
            recordHolder({mark.shard, from, mark.fence});
        }
    }
    if (!promise.marks.empty()) {
        out.send(from.endpoint, promise.encode());
    }
}

bool ShardLeases::canPromise(const Peer &from, const LeaseState &mark, Entry &entry, TimePoint now) const
{
    // After a restart a node does not know which leases its previous process took or requested. It makes no promises until it has read the
    // row after all writes of that process are certain to have ended.
    const TimePoint previousWritesEnd = *m_start + m_settings.shortTerm;
    if (!entry.readSentAt || *entry.readSentAt < previousWritesEnd) {
        entry.needsRead = entry.needsRead || now >= previousWritesEnd;
        return false;
    }
    if (entry.version < mark.version) {
        entry.needsRead = true;
    }
    const auto known = m_knownHolders.find(mark.shard);
    if (entry.held || entry.pendingWrite || (known != m_knownHolders.end() && known->second.fence > mark.fence)) {
        return false;
    }
    if (!entry.row || entry.row->fence < mark.fence) {
        return true;
    }
    const bool isSame = entry.row->holder.node == from.node && entry.row->holder.incarnation == from.incarnation;
    return entry.row->fence == mark.fence && isSame && !entry.row->isReleased;
}

void ShardLeases::receivePromise(const Peer &from, const LeasePromise &promise, TimePoint now)
{
    const TimePoint sentAt{Duration(static_cast<std::int64_t>(promise.asked))};
    if (sentAt > now) {
        return;
    }
    for (const LeaseState &mark : promise.marks) {
        const auto it = m_entries.find(mark.shard);
        // A promise for an earlier fence of this node may carry a timestamp of a previous process.
        if (it != m_entries.end() && it->second.held && it->second.held->fence() == mark.fence) {
            it->second.held->recordPromise(from.endpoint, m_settings.promiseStart(sentAt, now));
        }
    }
}

StoreTicket ShardLeases::registerCall(Call call)
{
    m_storeCalls.emplace(++m_lastTicket, std::move(call));
    return static_cast<StoreTicket>(m_lastTicket);
}

void ShardLeases::storeReplied(StoreTicket ticket, const StoreReply &reply, TimePoint now, Outbox &out)
{
    const auto it = m_storeCalls.find(static_cast<std::uint64_t>(ticket));
    if (it == m_storeCalls.end()) {
        return;
    }
    const Call call = std::move(it->second);
    m_storeCalls.erase(it);
    switch (call.kind) {
    case CallKind::ReadLayout:
    case CallKind::WriteLayout:
        handleLayoutReply(call, reply);
        break;
    case CallKind::ReadRows:
        handleReadReply(call, reply, now);
        break;
    case CallKind::WriteRow:
        handleWriteReply(call, reply, now);
        break;
    }
    // Act on the new state without waiting for the next tick.
    tick(now, out);
}

void ShardLeases::fetchLayout(TimePoint now, Outbox &out)
{
    if (m_nextLayoutCall == TimePoint::min() && m_hooks.fleetSize) {
        // Spread the reads, since a whole fleet may start at the same time. Most nodes learn the layout from peers before their read is due.
        const double spread = static_cast<double>(m_hooks.fleetSize()) / LayoutReadsPerSecond * uniformReal(m_random);
        m_nextLayoutCall = now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(spread));
    }
    if (m_isLayoutCallPending || now < m_nextLayoutCall) {
        return;
    }
    const RowKey key{std::string(LeaseTable), std::string(LayoutKey)};
    const std::optional<ShardLayout> proposed = m_isLayoutAbsent ? m_hooks.proposedLayout() : std::nullopt;
    m_isLayoutCallPending = true;
    m_isLayoutAbsent = false;
    m_nextLayoutCall = now + m_settings.retryInterval;
    if (proposed) {
        proposed->check();
        m_nextLayoutCall = now;
        out.callStore(registerCall({CallKind::WriteLayout, {}, now}), WriteRows{{{key, RowAction::Put, RowVersion{0}, proposed->encode()}}});
        return;
    }
    out.callStore(registerCall({CallKind::ReadLayout, {}, now}), ReadRows{{key}});
}

void ShardLeases::handleLayoutReply(const Call &call, const StoreReply &reply)
{
    m_isLayoutCallPending = false;
    const auto *read = std::get_if<RowsRead>(&reply);
    if (m_layout || call.kind == CallKind::WriteLayout || read == nullptr) {
        // The next read shows whether a write took effect.
        return;
    }
    if (!read->rows.empty()) {
        m_layout = ShardLayout::decode(read->rows.front().value);
        return;
    }
    m_isLayoutAbsent = true;
    m_nextLayoutCall = TimePoint{};
}

void ShardLeases::handleReadReply(const Call &call, const StoreReply &reply, TimePoint now)
{
    const auto *read = std::get_if<RowsRead>(&reply);
    for (const ShardId &shard : call.shards) {
        Entry &entry = m_entries[shard];
        entry.isCallPending = false;
        if (read == nullptr) {
            entry.nextStep = now + m_settings.retryInterval;
            continue;
        }
        entry.needsRead = false;
        entry.readSentAt = call.sentAt;
        entry.nextRead = now + m_settings.readInterval;
        applyRow(shard, entry, findRow(*read, rowKey(shard)), now);
    }
}

void ShardLeases::applyRow(const ShardId &shard, Entry &entry, const Row *row, TimePoint now)
{
    const RowVersion version = row == nullptr ? 0 : row->version;
    if (version < entry.version) {
        return;
    }
    if (version > entry.version || entry.versionSeenAt == TimePoint::min()) {
        entry.version = version;
        entry.versionSeenAt = now;
        entry.row = row == nullptr ? std::nullopt : std::optional(LeaseRow::decode(row->value));
    }
    if (entry.row && !entry.row->isReleased) {
        recordHolder({shard, entry.row->holder, entry.row->fence});
    }
    if (entry.pendingWrite) {
        resolvePendingWrite(shard, entry, now);
    }
    const bool isOwn = entry.row && entry.row->holder == m_self && entry.held && entry.row->fence == entry.held->fence();
    if (entry.held && !isOwn) {
        dropLease(shard, entry);
    }
}

void ShardLeases::resolvePendingWrite(const ShardId &shard, Entry &entry, TimePoint now)
{
    if (entry.version == entry.pendingWrite->expected) {
        // The write has not taken effect yet but still may, so it is resent until its outcome is certain.
        return;
    }
    if (entry.version == entry.pendingWrite->expected + 1 && entry.row == entry.pendingWrite->row) {
        handleRowWritten(shard, entry, entry.pendingWrite->firstSentAt, now);
        return;
    }
    entry.pendingWrite.reset();
}

void ShardLeases::handleWriteReply(const Call &call, const StoreReply &reply, TimePoint now)
{
    const ShardId &shard = call.shards.front();
    Entry &entry = m_entries[shard];
    entry.isCallPending = false;
    if (!entry.pendingWrite) {
        return;
    }
    if (std::holds_alternative<RowsWritten>(reply)) {
        entry.version = entry.pendingWrite->expected + 1;
        entry.versionSeenAt = now;
        entry.row = entry.pendingWrite->row;
        handleRowWritten(shard, entry, call.sentAt, now);
        return;
    }
    entry.needsRead = true;
    if (std::holds_alternative<StoreFailure>(reply)) {
        entry.nextStep = now + m_settings.retryInterval;
    }
}

void ShardLeases::handleRowWritten(const ShardId &shard, Entry &entry, TimePoint sentAt, TimePoint now)
{
    const LeaseRow row = std::move(entry.pendingWrite->row);
    entry.pendingWrite.reset();
    entry.nextRead = now + m_settings.readInterval;
    if (row.isReleased) {
        m_releasedMarks.push_back({shard, row.fence, entry.version, true});
        return;
    }
    if (m_isStopping) {
        return;
    }
    const bool isRenewal = entry.held && entry.held->fence() == row.fence;
    if (!isRenewal || entry.held->successors() != row.successors) {
        entry.successorsChosenAt = now;
    }
    if (isRenewal) {
        entry.held->rowWriteSucceeded(sentAt, row.successors);
    } else {
        entry.held.emplace(row.fence, sentAt, row.successors);
    }
    recordHolder({shard, m_self, row.fence});
}

void ShardLeases::recordHolder(const ShardHolder &holder)
{
    const auto [it, isNew] = m_knownHolders.try_emplace(holder.shard, holder);
    if (isNew || holder.fence > it->second.fence) {
        it->second = holder;
        m_unannouncedHolders.insert(holder.shard);
    }
}

void ShardLeases::sendReads(TimePoint now, Outbox &out)
{
    for (std::size_t i = 0; i < m_dueReads.size(); i += MaxReadsPerCall) {
        const std::size_t end = std::min(i + MaxReadsPerCall, m_dueReads.size());
        const std::vector<ShardId> shards(m_dueReads.begin() + static_cast<std::ptrdiff_t>(i), m_dueReads.begin() + static_cast<std::ptrdiff_t>(end));
        ReadRows request;
        for (const ShardId &shard : shards) {
            m_entries[shard].isCallPending = true;
            request.keys.push_back(rowKey(shard));
        }
        out.callStore(registerCall({CallKind::ReadRows, shards, now}), std::move(request));
    }
    m_dueReads.clear();
}

void ShardLeases::sendHeartbeats(TimePoint now, Outbox &out)
{
    if (now < m_nextHeartbeat && m_releasedMarks.empty()) {
        return;
    }
    m_nextHeartbeat = now + m_settings.heartbeatInterval;
    std::map<Endpoint, std::vector<LeaseState>> marks;
    for (const auto &[shard, entry] : m_entries) {
        if (!entry.held) {
            continue;
        }
        for (const Peer &it : entry.held->requiredSuccessors()) {
            marks[it.endpoint].push_back({shard, entry.held->fence(), entry.version, false});
        }
    }
    const std::vector<Peer> view = m_releasedMarks.empty() ? std::vector<Peer>{} : m_hooks.view();
    for (const LeaseState &mark : m_releasedMarks) {
        std::vector<Peer> order = ranking(mark.shard, view);
        order.resize(std::min(order.size(), m_settings.candidates), m_self);
        for (const Peer &it : order) {
            if (it.node != m_self.node) {
                marks[it.endpoint].push_back(mark);
            }
        }
    }
    m_releasedMarks.clear();
    const auto sentAt = static_cast<SenderTime>(now.time_since_epoch().count());
    for (const auto &[endpoint, all] : marks) {
        for (std::size_t i = 0; i < all.size(); i += MaxMarksPerMessage) {
            const auto end = static_cast<std::ptrdiff_t>(std::min(i + MaxMarksPerMessage, all.size()));
            out.send(endpoint, LeaseHeartbeat{sentAt, {all.begin() + static_cast<std::ptrdiff_t>(i), all.begin() + end}}.encode());
        }
    }
}

void ShardLeases::gossipHolders(TimePoint now, Outbox &out)
{
    if (m_unannouncedHolders.empty() && now < m_nextPull) {
        return;
    }
    const std::vector<Peer> view = m_hooks.view();
    if (view.empty()) {
        return;
    }
    HolderTable table;
    while (!m_unannouncedHolders.empty() && table.holders.size() < MaxHoldersPerMessage) {
        table.holders.push_back(m_knownHolders.at(*m_unannouncedHolders.begin()));
        m_unannouncedHolders.erase(m_unannouncedHolders.begin());
    }
    for (std::size_t i = 0; i < m_settings.gossipFanout && !table.holders.empty(); ++i) {
        out.send(view[uniformBelow(m_random, view.size())].endpoint, table.encode());
    }
    if (now < m_nextPull) {
        return;
    }
    const bool isComplete = m_layout && m_knownHolders.size() == m_layout->all().size();
    m_nextPull = now + (isComplete ? m_settings.pullInterval : m_settings.retryInterval);
    const HolderTablePull pull{ShardId{ShardKind::Quota, 0}};
    out.send(view[uniformBelow(m_random, view.size())].endpoint, pull.encode());
}

} // namespace banyankeel

#include "coordination/lease/shardleases.h"

#include "coordination/lease/rendezvous.h"
#include "state/errors.h"

#include <algorithm>

namespace banyankeel
{

namespace
{
constexpr std::string_view LeaseTable = "leases";
constexpr Duration RankRefreshInterval = std::chrono::seconds(3);

// Renewals start early enough to allow two retries before the short term ends.
constexpr int RenewalsPerShortTerm = 3;
constexpr int RenewalsPerLongTerm = 4;

bool isSameHolder(const Peer &left, const Peer &right)
{
    return left.node == right.node && left.incarnation == right.incarnation;
}
} // namespace

ShardLeases::ShardLeases(Peer self, LeaseSettings settings, LeaseHooks hooks, RandomSource random)
    : m_self(std::move(self))
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_random(std::move(random))
{
    m_settings.check();
}

std::optional<ShardHolder> ShardLeases::holderOf(const ShardId &shard) const
{
    const auto it = m_knownHolders.find(shard);
    return it == m_knownHolders.end() ? std::nullopt : std::optional(it->second);
}

std::optional<Fence> ShardLeases::heldFence(const ShardId &shard, TimePoint now) const
{
    const auto it = m_entries.find(shard);
    if (it == m_entries.end() || !it->second.held || now >= it->second.held->validUntil(m_settings)) {
        return std::nullopt;
    }
    return it->second.held->fence();
}

std::vector<ShardId> ShardLeases::heldShards(TimePoint now) const
{
    std::vector<ShardId> shards;
    for (const auto &[shard, entry] : m_entries) {
        if (heldFence(shard, now)) {
            shards.push_back(shard);
        }
    }
    return shards;
}

void ShardLeases::tick(TimePoint now, Outbox &out)
{
    if (!m_start) {
        m_start = now;
    }
    gossipHolders(now, out);
    if (!m_layout) {
        fetchLayout(now, out);
        return;
    }
    refreshRanks(now);
    for (auto &[shard, entry] : m_entries) {
        step(shard, entry, now, out);
    }
    sendReads(now, out);
    sendHeartbeats(now, out);
}

void ShardLeases::refreshRanks(TimePoint now)
{
    if (now < m_nextRankRefresh) {
        return;
    }
    m_nextRankRefresh = now + RankRefreshInterval;
    const std::vector<Peer> view = m_hooks.view();
    const std::size_t fleet = m_hooks.fleetSize ? std::max(m_hooks.fleetSize(), view.size() + 1) : view.size() + 1;
    for (const ShardId &shard : m_layout->all()) {
        const std::optional<std::size_t> rank = rankOf(shard, view);
        // A partial view lacks peers that rank higher, so the weight must also be high in relation to the fleet size.
        const bool hasHighWeight = (1.0 - rendezvousWeight(shard, m_self.node)) * static_cast<double>(fleet) < static_cast<double>(4 * m_settings.candidates);
        if (rank && *rank < m_settings.candidates && (hasHighWeight || fleet == view.size() + 1)) {
            m_entries[shard].rank = rank;
        } else if (const auto it = m_entries.find(shard); it != m_entries.end()) {
            it->second.rank.reset();
        }
    }
}

std::optional<std::size_t> ShardLeases::rankOf(const ShardId &shard, const std::vector<Peer> &view) const
{
    const RegionName *region = m_layout->regionOf(shard);
    const auto isLocal = [region](const Peer &it) { return region == nullptr || it.place.region == *region; };
    // Shards of a region without live nodes are held in other regions.
    const bool isAnyLocal = isLocal(m_self) || std::any_of(view.begin(), view.end(), isLocal);
    if (isAnyLocal && !isLocal(m_self)) {
        return std::nullopt;
    }
    const double own = rendezvousWeight(shard, m_self.node);
    const auto isHigher = [&](const Peer &it) { return (!isAnyLocal || isLocal(it)) && rendezvousWeight(shard, it.node) > own; };
    return static_cast<std::size_t>(std::count_if(view.begin(), view.end(), isHigher));
}

std::vector<Peer> ShardLeases::ranking(const ShardId &shard, const std::vector<Peer> &view) const
{
    std::vector<Peer> all = view;
    all.push_back(m_self);
    if (const RegionName *region = m_layout->regionOf(shard)) {
        std::vector<Peer> local;
        std::copy_if(all.begin(), all.end(), std::back_inserter(local), [&](const Peer &it) { return it.place.region == *region; });
        // Shards of a region without live nodes are held in other regions.
        if (!local.empty()) {
            all = std::move(local);
        }
    }
    return rankedByRendezvous(shard, std::move(all));
}

std::vector<Peer> ShardLeases::chooseSuccessors(const ShardId &shard, const Entry &entry, TimePoint now)
{
    const auto isUnresponsive = [&](const Peer &it) {
        const auto silent = m_unresponsiveUntil.find(it.endpoint);
        return silent != m_unresponsiveUntil.end() && now < silent->second;
    };
    std::vector<Peer> pool = entry.held ? entry.held->successors() : std::vector<Peer>{};
    const std::vector<Peer> order = ranking(shard, m_hooks.view());
    pool.insert(pool.end(), order.begin(), order.end());
    std::vector<Peer> chosen;
    for (const Peer &it : pool) {
        const auto isSame = [&it](const Peer &other) { return other.endpoint == it.endpoint; };
        const bool isUsed = std::any_of(chosen.begin(), chosen.end(), isSame);
        if (chosen.size() < m_settings.successors && !isUsed && it.node != m_self.node && !isUnresponsive(it)) {
            chosen.push_back(it);
        }
    }
    return chosen;
}

void ShardLeases::step(const ShardId &shard, Entry &entry, TimePoint now, Outbox &out)
{
    trackValidity(shard, entry, now, out);
    if (entry.isCallPending || now < entry.nextStep) {
        return;
    }
    if (entry.needsRead || ((entry.rank || entry.held) && now >= entry.nextRead)) {
        m_dueReads.push_back(shard);
        return;
    }
    if (entry.pendingWrite) {
        sendWrite(shard, entry, now, out);
        return;
    }
    if (m_isStopping) {
        const bool isHeldBySelf = entry.row && isSameHolder(entry.row->holder, m_self) && !entry.row->isReleased;
        if (isHeldBySelf) {
            startWrite(shard, entry, {m_self, entry.row->fence, {}, true}, now, out);
        }
        return;
    }
    if (entry.held) {
        stepHeld(shard, entry, now, out);
    } else if (canAcquire(entry, now)) {
        if (now - *entry.readSentAt > m_settings.retryInterval) {
            // Read first: a read is cheaper than a rejected write if the row has changed.
            entry.needsRead = true;
            m_dueReads.push_back(shard);
            return;
        }
        const auto fence = static_cast<Fence>(entry.row ? static_cast<std::uint64_t>(entry.row->fence) + 1 : 1);
        startWrite(shard, entry, {m_self, fence, chooseSuccessors(shard, entry, now), false}, now, out);
    }
}

void ShardLeases::stepHeld(const ShardId &shard, Entry &entry, TimePoint now, Outbox &out)
{
    const HeldLease &held = *entry.held;
    markUnresponsiveSuccessors(entry, now);
    const auto isUnresponsive = [this](const Peer &it) { return m_unresponsiveUntil.contains(it.endpoint); };
    const bool isPromised = now < held.promisedUntil(m_settings);
    const bool isCovered = isPromised && std::none_of(held.successors().begin(), held.successors().end(), isUnresponsive);
    const Duration age = now - held.rowWriteSentAt();
    if (isCovered && age < m_settings.longTerm / RenewalsPerLongTerm) {
        const bool lacksSuccessors = held.successors().size() < m_settings.successors;
        if (!lacksSuccessors || age < m_settings.shortTerm || chooseSuccessors(shard, entry, now).size() <= held.successors().size()) {
            return;
        }
    }
    if (!isCovered && age < m_settings.shortTerm / RenewalsPerShortTerm) {
        return;
    }
    // Keep the successors while their promises hold. A renewal with other successors would also require promises of the new ones until its
    // outcome is known.
    const bool keepsSuccessors = isCovered && held.successors().size() == m_settings.successors;
    startWrite(shard, entry, {m_self, held.fence(), keepsSuccessors ? held.successors() : chooseSuccessors(shard, entry, now), false}, now, out);
}

void ShardLeases::markUnresponsiveSuccessors(const Entry &entry, TimePoint now)
{
    for (const Peer &it : entry.held->successors()) {
        const TimePoint promiseStart = entry.held->lastPromiseStart(it.endpoint);
        const bool isOverdue = promiseStart != TimePoint::min() && now >= promiseStart + m_settings.responseTimeout();
        // A new successor must read the row first, and makes no promises for a short term after its startup.
        const bool neverResponded = promiseStart == TimePoint::min() && now >= entry.successorsChosenAt + m_settings.shortTerm + m_settings.promiseTerm;
        if (isOverdue || neverResponded) {
            m_unresponsiveUntil[it.endpoint] = now + m_settings.unresponsiveExclusion;
        }
    }
    std::erase_if(m_unresponsiveUntil, [now](const auto &it) { return it.second <= now; });
}

bool ShardLeases::canAcquire(const Entry &entry, TimePoint now) const
{
    if (!entry.readSentAt) {
        return false;
    }
    if (!entry.row || entry.row->isReleased) {
        const TimePoint earliest = std::max(*m_start + m_settings.startupDelay, entry.versionSeenAt);
        return entry.rank && now >= earliest + static_cast<int>(*entry.rank) * m_settings.startupDelay;
    }
    if (now < entry.promisedUntil || now < entry.versionSeenAt + m_settings.withDriftMargin(m_settings.shortTerm)) {
        return false;
    }
    const auto &successors = entry.row->successors;
    if (successors.empty()) {
        return entry.rank.has_value();
    }
    // An endpoint is used by one process at a time, so a restarted node inherits the successor role of its previous process.
    const auto self = std::find_if(successors.begin(), successors.end(), [this](const Peer &it) { return it.endpoint == m_self.endpoint; });
    if (self != successors.end()) {
        return now >= entry.promisedUntil + (self - successors.begin()) * m_settings.retryInterval || entry.promisedUntil == TimePoint::min();
    }
    return entry.rank && now >= entry.versionSeenAt + m_settings.withDriftMargin(m_settings.longTerm);
}

void ShardLeases::startWrite(const ShardId &shard, Entry &entry, LeaseRow row, TimePoint now, Outbox &out)
{
    if (entry.held && !row.isReleased) {
        entry.held->rowWriteStarted(row.successors);
    }
    entry.pendingWrite = PendingWrite{std::move(row), entry.version, now, now};
    sendWrite(shard, entry, now, out);
}

void ShardLeases::sendWrite(const ShardId &shard, Entry &entry, TimePoint now, Outbox &out)
{
    PendingWrite &pendingWrite = *entry.pendingWrite;
    pendingWrite.sentAt = now;
    entry.isCallPending = true;
    const RowKey key{std::string(LeaseTable), leaseKey(shard)};
    const StoreTicket ticket = registerCall({CallKind::WriteRow, {shard}, now});
    out.callStore(ticket, WriteRows{{{key, RowAction::Put, pendingWrite.expected, pendingWrite.row.encode()}}});
}

void ShardLeases::dropLease(const ShardId &shard, Entry &entry)
{
    entry.held.reset();
    if (entry.wasValid && m_hooks.lost) {
        m_hooks.lost(shard);
    }
    entry.wasValid = false;
}

void ShardLeases::trackValidity(const ShardId &shard, Entry &entry, TimePoint now, Outbox &out)
{
    const bool isValid = heldFence(shard, now).has_value();
    if (isValid == entry.wasValid) {
        return;
    }
    entry.wasValid = isValid;
    if (!isValid) {
        // Another node may have taken over the shard.
        entry.needsRead = true;
    }
    out.note({isValid ? TimelineKind::LeaseTaken : TimelineKind::LeaseLost, std::nullopt, 0, "shard=" + leaseKey(shard)});
    if (isValid && m_hooks.gained) {
        m_hooks.gained(shard, entry.held->fence());
    }
    if (!isValid && m_hooks.lost) {
        m_hooks.lost(shard);
    }
}

void ShardLeases::release(TimePoint now, Outbox &out)
{
    m_isStopping = true;
    for (auto &[shard, entry] : m_entries) {
        if (entry.held) {
            dropLease(shard, entry);
        }
    }
    // step() releases each row once the outcome of its pending write is known.
    tick(now, out);
}

bool ShardLeases::isReleased() const
{
    const auto isOpen = [this](const auto &it) {
        const Entry &entry = it.second;
        const bool isHeldBySelf = entry.row && isSameHolder(entry.row->holder, m_self) && !entry.row->isReleased;
        return entry.pendingWrite || isHeldBySelf;
    };
    return m_isStopping && std::none_of(m_entries.begin(), m_entries.end(), isOpen);
}

} // namespace banyankeel

// Target announcements, directory shards and subscriptions of Membership.

#include "coordination/membership/membership.h"

#include <algorithm>
#include <utility>

namespace banyankeel
{

namespace
{
constexpr Duration HeldShardCheckInterval = std::chrono::seconds(1);
constexpr Duration GoneRetention = std::chrono::minutes(10);
constexpr Duration ExpiryInterval = std::chrono::seconds(2);
constexpr Duration RecheckInterval = std::chrono::seconds(5);
constexpr unsigned MissingAnswersUntilGone = 2;
/// In a small fleet every node has acknowledged the record, so periodic announcements are only a safeguard and sent less often by this factor.
constexpr int SmallFleetAnnounceFactor = 6;
constexpr std::size_t QueriesWithoutHolder = 2;
} // namespace

void Membership::announce(const ServiceName &service, TargetState state, std::uint32_t slots, std::uint32_t connections)
{
    ++m_version;
    m_localTarget = TargetRecord{m_settings.self, service, state, slots, connections, m_version};
    m_isAnnouncementDue = true;
}

void Membership::subscribe(const ServiceName &service)
{
    if (!m_subscriptions.try_emplace(service, Subscription{.nextQuery = m_now, .fence = std::nullopt}).second) {
        return;
    }
    for (const TargetRecord &record : targets(service)) {
        m_hooks.targetChanged(record);
    }
}

void Membership::unsubscribe(const ServiceName &service)
{
    m_subscriptions.erase(service);
    if (m_table.isLargeFleet()) {
        std::erase_if(m_targets, [&](const auto &it) { return it.second.record.service == service; });
    }
}

std::vector<TargetRecord> Membership::targets(const ServiceName &service) const
{
    std::vector<TargetRecord> records;
    for (const auto &[node, target] : m_targets) {
        if (target.record.service == service && target.record.state != TargetState::Gone) {
            records.push_back(target.record);
        }
    }
    return records;
}

void Membership::handleMemberGone(const MemberRumour &rumour)
{
    m_announcedTo.erase(rumour.peer.node);
    const auto it = m_targets.find(rumour.peer.node);
    // In a large fleet the directory decides: only a few nodes see this member, and only the same few could withdraw a false report.
    if (m_table.isLargeFleet() || it == m_targets.end() || it->second.record.node.incarnation > rumour.peer.incarnation) {
        return;
    }
    TargetRecord record = it->second.record;
    if (record.state != TargetState::Gone) {
        record.state = TargetState::Gone;
        storeTarget(record, m_now);
    }
}

std::optional<ShardHolder> Membership::holderOf(const ServiceName &service) const
{
    const std::uint16_t shards = std::max<std::uint16_t>(1, m_hooks.directoryShards());
    return m_hooks.holder(shardOf(ShardKind::Directory, service.text(), shards));
}

bool Membership::isHolderOf(const ServiceName &service) const
{
    const auto holder = holderOf(service);
    return holder && holder->holder.node == m_settings.self.node && holder->holder.incarnation == m_settings.self.incarnation;
}

bool Membership::hasCompleteShard(const ServiceName &service, TimePoint now) const
{
    const auto holder = holderOf(service);
    const auto it = holder ? m_heldShards.find(holder->shard) : m_heldShards.end();
    return it != m_heldShards.end() && it->second.fence == holder->fence && now - it->second.since >= 2 * m_settings.announceInterval;
}

void Membership::updateHeldShards(TimePoint now)
{
    if (now < m_nextHeldShardCheck) {
        return;
    }
    m_nextHeldShardCheck = now + HeldShardCheckInterval;
    const std::uint16_t shards = m_hooks.directoryShards();
    bool hasLost = false;
    for (std::uint16_t n = 0; n < shards; ++n) {
        const ShardId shard{ShardKind::Directory, n};
        const auto holder = m_hooks.holder(shard);
        const bool isOwn = holder && holder->holder.node == m_settings.self.node && holder->holder.incarnation == m_settings.self.incarnation;
        const auto it = m_heldShards.find(shard);
        if (!isOwn) {
            hasLost = m_heldShards.erase(shard) != 0 || hasLost;
        } else if (it == m_heldShards.end() || it->second.fence != holder->fence) {
            // Entries from an earlier tenure as holder may be older than those of the holder in between.
            m_directory.retain([&](const ServiceName &service) { return shardOf(ShardKind::Directory, service.text(), shards) != shard; });
            m_heldShards.insert_or_assign(shard, HeldShard{holder->fence, now});
        }
    }
    if (hasLost) {
        m_directory.retain([this](const ServiceName &service) { return isHolderOf(service); });
    }
}

void Membership::announceLocalTarget(TimePoint now)
{
    if (!m_localTarget) {
        return;
    }
    if (m_table.isLargeFleet()) {
        // The fleet may have been recognised as large only after the last announcement.
        m_nextAnnouncement = std::min(m_nextAnnouncement, now + 2 * m_settings.announceInterval);
    }
    const bool isDue = m_isAnnouncementDue || now >= m_nextAnnouncement;
    m_isAnnouncementDue = false;
    if (isDue) {
        const double jitter = 0.75 + uniformReal(m_random) / 2;
        const int factor = m_table.isLargeFleet() ? 1 : SmallFleetAnnounceFactor;
        m_nextAnnouncement = now + std::chrono::duration_cast<Duration>(factor * m_settings.announceInterval * jitter);
    }
    if (m_table.isLargeFleet() && holderOf(m_localTarget->service)) {
        announceToHolder(isDue, now);
    } else {
        announceToView(isDue, now);
    }
    if (isDue) {
        applyRecord(*m_localTarget, now);
    }
}

void Membership::announceToView(bool isDue, TimePoint now)
{
    if (isDue) {
        m_announcedTo.clear();
    }
    for (const auto &[node, member] : m_table.members()) {
        const Peer &peer = member.rumour.peer;
        const auto it = m_announcedTo.find(node);
        if (it == m_announcedTo.end() || it->second != peer.incarnation) {
            m_announcedTo.insert_or_assign(node, peer.incarnation);
            m_queue.enqueue(peer.endpoint, *m_localTarget, now);
        }
    }
}

void Membership::announceToHolder(bool isDue, TimePoint now)
{
    const auto holder = holderOf(m_localTarget->service);
    if (!isDue && m_localTargetHolder == holder) {
        return;
    }
    m_localTargetHolder = holder;
    if (isHolderOf(m_localTarget->service)) {
        applyToDirectory(*m_localTarget, now);
    } else {
        m_queue.enqueue(holder->holder.endpoint, *m_localTarget, now);
    }
}

void Membership::receiveAnnouncement(const Peer &from, const TargetAnnouncement &message, TimePoint now, Outbox &out)
{
    if (message.isAcknowledgement) {
        m_queue.acknowledge(from.endpoint, message.sequence);
        return;
    }
    out.send(from.endpoint, TargetAnnouncement{.isAcknowledgement = true, .sequence = message.sequence, .records = {}}.encode());
    for (const TargetRecord &record : message.records) {
        std::optional<TargetRecord> known;
        if (m_table.isLargeFleet() && isHolderOf(record.service) && applyToDirectory(record, now) == TargetDirectory::Result::Outdated) {
            known = m_directory.find(record.service, record.node.node);
        }
        if (!applyRecord(record, now) && !m_table.isLargeFleet()) {
            known = m_targets.find(record.node.node)->second.record;
        }
        // Informs the target that it is considered gone or replaced, so that it can refute that.
        if (known && from.node == record.node.node) {
            m_queue.enqueue(from.endpoint, *known, now);
        }
    }
}

void Membership::receiveQuery(const Peer &from, const DirectoryQuery &query, TimePoint now, Outbox &out)
{
    DirectoryAnswer answer{.service = query.service, .isComplete = false, .records = {}};
    if (isHolderOf(query.service)) {
        m_directory.subscribe(query.service, from, now);
        answer.isComplete = hasCompleteShard(query.service, now);
        answer.records = m_directory.targets(query.service);
    } else {
        answer.records = targets(query.service);
    }
    out.send(from.endpoint, answer.encode());
}

void Membership::receiveAnswer(const DirectoryAnswer &answer, TimePoint now)
{
    const auto subscription = m_subscriptions.find(answer.service);
    if (subscription == m_subscriptions.end()) {
        return;
    }
    std::set<NodeId> listed;
    for (const TargetRecord &record : answer.records) {
        listed.insert(record.node.node);
        if (!applyRecord(record, now)) {
            // An earlier holder reported that the target is gone: the target has to refute that.
            m_queue.enqueue(record.node.endpoint, m_targets.find(record.node.node)->second.record, now);
        }
    }
    subscription->second.nextQuery = now + (answer.isComplete ? m_settings.queryInterval : RecheckInterval);
    if (!answer.isComplete) {
        return;
    }
    // An answer may be older than an announcement that overtook it, so a target is removed only after a second answer without it. No record is kept,
    // so that none supersedes the target's next announcement.
    std::vector<TargetRecord> missing;
    for (auto &[node, target] : m_targets) {
        const bool isOwn = node == m_settings.self.node;
        if (isOwn || target.record.service != answer.service || target.record.state == TargetState::Gone || listed.count(node) != 0) {
            target.missingAnswers = 0;
            continue;
        }
        subscription->second.nextQuery = now + RecheckInterval;
        if (++target.missingAnswers >= MissingAnswersUntilGone) {
            missing.push_back(target.record);
        }
    }
    for (TargetRecord &record : missing) {
        record.state = TargetState::Gone;
        m_targets.erase(record.node.node);
        m_hooks.targetChanged(record);
    }
}

void Membership::query(TimePoint now, Outbox &out)
{
    if (!m_table.isLargeFleet()) {
        return;
    }
    for (auto &[service, subscription] : m_subscriptions) {
        const auto holder = holderOf(service);
        const auto fence = holder ? std::optional(holder->fence) : std::nullopt;
        if (fence != subscription.fence) {
            subscription.fence = fence;
            subscription.nextQuery = now;
        }
        if (now >= subscription.nextQuery) {
            // The answer postpones the next query.
            subscription.nextQuery = now + m_settings.queryRetry;
            sendQuery(service, holder, now, out);
        }
    }
}

void Membership::sendQuery(const ServiceName &service, const std::optional<ShardHolder> &holder, TimePoint now, Outbox &out)
{
    const Envelope envelope = DirectoryQuery{service}.encode();
    if (!holder) {
        for (const Peer &peer : m_table.randomPeers(QueriesWithoutHolder, m_settings.self.node)) {
            out.send(peer.endpoint, envelope);
        }
        return;
    }
    if (!isHolderOf(service)) {
        out.send(holder->holder.endpoint, envelope);
        return;
    }
    m_directory.subscribe(service, m_settings.self, now);
    receiveAnswer({service, hasCompleteShard(service, now), m_directory.targets(service)}, now);
}

void Membership::expire(TimePoint now)
{
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + ExpiryInterval;
    for (const TargetRecord &record : m_directory.expire(now)) {
        notifySubscribers(record, now);
    }
    std::erase_if(m_targets, [&](const auto &it) { return it.second.record.state == TargetState::Gone && now - it.second.changedAt > GoneRetention; });
}

bool Membership::applyRecord(const TargetRecord &record, TimePoint now)
{
    const bool isOwn = record.node.node == m_settings.self.node;
    if (isOwn && record.node.incarnation == m_settings.self.incarnation && record.state == TargetState::Gone && m_localTarget
        && m_localTarget->state != TargetState::Gone) {
        handleOwnRumour({record.node, record.version, MemberState::Gone});
        return true;
    }
    if (isOwn && record.node.incarnation != m_settings.self.incarnation) {
        handleOwnRumour({record.node, record.version, MemberState::Alive});
        return true;
    }
    const bool isWanted = !m_table.isLargeFleet() || m_subscriptions.count(record.service) != 0;
    if (!isWanted) {
        return true;
    }
    const auto it = m_targets.find(record.node.node);
    if (it != m_targets.end() && !m_hooks.rules.supersedes(record, it->second.record)) {
        return it->second.record.state != TargetState::Gone && record.node.incarnation >= it->second.record.node.incarnation;
    }
    if (!m_table.isLargeFleet() && !isOwn) {
        if (m_table.isOutdated(record.node, record.version)) {
            return true;
        }
        // A member and its target share one version counter, so that a member is declared gone at the version of its last announcement.
        m_table.apply({record.node, record.version, MemberState::Alive}, now);
    }
    storeTarget(record, now);
    return true;
}

void Membership::storeTarget(const TargetRecord &record, TimePoint now)
{
    m_targets.insert_or_assign(record.node.node, KnownTarget{record, now});
    if (m_subscriptions.count(record.service) != 0) {
        m_hooks.targetChanged(record);
    }
}

TargetDirectory::Result Membership::applyToDirectory(const TargetRecord &record, TimePoint now)
{
    const TargetDirectory::Result result = m_directory.apply(record, now);
    if (result == TargetDirectory::Result::Changed) {
        notifySubscribers(record, now);
    }
    return result;
}

void Membership::notifySubscribers(const TargetRecord &record, TimePoint now)
{
    for (const Peer &peer : m_directory.subscribers(record.service)) {
        if (peer.node == m_settings.self.node) {
            applyRecord(record, now);
        } else if (peer.node != record.node.node) {
            m_queue.enqueue(peer.endpoint, record, now);
        }
    }
}

} // namespace banyankeel

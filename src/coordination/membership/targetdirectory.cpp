#include "coordination/membership/targetdirectory.h"

#include <utility>

namespace banyankeel
{

TargetDirectory::TargetDirectory(TargetDirectorySettings settings)
    : m_settings(std::move(settings))
{
}

TargetDirectory::Result TargetDirectory::apply(const TargetRecord &record, TimePoint now)
{
    Entry &entry = m_services[record.service];
    const auto it = entry.targets.find(record.node.node);
    if (it == entry.targets.end()) {
        if (m_targetCount >= m_settings.maxTargets || record.state == TargetState::Gone) {
            return Result::Unchanged;
        }
        entry.targets.emplace(record.node.node, StoredTarget{record, now});
        ++m_targetCount;
        return Result::Changed;
    }
    TargetRecord &known = it->second.record;
    if (m_settings.supersedes(record, known)) {
        known = record;
        it->second.lastSeenAt = now;
        return Result::Changed;
    }
    if (record.node.incarnation < known.node.incarnation || known.state == TargetState::Gone) {
        return Result::Outdated;
    }
    // Only a repetition of the current record shows that the target is alive; an older one does not.
    if (record.version == known.version) {
        it->second.lastSeenAt = now;
    }
    return Result::Unchanged;
}

std::optional<TargetRecord> TargetDirectory::find(const ServiceName &service, const NodeId &node) const
{
    const auto entry = m_services.find(service);
    if (entry == m_services.end()) {
        return std::nullopt;
    }
    const auto it = entry->second.targets.find(node);
    return it == entry->second.targets.end() ? std::nullopt : std::optional(it->second.record);
}

void TargetDirectory::subscribe(const ServiceName &service, const Peer &peer, TimePoint now)
{
    Entry &entry = m_services[service];
    const bool isKnown = entry.subscribers.count(peer.node) != 0;
    if (!isKnown && m_subscriberCount >= m_settings.maxSubscribers) {
        return;
    }
    m_subscriberCount += isKnown ? 0 : 1;
    entry.subscribers.insert_or_assign(peer.node, Subscriber{peer, now});
}

std::vector<TargetRecord> TargetDirectory::targets(const ServiceName &service) const
{
    std::vector<TargetRecord> records;
    const auto it = m_services.find(service);
    if (it != m_services.end()) {
        for (const auto &[node, target] : it->second.targets) {
            if (target.record.state != TargetState::Gone) {
                records.push_back(target.record);
            }
        }
    }
    return records;
}

std::vector<Peer> TargetDirectory::subscribers(const ServiceName &service) const
{
    std::vector<Peer> peers;
    const auto it = m_services.find(service);
    if (it != m_services.end()) {
        for (const auto &[node, subscriber] : it->second.subscribers) {
            peers.push_back(subscriber.peer);
        }
    }
    return peers;
}

std::vector<TargetRecord> TargetDirectory::expire(TimePoint now)
{
    std::vector<TargetRecord> gone;
    for (auto &[service, entry] : m_services) {
        for (auto &[node, target] : entry.targets) {
            if (target.record.state != TargetState::Gone && now - target.lastSeenAt > m_settings.targetExpiry) {
                // The record must supersede the one known to subscribers. A target that is still alive refutes it with a higher version.
                ++target.record.version;
                target.record.state = TargetState::Gone;
                gone.push_back(target.record);
            }
        }
        m_targetCount -= std::erase_if(entry.targets, [&](const auto &it) { return now - it.second.lastSeenAt > m_settings.goneRetention; });
        m_subscriberCount -= std::erase_if(entry.subscribers, [&](const auto &it) { return now - it.second.lastSeenAt > m_settings.subscriberExpiry; });
    }
    std::erase_if(m_services, [](const auto &it) { return it.second.targets.empty() && it.second.subscribers.empty(); });
    return gone;
}

void TargetDirectory::retain(const std::function<bool(const ServiceName &)> &isKept)
{
    std::erase_if(m_services, [&](const auto &it) {
        if (isKept(it.first)) {
            return false;
        }
        m_targetCount -= it.second.targets.size();
        m_subscriberCount -= it.second.subscribers.size();
        return true;
    });
}

} // namespace banyankeel

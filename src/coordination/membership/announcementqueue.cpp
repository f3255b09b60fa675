#include "coordination/membership/announcementqueue.h"

#include "protocol/membershipmessages.h"

#include <algorithm>
#include <utility>

namespace banyankeel
{

namespace
{
/// Records beyond this number are sent with the next message.
constexpr std::size_t MaxRecordsPerMessage = 64;
} // namespace

AnnouncementQueue::AnnouncementQueue(AnnouncementQueueSettings settings)
    : m_settings(std::move(settings))
{
}

void AnnouncementQueue::enqueue(const Endpoint &to, const TargetRecord &record, TimePoint now)
{
    if (m_receivers.size() >= m_settings.maxReceivers && m_receivers.count(to) == 0) {
        return;
    }
    Receiver &receiver = m_receivers[to];
    ++m_sequence;
    std::erase_if(receiver.pending, [&record](const auto &it) { return it.second.node.node == record.node.node; });
    receiver.pending.emplace(m_sequence, record);
    receiver.queuedAt = now;
    receiver.nextSendAt = now;
    receiver.retryInterval = m_settings.retryInterval;
}

void AnnouncementQueue::flush(TimePoint now, Outbox &out)
{
    for (auto &[endpoint, receiver] : m_receivers) {
        if (now < receiver.nextSendAt || receiver.pending.empty()) {
            continue;
        }
        TargetAnnouncement message{.isAcknowledgement = false, .sequence = 0, .records = {}};
        for (const auto &[sequence, record] : receiver.pending) {
            if (message.records.size() == MaxRecordsPerMessage) {
                break;
            }
            message.records.push_back(record);
            message.sequence = sequence;
        }
        out.send(endpoint, message.encode());
        receiver.nextSendAt = now + receiver.retryInterval;
        if (now - receiver.queuedAt >= m_settings.fastRetryPeriod) {
            receiver.retryInterval = std::min(receiver.retryInterval * 2, m_settings.maxRetryInterval);
        }
    }
    const bool isRetransmitting = m_settings.isRetransmitting();
    std::erase_if(m_receivers,
                  [&](const auto &it) { return it.second.pending.empty() || now - it.second.queuedAt >= m_settings.deliveryTimeout || !isRetransmitting; });
}

void AnnouncementQueue::acknowledge(const Endpoint &from, std::uint64_t sequence)
{
    const auto it = m_receivers.find(from);
    if (it == m_receivers.end()) {
        return;
    }
    it->second.pending.erase(it->second.pending.begin(), it->second.pending.upper_bound(sequence));
    if (it->second.pending.empty()) {
        m_receivers.erase(it);
    }
}

} // namespace banyankeel

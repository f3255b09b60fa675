#pragma once

// Reliable delivery of target announcements: sends them again until they are acknowledged.
//
//   queue.enqueue(peer.endpoint, record, now);
//   queue.flush(now, out);
//   queue.acknowledge(from.endpoint, message.sequence);

#include "coordination/common/outbox.h"
#include "state/endpoint.h"
#include "state/targetrecord.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace banyankeel
{

struct AnnouncementQueueSettings {
    Duration retryInterval = std::chrono::milliseconds(200);
    /// This long after the last record was queued for a receiver, its retry interval starts to double with each retry.
    Duration fastRetryPeriod = std::chrono::seconds(3);
    Duration maxRetryInterval = std::chrono::seconds(4);
    /// Delivery to a receiver is abandoned this long after the last record was queued for it.
    Duration deliveryTimeout = std::chrono::seconds(120);
    std::size_t maxReceivers = 4096;
    /// Whether announcements are sent more than once. Replaced by tests only.
    std::function<bool()> isRetransmitting = [] { return true; };
};

/// Stores the newest record of each node for each receiver until it is acknowledged. Not thread-safe.
class AnnouncementQueue
{
public:
    explicit AnnouncementQueue(AnnouncementQueueSettings settings);

    /// Queues a record, which replaces an earlier one of the same node. Drops it if there are too many receivers.
    void enqueue(const Endpoint &to, const TargetRecord &record, TimePoint now);
    /// Sends the records that are due.
    void flush(TimePoint now, Outbox &out);
    void acknowledge(const Endpoint &from, std::uint64_t sequence);

private:
    struct Receiver {
        /// Keyed by sequence number.
        std::map<std::uint64_t, TargetRecord> pending;
        TimePoint queuedAt;
        TimePoint nextSendAt;
        Duration retryInterval;
    };

    AnnouncementQueueSettings m_settings;
    std::uint64_t m_sequence = 0;
    std::map<Endpoint, Receiver> m_receivers;
};

} // namespace banyankeel

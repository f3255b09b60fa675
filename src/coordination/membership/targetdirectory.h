#pragma once

// The contents of directory shards at their holder: the targets of the services and the subscribers to changes.
//
//   if (directory.apply(record, now) == TargetDirectory::Result::Changed) {
//       for (const Peer &peer : directory.subscribers(record.service)) ...
//   }

#include "state/peer.h"
#include "state/targetrecord.h"
#include "state/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace banyankeel
{

struct TargetDirectorySettings {
    /// A target is gone if it was not announced for longer than this.
    Duration targetExpiry = std::chrono::seconds(16);
    /// A subscription expires if it was not renewed for longer than this.
    Duration subscriberExpiry = std::chrono::seconds(180);
    /// How long a target that is gone is remembered, so that late messages do not restore it.
    Duration goneRetention = std::chrono::minutes(10);
    std::size_t maxTargets = 16'384;
    std::size_t maxSubscribers = 16'384;
    /// Replaced by tests only.
    std::function<bool(const TargetRecord &offered, const TargetRecord &known)> supersedes = [](const TargetRecord &offered, const TargetRecord &known) {
        return offered.supersedes(known);
    };
};

/// Soft state that targets and subscribers refresh, so that a new holder has rebuilt it after one round of announcements. Not thread-safe.
class TargetDirectory
{
public:
    enum class Result {
        Unchanged,
        /// Subscribers must be notified.
        Changed,
        /// The target is known to be gone or its process to be replaced. It has to refute that with a higher version.
        Outdated,
    };

    explicit TargetDirectory(TargetDirectorySettings settings);

    /// Applies an announcement.
    Result apply(const TargetRecord &record, TimePoint now);
    /// The known record of the target of @p node.
    [[nodiscard]] std::optional<TargetRecord> find(const ServiceName &service, const NodeId &node) const;
    void subscribe(const ServiceName &service, const Peer &peer, TimePoint now);
    /// The targets that are not gone.
    [[nodiscard]] std::vector<TargetRecord> targets(const ServiceName &service) const;
    [[nodiscard]] std::vector<Peer> subscribers(const ServiceName &service) const;
    /// Removes expired entries. Returns the records of targets that are newly gone.
    std::vector<TargetRecord> expire(TimePoint now);
    /// Removes all services for which @p isKept returns false.
    void retain(const std::function<bool(const ServiceName &)> &isKept);

private:
    struct StoredTarget {
        TargetRecord record;
        TimePoint lastSeenAt;
    };
    struct Subscriber {
        Peer peer;
        TimePoint lastSeenAt;
    };
    struct Entry {
        std::map<NodeId, StoredTarget> targets;
        std::map<NodeId, Subscriber> subscribers;
    };

    TargetDirectorySettings m_settings;
    std::map<ServiceName, Entry> m_services;
    std::size_t m_targetCount = 0;
    std::size_t m_subscriberCount = 0;
};

} // namespace banyankeel

#pragma once

// The relay side of a node: collects the reports of its region and passes them on to its subscribers in batches.
//
//   RelayHub hub(region);
//   hub.subscribe(node, ReportSubscription::Fleet, now);
//   hub.addReport(report, ReportOrigin::OwnRegion, isUrgent, now);
//   for (const OutgoingBatch &it : hub.flush(now)) ...   // send it
//
// A node is a relay while others have subscribed with it. It needs no knowledge of whether it should be one.

#include "coordination/fleet/loadmerger.h"
#include "protocol/nodereport.h"
#include "protocol/reportbatch.h"
#include "state/identifier.h"
#include "state/time.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace banyankeel
{

struct RelayHubSettings {
    /// Between two batches while nothing is urgent. Subscribers learn from them that the relay is alive.
    Duration interval = std::chrono::milliseconds(200);
    /// Between two batches when something is urgent.
    Duration urgentInterval = std::chrono::milliseconds(50);
    /// Between two batches with the region's load while it does not change abruptly.
    Duration loadInterval = std::chrono::seconds(1);
    /// A subscription that is not renewed within this time ends.
    Duration subscriptionTime = std::chrono::seconds(3);
    /// For how long reports are kept for subscribers that come from another relay: longer than the change takes.
    Duration historyTime = std::chrono::milliseconds(2500);

    friend auto operator<=>(const RelayHubSettings &, const RelayHubSettings &) = default;
};

enum class ReportOrigin : std::uint8_t {
    /// Sent by a node of this region.
    OwnRegion,
    /// Passed on by a relay of another region.
    OtherRegion,
};

/// One batch and those who get it.
struct OutgoingBatch {
    ReportBatch batch;
    std::vector<NodeId> recipients;
};

/// Not thread-safe. Memory is bounded by the reports of historyTime. A report takes constant time, a batch time linear in its reports and recipients.
class RelayHub
{
public:
    RelayHub(RegionName region, const RelayHubSettings &settings);

    /// Begins or renews a subscription.
    void subscribe(const NodeId &node, ReportSubscription subscription, TimePoint now);
    void unsubscribe(const NodeId &node);
    void addReport(RelayedReport report, ReportOrigin origin, bool isUrgent, TimePoint now);
    /// Records the load of a node of this region.
    void recordLoad(const NodeId &node, LoadReport load, TimePoint now);
    /// Records what another relay said of the load of a region.
    void addLoad(RegionLoad load);
    /// Whether this node combines the loads of its region. A node that takes reports from another relay passes on what that one says.
    void setMergesLoads(bool mergesLoads)
    {
        m_mergesLoads = mergesLoads;
    }

    /// The batches that are due.
    std::vector<OutgoingBatch> flush(TimePoint now);
    /// The reports of the last seconds, for a new subscriber.
    [[nodiscard]] ReportBatch history(ReportSubscription subscription, TimePoint now);
    /// The load of this region.
    [[nodiscard]] std::vector<RegionLoad> regionLoads(TimePoint now);
    /// Whether another node has subscribed.
    [[nodiscard]] bool hasSubscribers(TimePoint now) const;

private:
    struct Subscriber {
        ReportSubscription subscription;
        TimePoint expiresAt;
    };
    struct Kept {
        RelayedReport report;
        ReportOrigin origin;
        TimePoint at;
    };

    [[nodiscard]] static bool isFor(ReportSubscription subscription, ReportOrigin origin);
    [[nodiscard]] ReportBatch batchOf(ReportSubscription subscription, std::size_t first, TimePoint now) const;

    RegionName m_region;
    RelayHubSettings m_settings;
    std::map<NodeId, Subscriber> m_subscribers;
    /// Oldest first.
    std::deque<Kept> m_kept;
    /// How many of the last reports have not been sent.
    std::size_t m_unsent = 0;
    LoadMerger m_loads;
    std::vector<RegionLoad> m_otherLoads;
    bool m_isUrgent = false;
    bool m_mergesLoads = true;
    TimePoint m_flushedAt{};
    TimePoint m_loadsSentAt{};
};

} // namespace banyankeel

#include "coordination/fleet/relayhub.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace banyankeel
{

RelayHub::RelayHub(RegionName region, const RelayHubSettings &settings)
    : m_region(std::move(region))
    , m_settings(settings)
{
}

void RelayHub::subscribe(const NodeId &node, ReportSubscription subscription, TimePoint now)
{
    m_subscribers[node] = {subscription, now + m_settings.subscriptionTime};
}

void RelayHub::unsubscribe(const NodeId &node)
{
    m_subscribers.erase(node);
}

bool RelayHub::hasSubscribers(TimePoint now) const
{
    return std::ranges::any_of(m_subscribers, [now](const auto &it) { return now < it.second.expiresAt; });
}

void RelayHub::addReport(RelayedReport report, ReportOrigin origin, bool isUrgent, TimePoint now)
{
    m_kept.push_back({std::move(report), origin, now});
    ++m_unsent;
    m_isUrgent = m_isUrgent || isUrgent;
}

void RelayHub::recordLoad(const NodeId &node, LoadReport load, TimePoint now)
{
    m_loads.record(node, std::move(load), now);
}

void RelayHub::addLoad(RegionLoad load)
{
    const auto isReplaced = [&load](const RegionLoad &it) { return it.region == load.region && it.load.service == load.load.service; };
    std::erase_if(m_otherLoads, isReplaced);
    m_otherLoads.push_back(std::move(load));
}

std::vector<RegionLoad> RelayHub::regionLoads(TimePoint now)
{
    std::vector<RegionLoad> found;
    if (!m_mergesLoads) {
        return found;
    }
    for (LoadReport &it : m_loads.merged(now)) {
        found.push_back({m_region, std::move(it)});
    }
    return found;
}

bool RelayHub::isFor(ReportSubscription subscription, ReportOrigin origin)
{
    return subscription == ReportSubscription::Fleet || origin == ReportOrigin::OwnRegion;
}

ReportBatch RelayHub::batchOf(ReportSubscription subscription, std::size_t first, TimePoint now) const
{
    ReportBatch batch{.entries = {}, .loads = {}};
    for (std::size_t n = first; n < m_kept.size(); ++n) {
        if (isFor(subscription, m_kept[n].origin)) {
            batch.entries.push_back(m_kept[n].report);
            batch.entries.back().age += now - m_kept[n].at;
        }
    }
    return batch;
}

ReportBatch RelayHub::history(ReportSubscription subscription, TimePoint now)
{
    ReportBatch batch = batchOf(subscription, 0, now);
    batch.loads = regionLoads(now);
    if (subscription == ReportSubscription::Fleet) {
        batch.loads.insert(batch.loads.end(), m_otherLoads.begin(), m_otherLoads.end());
    }
    return batch;
}

std::vector<OutgoingBatch> RelayHub::flush(TimePoint now)
{
    if (now - m_flushedAt < (m_isUrgent ? m_settings.urgentInterval : m_settings.interval)) {
        return {};
    }
    m_flushedAt = now;
    std::erase_if(m_subscribers, [now](const auto &it) { return now >= it.second.expiresAt; });
    const bool isLoadDue = m_isUrgent || now - m_loadsSentAt >= m_settings.loadInterval;
    std::vector<RegionLoad> ownLoads;
    if (isLoadDue) {
        m_loadsSentAt = now;
        ownLoads = regionLoads(now);
    }
    std::vector<OutgoingBatch> batches;
    for (const ReportSubscription subscription : {ReportSubscription::Region, ReportSubscription::Fleet}) {
        OutgoingBatch outgoing{{}, {}};
        for (const auto &[node, it] : m_subscribers) {
            if (it.subscription == subscription) {
                outgoing.recipients.push_back(node);
            }
        }
        if (outgoing.recipients.empty()) {
            continue;
        }
        outgoing.batch = batchOf(subscription, m_kept.size() - m_unsent, now);
        outgoing.batch.isUrgent = m_isUrgent;
        outgoing.batch.loads = ownLoads;
        // Those of other relays are sent as they come.
        std::ranges::copy_if(m_otherLoads, std::back_inserter(outgoing.batch.loads), [&](const RegionLoad &it) {
            return subscription == ReportSubscription::Fleet || it.region == m_region;
        });
        batches.push_back(std::move(outgoing));
    }
    m_otherLoads.clear();
    m_unsent = 0;
    m_isUrgent = false;
    while (!m_kept.empty() && now - m_kept.front().at > m_settings.historyTime) {
        m_kept.pop_front();
    }
    return batches;
}

} // namespace banyankeel

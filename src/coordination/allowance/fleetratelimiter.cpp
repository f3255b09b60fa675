#include "coordination/allowance/fleetratelimiter.h"

#include <algorithm>
#include <cmath>

namespace banyankeel
{

namespace
{
double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Time constant of the average of a rate: the length of a few reports.
constexpr double RateTimeConstantSeconds = 1.5;
/// Fraction of the permitted overshoot that is added to the bucket's capacity; the rest covers what peers admit between reports.
constexpr double OvershootFraction = 0.2;
/// Fraction of the burst that is kept back for requests that nodes have not told each other yet; each node may have some.
constexpr double KeptBurstFractionPerNode = 0.0025;
constexpr double MaxKeptBurstFraction = 0.25;
/// Fraction of the rate that is distributed; the rest covers what nodes admit before they receive each other's reports.
constexpr double DistributedRateFraction = 0.97;
/// Maximum negative balance, in seconds of the rate. Unreported usage is paid back, but an old error must not lock callers out for long.
constexpr double MaxDebtSeconds = 2;
/// Maximum rate of one node, as a multiple of its even share or of its recent rate, whichever is greater.
constexpr double GrowthFactor = 2;
/// Capacity of the local bucket, as a multiple of the even share of the bucket or of the recent rate, plus some requests so that small organisations
/// are not refused because of random variation.
constexpr double LocalBurstFactor = 1.25;
constexpr double LocalBurstAllowance = 2;
/// A node always keeps at least this fraction of its even share, however much its peers use; their next reports reflect what it uses.
constexpr double MinShareFraction = 0.5;
/// A report is urgent if unexpected usage reaches this many requests and this fraction of the node's even share of the bucket.
constexpr double UrgentRequests = 2;
constexpr double UrgentBucketFraction = 0.4;
/// Fewer requests are urgent while the bucket holds less than this fraction of its capacity.
constexpr double LowFraction = 0.5;
constexpr double UrgentRequestsWhenLow = 1;
/// Use of all nodes, as a fraction of the rate, above which the burst counts as being used up.
constexpr double OverRateFraction = 0.75;
/// An organisation is left out of a report while the peers' extrapolation is off by less than this many requests, and its rate by at most this fraction.
constexpr double OmittedRequests = 0.75;
constexpr double OmittedRateFraction = 0.3;
/// Nor while its rate here is off by less than this fraction of its whole rate: with many nodes a single request is a large change of a node's rate.
constexpr double OmittedTotalFraction = 0.1;
constexpr Duration UpdateInterval = std::chrono::milliseconds(100);
} // namespace

FleetRateLimiter::FleetRateLimiter(const FleetRateLimiterSettings &settings)
    : m_settings(settings)
    , m_peerCount(settings.assumedPeers)
{
}

double FleetRateLimiter::nodeCount() const
{
    return static_cast<double>(m_peerCount) + 1;
}

double FleetRateLimiter::bucketCapacity(const Bucket &bucket) const
{
    const double permittedOvershoot = m_settings.overshoot * (bucket.rate * seconds(m_settings.window) + bucket.burst) + m_settings.slack;
    const double kept = std::min(KeptBurstFractionPerNode * nodeCount(), MaxKeptBurstFraction);
    return bucket.burst * (1 - kept) + OvershootFraction * permittedOvershoot;
}

double FleetRateLimiter::localBucketCapacity(const Bucket &bucket) const
{
    return std::min(bucketCapacity(bucket), LocalBurstFactor * std::max(bucketCapacity(bucket) / nodeCount(), bucket.localRate) + LocalBurstAllowance);
}

double FleetRateLimiter::localRateLimit(const Bucket &bucket) const
{
    return GrowthFactor * std::max(bucket.rate / nodeCount(), bucket.localRate);
}

const FleetRateLimiter::Bucket *FleetRateLimiter::findBucket(const OrganisationId &organisation) const
{
    const auto it = m_positions.find(organisation);
    return it == m_positions.end() ? nullptr : &m_buckets[it->second];
}

FleetRateLimiter::Bucket *FleetRateLimiter::findBucket(const OrganisationId &organisation)
{
    const auto it = m_positions.find(organisation);
    return it == m_positions.end() ? nullptr : &m_buckets[it->second];
}

void FleetRateLimiter::configure(const std::vector<MeshOrganisation> &organisations, TimePoint now)
{
    update(now);
    std::vector<Bucket> buckets;
    std::unordered_map<OrganisationId, std::size_t> positions;
    for (const MeshOrganisation &it : organisations) {
        if (it.ratePerSecond <= 0 || positions.contains(it.name)) {
            continue;
        }
        Bucket bucket{.organisation = it.name};
        if (const Bucket *known = findBucket(it.name)) {
            bucket = *known;
            // Tokens up to now accrue at the old rate.
            refill(bucket, now);
        } else {
            bucket.refilledAt = now;
            bucket.localRateAt = now;
            // The replica is empty and bounds what all nodes admit at first. With an empty local bucket each of them would wait for a whole token of its
            // small share, the longer the more nodes there are.
            bucket.localTokens = LocalBurstAllowance;
        }
        bucket.rate = it.ratePerSecond * DistributedRateFraction;
        bucket.burst = it.burst;
        bucket.tokens = std::min(bucket.tokens, bucketCapacity(bucket));
        positions.emplace(it.name, buckets.size());
        buckets.push_back(std::move(bucket));
    }
    for (auto &[peer, state] : m_peerStates) {
        moveUsage(state, buckets, positions);
    }
    m_buckets = std::move(buckets);
    m_positions = std::move(positions);
    m_updatedAt = {};
    update(now);
}

void FleetRateLimiter::moveUsage(PeerState &state, const std::vector<Bucket> &buckets, const std::unordered_map<OrganisationId, std::size_t> &positions) const
{
    std::vector<PeerUsage> usage(buckets.size());
    for (std::size_t n = 0; n < state.usage.size(); ++n) {
        const auto position = positions.find(m_buckets[n].organisation);
        if (position != positions.end()) {
            usage[position->second] = state.usage[n];
        } else if (state.usage[n].taken != 0) {
            state.otherTaken[m_buckets[n].organisation] = state.usage[n].taken;
        }
    }
    for (auto it = state.otherTaken.begin(); it != state.otherTaken.end();) {
        const auto position = positions.find(it->first);
        if (position == positions.end()) {
            ++it;
            continue;
        }
        usage[position->second].taken = it->second;
        it = state.otherTaken.erase(it);
    }
    state.usage = std::move(usage);
}

void FleetRateLimiter::applyReport(const NodeId &peer, const ReportedUsage &reported, TimePoint now)
{
    update(now);
    PeerState &state = m_peerStates[peer];
    state.usage.resize(m_buckets.size());
    if (state.isSilent) {
        setSilent(state, false);
    }
    if (reported.isNewProcess) {
        state.otherTaken.clear();
        for (PeerUsage &usage : state.usage) {
            usage.taken = 0;
            usage.ratePerSecond = 0;
        }
    }
    // Usage before the first complete report happened before this node knew the peer, so no tokens are removed for it.
    const bool isCounted = state.hasCompleteReport || reported.isNewProcess;
    for (const OrganisationUsage &it : reported.usage) {
        const auto position = m_positions.find(it.organisation);
        if (position == m_positions.end()) {
            state.otherTaken[it.organisation] = it.taken;
            continue;
        }
        PeerUsage &usage = state.usage[position->second];
        if (isCounted) {
            m_buckets[position->second].tokens -= static_cast<double>(it.taken - usage.taken) - static_cast<double>(usage.assumed);
        }
        usage.taken = it.taken;
        usage.ratePerSecond = static_cast<float>(it.ratePerSecond);
        usage.assumed = 0;
    }
    state.hasCompleteReport = state.hasCompleteReport || reported.isComplete || reported.isNewProcess;
    state.receivedAt = now;
    m_peerCount = std::max(m_peerCount, m_peerStates.size());
}

void FleetRateLimiter::setPeerCount(std::size_t count)
{
    m_peerCount = std::max(count, m_peerStates.size());
}

void FleetRateLimiter::removePeer(const NodeId &peer)
{
    m_peerStates.erase(peer);
}

void FleetRateLimiter::setSilent(PeerState &state, bool isSilent)
{
    state.isSilent = isSilent;
    for (Bucket &bucket : m_buckets) {
        bucket.tokens += (isSilent ? -1 : 1) * bucketCapacity(bucket) / nodeCount();
    }
}

double FleetRateLimiter::availableFraction() const
{
    const auto reporting = static_cast<double>(std::ranges::count_if(m_peerStates, [](const auto &it) { return !it.second.isSilent; }));
    return (reporting + 1) / nodeCount();
}

double FleetRateLimiter::assumedRateOf(const PeerState &state, const PeerUsage &usage, const Bucket &bucket) const
{
    return state.isSilent ? std::max<double>(usage.ratePerSecond, bucket.rate / nodeCount()) : usage.ratePerSecond;
}

void FleetRateLimiter::update(TimePoint now)
{
    const Duration elapsed = now - m_updatedAt;
    if (elapsed < UpdateInterval) {
        return;
    }
    const bool isFirst = m_updatedAt == TimePoint{};
    m_updatedAt = now;
    std::erase_if(m_peerStates, [&](const auto &it) { return now - it.second.receivedAt > m_settings.retention; });
    for (auto &[peer, state] : m_peerStates) {
        if (!state.isSilent && now - state.receivedAt > m_settings.freshness) {
            setSilent(state, true);
        }
    }
    for (std::size_t n = 0; n < m_buckets.size(); ++n) {
        Bucket &bucket = m_buckets[n];
        refill(bucket, now);
        bucket.peerRate = static_cast<double>(m_peerCount - std::min(m_peerCount, m_peerStates.size())) * bucket.rate / nodeCount();
        for (const auto &[peer, state] : m_peerStates) {
            bucket.peerRate += assumedRateOf(state, state.usage[n], bucket);
        }
        const double highest = bucket.rate * (1 - MinShareFraction / nodeCount());
        const double scale = bucket.peerRate > highest ? highest / bucket.peerRate : 1;
        bucket.peerRate *= scale;
        for (auto &[peer, state] : m_peerStates) {
            PeerUsage &usage = state.usage[n];
            usage.assumed += isFirst ? 0 : usage.assumedRate * static_cast<float>(seconds(elapsed));
            usage.assumedRate = static_cast<float>(assumedRateOf(state, usage, bucket) * scale);
        }
    }
}

void FleetRateLimiter::refill(Bucket &bucket, TimePoint now) const
{
    const double elapsed = std::max(0.0, seconds(now - bucket.refilledAt));
    bucket.refilledAt = std::max(bucket.refilledAt, now);
    bucket.tokens =
        std::clamp(bucket.tokens + elapsed * (bucket.rate - bucket.peerRate), -MaxDebtSeconds * bucket.rate, bucketCapacity(bucket) * availableFraction());
    bucket.localTokens = std::min(localBucketCapacity(bucket), bucket.localTokens + elapsed * localRateLimit(bucket));
}

void FleetRateLimiter::decayLocalRate(Bucket &bucket, TimePoint now)
{
    bucket.localRate *= std::exp(-std::max(0.0, seconds(now - bucket.localRateAt)) / RateTimeConstantSeconds);
    bucket.localRateAt = now;
}

bool FleetRateLimiter::take(const OrganisationId &organisation, TimePoint now)
{
    Bucket *found = findBucket(organisation);
    if (found == nullptr) {
        // The organisation has no limit.
        return true;
    }
    update(now);
    Bucket &bucket = *found;
    decayLocalRate(bucket, now);
    refill(bucket, now);
    if (bucket.tokens < 1 || bucket.localTokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    bucket.localTokens -= 1;
    bucket.localRate += 1 / RateTimeConstantSeconds;
    ++bucket.taken;
    return true;
}

void FleetRateLimiter::refund(const OrganisationId &organisation)
{
    if (Bucket *found = findBucket(organisation)) {
        found->tokens += 1;
        found->localTokens += 1;
        --found->taken;
    }
}

Duration FleetRateLimiter::timeUntilNextToken(const OrganisationId &organisation) const
{
    const Bucket *found = findBucket(organisation);
    if (found == nullptr) {
        return Duration::zero();
    }
    const Bucket &bucket = *found;
    const double own = std::max(bucket.rate - bucket.peerRate, bucket.rate * MinShareFraction / nodeCount());
    const double wait = std::max({0.0, (1 - bucket.tokens) / own, (1 - bucket.localTokens) / localRateLimit(bucket)});
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

double FleetRateLimiter::unexpectedUsage(const Bucket &bucket, TimePoint now)
{
    const double expected = bucket.reportedRate * seconds(now - bucket.reportedAt);
    return static_cast<double>(bucket.taken - bucket.reported) - expected;
}

bool FleetRateLimiter::isUrgent(const Bucket &bucket, TimePoint now) const
{
    // While the burst is being used up, what many nodes have not told each other adds up to more than the limit leaves.
    const bool isLow = bucket.tokens < LowFraction * bucketCapacity(bucket) * availableFraction();
    const bool isOverRate = bucket.peerRate + bucket.localRate > OverRateFraction * bucket.rate;
    const double requests = isLow && isOverRate ? UrgentRequestsWhenLow : UrgentRequests;
    return unexpectedUsage(bucket, now) >= std::max(requests, bucketCapacity(bucket) / nodeCount() * UrgentBucketFraction);
}

bool FleetRateLimiter::isIncluded(const Bucket &bucket, ReportScope scope, TimePoint now) const
{
    if (bucket.taken == 0 && bucket.reported == 0) {
        return false;
    }
    switch (scope) {
    case ReportScope::Complete:
        return true;
    case ReportScope::Changed:
        return std::abs(unexpectedUsage(bucket, now)) >= OmittedRequests
            || std::abs(bucket.localRate - bucket.reportedRate)
            > std::max(OmittedRateFraction * std::max(bucket.rate / nodeCount(), bucket.reportedRate), OmittedTotalFraction * bucket.rate);
    case ReportScope::Urgent:
        return isUrgent(bucket, now);
    }
    return true;
}

std::vector<OrganisationUsage> FleetRateLimiter::report(ReportScope scope, TimePoint now)
{
    update(now);
    std::vector<OrganisationUsage> found;
    for (Bucket &bucket : m_buckets) {
        decayLocalRate(bucket, now);
        if (isIncluded(bucket, scope, now)) {
            bucket.reported = bucket.taken;
            bucket.reportedRate = bucket.localRate;
            bucket.reportedAt = now;
            found.push_back({bucket.organisation, bucket.taken, bucket.localRate});
        }
    }
    std::ranges::sort(found);
    return found;
}

std::vector<OrganisationUsage> FleetRateLimiter::reported() const
{
    std::vector<OrganisationUsage> found;
    for (const Bucket &bucket : m_buckets) {
        if (bucket.reported != 0) {
            found.push_back({bucket.organisation, bucket.reported, bucket.reportedRate});
        }
    }
    std::ranges::sort(found);
    return found;
}

ReportedUsage FleetRateLimiter::usageOf(const NodeId &peer) const
{
    ReportedUsage found{{}, false, false};
    const auto state = m_peerStates.find(peer);
    if (state == m_peerStates.end()) {
        return found;
    }
    found.isComplete = state->second.hasCompleteReport;
    for (std::size_t n = 0; n < state->second.usage.size(); ++n) {
        const PeerUsage &usage = state->second.usage[n];
        if (usage.taken != 0) {
            found.usage.push_back({m_buckets[n].organisation, usage.taken, usage.ratePerSecond});
        }
    }
    return found;
}

bool FleetRateLimiter::isReportUrgent(TimePoint now) const
{
    return std::ranges::any_of(m_buckets, [&](const Bucket &it) { return isUrgent(it, now); });
}

} // namespace banyankeel

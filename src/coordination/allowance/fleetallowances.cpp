#include "coordination/allowance/fleetallowances.h"

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

/// A rate is averaged over about this time: a few reports.
constexpr double RateSeconds = 1.5;
/// The part of what the fleet may pass the allowance by that the bucket holds; the rest covers what peers do between reports.
constexpr double UsedOvershoot = 0.2;
/// The part of the rate that is given out; what peers let through before they hear of each other takes the rest.
constexpr double UsedRate = 0.97;
/// What was used unknown to others is worked off, but no more than this, in seconds of the rate: an old error must not shut callers out for long.
constexpr double LongestDebtSeconds = 2;
/// How fast one node's part may grow, as a multiple of its even share or of what it let through lately.
constexpr double GrowthFactor = 2;
/// What one node may let through at once, as a multiple of the same, and some requests so that a small organisation is not refused by chance.
constexpr double AtOnceFactor = 1.25;
constexpr double LocalReserve = 2;
/// Peers never leave a node with less than this part of its even share to try; what comes of it is in the next reports.
constexpr double SmallestPart = 0.5;
/// Peers should hear soon of so many requests more than they expect, or of this part of a node's even part of the bucket.
constexpr double UrgentRequests = 2;
constexpr double UrgentPart = 0.4;
/// What peers expect of an organisation may be wrong by so many requests, and by this part of its rate, before a report names it again.
constexpr double UnnamedRequests = 0.75;
constexpr double UnnamedRatePart = 0.3;
constexpr Duration UpdateInterval = std::chrono::milliseconds(100);
} // namespace

FleetAllowances::FleetAllowances(const AllowanceSettings &settings)
    : m_settings(settings)
    , m_peers(settings.assumedPeers)
{
}

double FleetAllowances::nodes() const
{
    return static_cast<double>(m_peers) + 1;
}

double FleetAllowances::depthOf(const Account &account) const
{
    const double beyond = m_settings.overshoot * (account.rate * seconds(m_settings.window) + account.burst) + m_settings.slack;
    return account.burst + UsedOvershoot * beyond;
}

double FleetAllowances::localDepthOf(const Account &account) const
{
    return std::min(depthOf(account), AtOnceFactor * std::max(depthOf(account) / nodes(), account.localRate) + LocalReserve);
}

double FleetAllowances::localRateLimit(const Account &account) const
{
    return GrowthFactor * std::max(account.rate / nodes(), account.localRate);
}

void FleetAllowances::configure(const std::vector<MeshOrganisation> &organisations, TimePoint now)
{
    update(now);
    std::unordered_map<OrganisationId, Account> accounts;
    for (const MeshOrganisation &it : organisations) {
        if (it.ratePerSecond <= 0) {
            continue;
        }
        const auto known = m_accounts.find(it.name);
        Account account;
        if (known != m_accounts.end()) {
            account = known->second;
            // What was earned until now was earned at the old rate.
            fill(account, now);
        } else {
            account.filledAt = now;
            account.localRateAt = now;
        }
        account.rate = it.ratePerSecond * UsedRate;
        account.burst = it.burst;
        account.tokens = std::min(account.tokens, depthOf(account));
        accounts.emplace(it.name, account);
    }
    m_accounts = std::move(accounts);
    m_updatedAt = {};
    update(now);
}

void FleetAllowances::noteReport(const NodeId &peer, const ReportedUses &reported, TimePoint now)
{
    update(now);
    PeerReport &report = m_reports[peer];
    if (report.isSilent) {
        setSilent(report, false);
    }
    if (reported.isNewProcess) {
        for (auto &[organisation, use] : report.uses) {
            use.taken = 0;
            use.ratePerSecond = 0;
        }
    }
    // What a peer took before this node heard of it first is long past.
    const bool isCounted = report.wasComplete || reported.isNewProcess;
    for (const OrganisationUse &it : reported.uses) {
        PeerUse &use = report.uses[it.organisation];
        const auto account = m_accounts.find(it.organisation);
        if (account != m_accounts.end() && isCounted) {
            account->second.tokens -= static_cast<double>(it.taken - use.taken) - use.assumed;
        }
        use.taken = it.taken;
        use.ratePerSecond = it.ratePerSecond;
        use.assumed = 0;
    }
    report.wasComplete = report.wasComplete || reported.isComplete || reported.isNewProcess;
    report.heardAt = now;
    m_peers = std::max(m_peers, m_reports.size());
}

void FleetAllowances::notePeers(std::size_t count)
{
    m_peers = std::max(count, m_reports.size());
}

void FleetAllowances::forget(const NodeId &peer)
{
    m_reports.erase(peer);
}

void FleetAllowances::setSilent(PeerReport &report, bool isSilent)
{
    report.isSilent = isSilent;
    for (auto &[name, account] : m_accounts) {
        account.tokens += (isSilent ? -1 : 1) * depthOf(account) / nodes();
    }
}

double FleetAllowances::heardPart() const
{
    const auto heard = static_cast<double>(std::ranges::count_if(m_reports, [](const auto &it) { return !it.second.isSilent; }));
    return (heard + 1) / nodes();
}

double FleetAllowances::rateOf(const PeerReport &report, const OrganisationId &organisation, const Account &account) const
{
    const auto use = report.uses.find(organisation);
    const double reported = use == report.uses.end() ? 0 : use->second.ratePerSecond;
    return report.isSilent ? std::max(reported, account.rate / nodes()) : reported;
}

void FleetAllowances::update(TimePoint now)
{
    const Duration elapsed = now - m_updatedAt;
    if (elapsed < UpdateInterval) {
        return;
    }
    const bool isFirst = m_updatedAt == TimePoint{};
    m_updatedAt = now;
    std::erase_if(m_reports, [&](const auto &it) { return now - it.second.heardAt > m_settings.retention; });
    for (auto &[peer, report] : m_reports) {
        if (!report.isSilent && now - report.heardAt > m_settings.freshness) {
            setSilent(report, true);
        }
    }
    for (auto &[name, account] : m_accounts) {
        fill(account, now);
        account.rateOfPeers = static_cast<double>(m_peers - std::min(m_peers, m_reports.size())) * account.rate / nodes();
        for (const auto &[peer, report] : m_reports) {
            account.rateOfPeers += rateOf(report, name, account);
        }
        const double highest = account.rate * (1 - SmallestPart / nodes());
        const double scale = account.rateOfPeers > highest ? highest / account.rateOfPeers : 1;
        account.rateOfPeers *= scale;
        for (auto &[peer, report] : m_reports) {
            PeerUse &use = report.uses[name];
            use.assumed += isFirst ? 0 : use.assumedRate * seconds(elapsed);
            use.assumedRate = rateOf(report, name, account) * scale;
        }
    }
}

void FleetAllowances::fill(Account &account, TimePoint now) const
{
    const double elapsed = std::max(0.0, seconds(now - account.filledAt));
    account.filledAt = std::max(account.filledAt, now);
    account.tokens =
        std::clamp(account.tokens + elapsed * (account.rate - account.rateOfPeers), -LongestDebtSeconds * account.rate, depthOf(account) * heardPart());
    account.localTokens = std::min(localDepthOf(account), account.localTokens + elapsed * localRateLimit(account));
}

void FleetAllowances::decay(Account &account, TimePoint now)
{
    account.localRate *= std::exp(-std::max(0.0, seconds(now - account.localRateAt)) / RateSeconds);
    account.localRateAt = now;
}

bool FleetAllowances::take(const OrganisationId &organisation, TimePoint now)
{
    const auto found = m_accounts.find(organisation);
    if (found == m_accounts.end()) {
        // Without a limit.
        return true;
    }
    update(now);
    Account &account = found->second;
    decay(account, now);
    fill(account, now);
    if (account.tokens < 1 || account.localTokens < 1) {
        return false;
    }
    account.tokens -= 1;
    account.localTokens -= 1;
    account.localRate += 1 / RateSeconds;
    ++account.taken;
    return true;
}

void FleetAllowances::giveBack(const OrganisationId &organisation)
{
    const auto found = m_accounts.find(organisation);
    if (found != m_accounts.end()) {
        found->second.tokens += 1;
        found->second.localTokens += 1;
        --found->second.taken;
    }
}

Duration FleetAllowances::untilNext(const OrganisationId &organisation) const
{
    const auto found = m_accounts.find(organisation);
    if (found == m_accounts.end()) {
        return Duration::zero();
    }
    const Account &account = found->second;
    const double own = std::max(account.rate - account.rateOfPeers, account.rate * SmallestPart / nodes());
    const double missing = std::max({0.0, (1 - account.tokens) / own, (1 - account.localTokens) / localRateLimit(account)});
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing));
}

double FleetAllowances::unexpected(const Account &account, TimePoint now)
{
    const double expected = account.reportedRate * seconds(now - account.reportedAt);
    return static_cast<double>(account.taken - account.reported) - expected;
}

bool FleetAllowances::isUrgent(const Account &account, TimePoint now) const
{
    return unexpected(account, now) >= std::max(UrgentRequests, depthOf(account) / nodes() * UrgentPart);
}

bool FleetAllowances::isNamed(const Account &account, ReportScope scope, TimePoint now) const
{
    if (account.taken == 0 && account.reported == 0) {
        return false;
    }
    switch (scope) {
    case ReportScope::Complete:
        return true;
    case ReportScope::Changed:
        return std::abs(unexpected(account, now)) >= UnnamedRequests
            || std::abs(account.localRate - account.reportedRate) > UnnamedRatePart * std::max(account.rate / nodes(), account.reportedRate);
    case ReportScope::Urgent:
        return isUrgent(account, now);
    }
    return true;
}

std::vector<OrganisationUse> FleetAllowances::report(ReportScope scope, TimePoint now)
{
    update(now);
    std::vector<OrganisationUse> found;
    for (auto &[name, account] : m_accounts) {
        decay(account, now);
        if (isNamed(account, scope, now)) {
            account.reported = account.taken;
            account.reportedRate = account.localRate;
            account.reportedAt = now;
            found.push_back({name, account.taken, account.localRate});
        }
    }
    std::ranges::sort(found);
    return found;
}

std::vector<OrganisationUse> FleetAllowances::reported() const
{
    std::vector<OrganisationUse> found;
    for (const auto &[name, account] : m_accounts) {
        if (account.reported != 0) {
            found.push_back({name, account.reported, account.reportedRate});
        }
    }
    std::ranges::sort(found);
    return found;
}

bool FleetAllowances::isReportUrgent(TimePoint now) const
{
    return std::ranges::any_of(m_accounts, [&](const auto &it) { return isUrgent(it.second, now); });
}

} // namespace banyankeel

// The borrower part of QuotaLedger. The lender part is in quotalending.cpp.

#include "coordination/quota/quotaledger.h"

#include "coordination/quota/quotashare.h"
#include "state/errors.h"

#include <algorithm>
#include <utility>

namespace banyankeel
{

namespace
{
// A held call is checked again every few milliseconds, so each check counts as a fraction of a request.
constexpr double RecheckWeight = 0.2;
constexpr unsigned MaxUnmetChecks = 64;
// The demand, in requests per second, from which the next token is requested in advance.
constexpr double PrefetchDemand = 1.5;
constexpr double MinRate = 0.05;
// A slice is refilled when it has fewer tokens than the demand of this many seconds.
constexpr double LowTokensSeconds = 0.15;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration MaxRetryAfter = std::chrono::seconds(10);
// How long an entry is kept after its last request, so infrequent requests do not recreate it each time.
constexpr Duration EntryRetention = std::chrono::seconds(10);
} // namespace

QuotaLedger::QuotaLedger(Peer self, QuotaSettings settings, QuotaHooks hooks)
    : m_self(std::move(self))
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
{
}

std::vector<MessageType> QuotaLedger::handledTypes()
{
    return {MessageType::QuotaRequest, MessageType::QuotaGrant, MessageType::QuotaReturn};
}

void QuotaLedger::configure(const ConfigurationSet &set, TimePoint now)
{
    m_limits.clear();
    for (const Organisation *it : set.all<Organisation>()) {
        if (const auto *limit = set.find<Limit>(ObjectKind::Limit, it->limit.text())) {
            m_limits.emplace(it->name, *limit);
        }
    }
    for (auto &[shard, held] : m_held) {
        for (auto &[organisation, account] : held.accounts) {
            const auto limit = m_limits.find(organisation);
            const std::optional<std::size_t> region = regionOf(shard);
            account.expire(now, m_settings);
            account.setTotal(limit == m_limits.end() || !region ? QuotaAmount{} : quotaShare(organisation, limit->second, *region, m_layout->regions.size()));
        }
    }
}

QuotaLedger::Entry *QuotaLedger::findOrCreateEntry(const OrganisationId &organisation)
{
    const auto it = m_entries.find(organisation);
    if (it != m_entries.end()) {
        return &it->second;
    }
    if (!m_layout || !m_limits.contains(organisation)) {
        return nullptr;
    }
    Entry &entry = m_entries[organisation];
    entry.sources.resize(m_layout->regions.size());
    return &entry;
}

QuotaDecision QuotaLedger::tryTake(const OrganisationId &organisation, TimePoint now)
{
    Entry *entry = m_isDrained ? nullptr : findOrCreateEntry(organisation);
    if (entry == nullptr) {
        return QuotaDecision::refused(false, MaxRetryAfter);
    }
    for (std::size_t i = 0; i < entry->sources.size(); ++i) {
        Source &source = entry->sources[regionInOrder(i)];
        if (source.slice.tryTake(now, m_settings)) {
            source.served.add(1.0, now, m_settings.demandTerm);
            entry->demand.add(1.0, now, m_settings.demandTerm);
            const bool needsPrefetch = entry->demand.perSecond(now, m_settings.demandTerm) >= PrefetchDemand;
            if (needsPrefetch && source.slice.rate() == 0.0 && source.slice.tokens() < 1.0) {
                // A slice without a rate accrues no tokens, so request the next one before a call needs it.
                queueRequest(organisation, *entry);
            }
            return QuotaDecision::granted();
        }
    }
    entry->demand.add(RecheckWeight, now, m_settings.demandTerm);
    entry->unmetChecks = std::min(entry->unmetChecks + 1, MaxUnmetChecks);
    const bool isWorthRetrying = mayBecomeAvailable(organisation, *entry, now);
    if (isWorthRetrying) {
        queueRequest(organisation, *entry);
    }
    const double rate = std::max(entry->sources[m_ownRegion].slice.rate(), MinRate);
    const Duration wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / rate));
    return QuotaDecision::refused(isWorthRetrying, std::clamp(wait, MinRetryAfter, MaxRetryAfter));
}

void QuotaLedger::queueRequest(const OrganisationId &organisation, Entry &entry)
{
    if (!entry.isQueued) {
        entry.isQueued = true;
        m_queuedOrganisations.push_back(organisation);
    }
}

bool QuotaLedger::mayBecomeAvailable(const OrganisationId &organisation, const Entry &entry, TimePoint now) const
{
    for (std::size_t region = 0; region < entry.sources.size(); ++region) {
        const Source &source = entry.sources[region];
        if (!hasShare(organisation, region) || now < source.deniedUntil) {
            continue;
        }
        const bool isPending = source.slice.isRequestPending() && now < source.slice.requestedAt() + source.requestTimeout;
        if (isPending || m_hooks.holderOf(shardIn(region, organisation))) {
            return true;
        }
    }
    return false;
}

void QuotaLedger::refund(const OrganisationId &organisation, TimePoint now)
{
    const auto it = m_entries.find(organisation);
    if (it == m_entries.end()) {
        return;
    }
    for (std::size_t i = 0; i < it->second.sources.size(); ++i) {
        QuotaSlice &slice = it->second.sources[regionInOrder(i)].slice;
        if (slice.isActive(now)) {
            slice.refund(now, m_settings);
            return;
        }
    }
}

bool QuotaLedger::hasShare(const OrganisationId &organisation, std::size_t region) const
{
    const auto it = m_limits.find(organisation);
    return it != m_limits.end() && quotaShare(organisation, it->second, region, m_layout->regions.size()).burst > 0.0;
}

std::size_t QuotaLedger::regionInOrder(std::size_t order) const
{
    return (m_ownRegion + order) % m_layout->regions.size();
}

ShardId QuotaLedger::shardIn(std::size_t region, const OrganisationId &organisation) const
{
    return m_layout->quotaShard(m_layout->regions[region], organisation);
}

double QuotaLedger::demandInOrder(const Entry &entry, std::size_t order, TimePoint now) const
{
    // Report the full demand to the local region, and to other regions only the demand they served; otherwise slices there would stay unused.
    const DemandMeter &meter = order == 0 ? entry.demand : entry.sources[regionInOrder(order)].served;
    return meter.perSecond(now, m_settings.demandTerm);
}

void QuotaLedger::flush(TimePoint now, Outbox &out)
{
    if (m_queuedOrganisations.empty()) {
        return;
    }
    Messages messages;
    for (const OrganisationId &organisation : std::exchange(m_queuedOrganisations, {})) {
        const auto it = m_entries.find(organisation);
        if (it != m_entries.end()) {
            it->second.isQueued = false;
            requestUnmetDemand(organisation, it->second, now, messages);
        }
    }
    send(messages, now, out);
}

void QuotaLedger::requestUnmetDemand(const OrganisationId &organisation, Entry &entry, TimePoint now, Messages &messages)
{
    for (std::size_t i = 0; i < entry.sources.size(); ++i) {
        const std::size_t region = regionInOrder(i);
        const Source &source = entry.sources[region];
        if (!hasShare(organisation, region) || now < source.deniedUntil) {
            continue;
        }
        if (source.slice.isRequestPending() && now < source.slice.requestedAt() + source.requestTimeout) {
            if (i + 1 == entry.sources.size() || now >= source.deniedUntil + m_settings.denialRetention || source.deniedUntil == TimePoint::min()) {
                return;
            }
            continue;
        }
        if (m_hooks.holderOf(shardIn(region, organisation))) {
            requestSlice(organisation, entry, i, now, messages);
            if (now >= source.deniedUntil + m_settings.denialRetention || source.deniedUntil == TimePoint::min()) {
                return;
            }
        }
    }
}

void QuotaLedger::requestSlice(const OrganisationId &organisation, Entry &entry, std::size_t order, TimePoint now, Messages &messages)
{
    const std::size_t region = regionInOrder(order);
    const QuotaDemand demand{demandInOrder(entry, order, now), static_cast<double>(entry.unmetChecks)};
    Source &source = entry.sources[region];
    if (source.slice.isRequestPending()) {
        // Double the timeout after each unanswered request. A new request voids earlier grants, so with a short timeout the grants of a slow lender
        // would never be accepted.
        source.requestTimeout = std::min(source.requestTimeout * 2, m_settings.maxRequestTimeout);
    }
    const auto id = static_cast<QuotaRequestId>(++m_lastRequestId);
    const ShardId shard = shardIn(region, organisation);
    QuotaRequest &message = messages.asks.try_emplace(shard, QuotaRequest{shard, {}}).first->second;
    message.items.push_back(source.slice.createRequest(organisation, id, demand, now, m_settings));
}

void QuotaLedger::tick(TimePoint now, Outbox &out)
{
    if (!m_layout) {
        m_layout = m_hooks.layout();
        if (m_layout) {
            const auto &regions = m_layout->regions;
            const auto own = std::find(regions.begin(), regions.end(), m_self.place.region);
            m_ownRegion = own == regions.end() ? 0 : static_cast<std::size_t>(own - regions.begin());
        }
        return;
    }
    flush(now, out);
    Messages messages;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        refresh(it->first, it->second, now, messages);
        const auto isUsed = [now](const Source &source) { return source.slice.isActive(now) || source.slice.isRequestPending(); };
        const bool isIdle = now >= it->second.demand.lastAdded() + EntryRetention && !it->second.isQueued;
        it = isIdle && std::none_of(it->second.sources.begin(), it->second.sources.end(), isUsed) ? m_entries.erase(it) : std::next(it);
    }
    send(messages, now, out);
    maintainHeldShards(now);
}

void QuotaLedger::refresh(const OrganisationId &organisation, Entry &entry, TimePoint now, Messages &messages)
{
    for (std::size_t i = 0; i < entry.sources.size(); ++i) {
        const std::size_t region = regionInOrder(i);
        Source &source = entry.sources[region];
        const bool isOverdue = source.slice.isRequestPending() && now >= source.slice.requestedAt() + std::max(source.requestTimeout, TickInterval);
        if (!source.slice.isActive(now)) {
            if (isOverdue) {
                // The lender may have granted this request and reserved a slice for it.
                returnSlice(organisation, source, region, now, messages);
            }
            continue;
        }
        const TimePoint lastUse = i == 0 ? entry.demand.lastAdded() : std::max(source.served.lastAdded(), source.slice.requestedAt());
        const Duration idleTerm = source.isShortTerm ? m_settings.tokenIdleTerm : m_settings.idleTerm;
        if (now >= lastUse + idleTerm && !source.slice.isRequestPending()) {
            returnSlice(organisation, source, region, now, messages);
            continue;
        }
        const bool isDue = !source.slice.isRequestPending() && now >= source.slice.requestedAt() + m_settings.refreshInterval;
        const bool isLowOnTokens = !source.slice.isRequestPending() && now >= source.deniedUntil && now >= source.slice.requestedAt() + TickInterval
            && source.slice.tokens() < std::min(std::max(1.0, demandInOrder(entry, i, now) * LowTokensSeconds), source.slice.capacity() / 2.0);
        if (isOverdue || isDue || isLowOnTokens) {
            requestSlice(organisation, entry, i, now, messages);
        }
    }
}

void QuotaLedger::returnSlice(const OrganisationId &organisation, Source &source, std::size_t region, TimePoint now, Messages &messages)
{
    const MilliTokens unused = source.slice.isActive(now) ? toMilliTokens(source.slice.tokens()) : MilliTokens{};
    source.slice.drop();
    const ShardId shard = shardIn(region, organisation);
    QuotaReturn &message = messages.returns.try_emplace(shard, QuotaReturn{shard, {}}).first->second;
    message.items.push_back({organisation, static_cast<QuotaRequestId>(++m_lastRequestId), unused});
}

void QuotaLedger::drain(TimePoint now, Outbox &out)
{
    m_isDrained = true;
    if (!m_layout) {
        return;
    }
    Messages messages;
    for (auto &[organisation, entry] : m_entries) {
        for (std::size_t region = 0; region < entry.sources.size(); ++region) {
            if (entry.sources[region].slice.isActive(now) || entry.sources[region].slice.isRequestPending()) {
                returnSlice(organisation, entry.sources[region], region, now, messages);
            }
        }
    }
    send(messages, now, out);
}

void QuotaLedger::send(const Messages &messages, TimePoint now, Outbox &out)
{
    for (const auto &[shard, message] : messages.returns) {
        const std::optional<ShardHolder> holder = m_hooks.holderOf(shard);
        if (holder && holder->holder.node == m_self.node) {
            applyReturn(m_self, message, now);
        } else if (holder) {
            out.send(holder->holder.endpoint, message.encode());
        }
    }
    for (const auto &[shard, message] : messages.asks) {
        const std::optional<ShardHolder> holder = m_hooks.holderOf(shard);
        if (holder && holder->holder.node == m_self.node) {
            if (const std::optional<QuotaGrant> grant = lend(m_self, message, now)) {
                applyGrant(*grant, now);
            }
        } else if (holder) {
            out.send(holder->holder.endpoint, message.encode());
        }
    }
}

void QuotaLedger::applyGrant(const QuotaGrant &grant, TimePoint now)
{
    const std::optional<std::size_t> region = regionOf(grant.shard);
    if (!region) {
        return;
    }
    for (const QuotaGrantItem &item : grant.items) {
        const auto it = m_entries.find(item.organisation);
        if (it == m_entries.end()) {
            continue;
        }
        Source &source = it->second.sources[*region];
        const Duration responseTime = now - source.slice.requestedAt();
        if (!source.slice.applyGrant(item, grant.fence, now, m_settings)) {
            continue;
        }
        it->second.unmetChecks = 0;
        source.isShortTerm = item.term < m_settings.sliceTerm;
        source.requestTimeout = std::clamp((source.requestTimeout + responseTime * 3) / 2, m_settings.minRequestTimeout, m_settings.maxRequestTimeout);
        if (source.slice.tokens() < 1.0) {
            source.deniedUntil = now + m_settings.denialInterval;
        }
    }
}

std::vector<QuotaTokens> QuotaLedger::status() const
{
    std::vector<QuotaTokens> tokens;
    for (const auto &[organisation, entry] : m_entries) {
        double sum = 0.0;
        for (const Source &it : entry.sources) {
            sum += it.slice.tokens();
        }
        tokens.push_back({organisation, sum});
    }
    std::sort(tokens.begin(), tokens.end());
    return tokens;
}

} // namespace banyankeel

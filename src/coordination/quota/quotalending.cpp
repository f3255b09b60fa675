// The lender part of QuotaLedger, and the message dispatch of both parts.

#include "coordination/quota/quotaledger.h"

#include "coordination/quota/quotashare.h"
#include "state/errors.h"

namespace banyankeel
{

namespace
{
constexpr Duration LeaseCheckInterval = std::chrono::milliseconds(500);
constexpr Duration ExpiryInterval = std::chrono::seconds(5);
// The first holder of a shard has no predecessor whose slices could still be in use.
constexpr Fence FirstFence{1};
} // namespace

void QuotaLedger::receive(const Peer &from, const Envelope &envelope, TimePoint now, Outbox &out)
{
    switch (envelope.type) {
    case MessageType::QuotaRequest:
        if (const std::optional<QuotaGrant> grant = lend(from, QuotaRequest::decode(envelope), now)) {
            out.send(from.endpoint, grant->encode());
        }
        break;
    case MessageType::QuotaGrant:
        if (m_layout) {
            applyGrant(QuotaGrant::decode(envelope), now);
        }
        break;
    case MessageType::QuotaReturn:
        applyReturn(from, QuotaReturn::decode(envelope), now);
        break;
    default:
        throw ProtocolError("quota ledger: unexpected message type");
    }
}

void QuotaLedger::storeReplied(StoreTicket, const StoreReply &, TimePoint, Outbox &)
{
}

std::optional<std::size_t> QuotaLedger::regionOf(const ShardId &shard) const
{
    if (!m_layout || shard.kind != ShardKind::Quota || !m_layout->has(shard)) {
        return std::nullopt;
    }
    return shard.index / m_layout->quotaShards;
}

QuotaLedger::HeldShard *QuotaLedger::heldShard(const ShardId &shard, TimePoint now)
{
    const std::optional<Fence> fence = m_hooks.heldFence(shard, now);
    if (!fence) {
        return nullptr;
    }
    const auto [it, isNew] = m_held.try_emplace(shard, HeldShard{*fence, now, {}});
    if (!isNew && it->second.fence != *fence) {
        it->second = HeldShard{*fence, now, {}};
    }
    return &it->second;
}

QuotaAccount *QuotaLedger::findOrCreateAccount(const ShardId &shard, HeldShard &held, const OrganisationId &organisation)
{
    const auto found = held.accounts.find(organisation);
    if (found != held.accounts.end()) {
        return &found->second;
    }
    const auto limit = m_limits.find(organisation);
    const std::optional<std::size_t> region = regionOf(shard);
    if (limit == m_limits.end() || !region || shardIn(*region, organisation) != shard) {
        return nullptr;
    }
    const TimePoint recoveryEnd = held.heldSince + m_settings.recoveryTime(m_settings.withDriftMargin(m_settings.sliceTerm));
    QuotaAccount &account = held.accounts.emplace(organisation, QuotaAccount(held.heldSince, recoveryEnd, held.fence == FirstFence)).first->second;
    account.setTotal(quotaShare(organisation, limit->second, *region, m_layout->regions.size()));
    return &account;
}

std::optional<QuotaGrant> QuotaLedger::lend(const Peer &from, const QuotaRequest &ask, TimePoint now)
{
    HeldShard *held = heldShard(ask.shard, now);
    if (held == nullptr) {
        return std::nullopt;
    }
    QuotaGrant grant{ask.shard, held->fence, {}};
    for (const QuotaRequestItem &item : ask.items) {
        QuotaAccount *account = findOrCreateAccount(ask.shard, *held, item.organisation);
        if (account == nullptr) {
            continue;
        }
        if (auto lent = account->lend({from.node, from.incarnation}, item, held->fence, now, m_settings)) {
            grant.items.push_back(std::move(*lent));
        }
    }
    return grant.items.empty() ? std::nullopt : std::optional(std::move(grant));
}

void QuotaLedger::applyReturn(const Peer &from, const QuotaReturn &returned, TimePoint now)
{
    HeldShard *held = heldShard(returned.shard, now);
    if (held == nullptr) {
        return;
    }
    for (const QuotaReturnItem &item : returned.items) {
        const auto account = held->accounts.find(item.organisation);
        if (account != held->accounts.end()) {
            account->second.handleReturn({from.node, from.incarnation}, item, now, m_settings);
        }
    }
}

void QuotaLedger::maintainHeldShards(TimePoint now)
{
    if (now >= m_nextLeaseCheck) {
        m_nextLeaseCheck = now + LeaseCheckInterval;
        for (std::size_t i = 0; i < m_layout->quotaShards * m_layout->regions.size(); ++i) {
            // The recovery time of a shard starts when its lease is first noticed here, so check regularly.
            heldShard({ShardKind::Quota, static_cast<std::uint16_t>(i)}, now);
        }
    }
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + ExpiryInterval;
    for (auto &[shard, held] : m_held) {
        for (auto &[organisation, account] : held.accounts) {
            account.expire(now, m_settings);
        }
    }
}

std::size_t QuotaLedger::accountCount() const
{
    std::size_t n = 0;
    for (const auto &[shard, held] : m_held) {
        n += held.accounts.size();
    }
    return n;
}

} // namespace banyankeel

#include "coordination/claims/claimcoordinator.h"

#include "state/errors.h"

#include <algorithm>
#include <utility>

namespace banyankeel
{

namespace
{
// How long a late grant for an abandoned ticket is answered with a ClaimOutcome, which tells the holder that the request did not run.
constexpr Duration AbandonedRetention = std::chrono::minutes(1);
} // namespace

ClaimCoordinator::ClaimCoordinator(Peer self, ClaimSettings settings, ClaimHooks hooks)
    : m_self(std::move(self))
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
{
}

void ClaimCoordinator::setRetention(Duration retention)
{
    m_settings.retention = retention;
}

std::vector<MessageType> ClaimCoordinator::handledTypes()
{
    return {MessageType::ClaimSubmission, MessageType::ClaimAnswer, MessageType::ClaimOutcome};
}

const ClaimShard *ClaimCoordinator::shard(const ShardId &shard) const
{
    const auto it = m_shards.find(shard);
    return it == m_shards.end() ? nullptr : it->second.get();
}

void ClaimCoordinator::claim(ClaimTicket ticket, const RequestId &request, TimePoint now, Outbox &out)
{
    if (m_pendingClaims.size() >= m_settings.queueSize) {
        m_results.emplace_back(ticket, ClaimResult::Unavailable);
        reportResults();
        return;
    }
    const auto [it, isNew] = m_pendingClaims.try_emplace(ticket, PendingClaim{request, now + m_settings.timeLimit, now});
    if (!isNew) {
        throw ValueError("claim: ticket " + std::to_string(static_cast<std::uint64_t>(ticket)) + " is already in use");
    }
    send(ticket, it->second, now, out);
    stepShards(now, out);
    reportResults();
}

void ClaimCoordinator::reportResults()
{
    // The hook may call claim(), which appends to m_results, so the list is moved out first.
    for (const auto &[ticket, result] : std::exchange(m_results, {})) {
        m_hooks.decided(ticket, result);
    }
}

void ClaimCoordinator::send(ClaimTicket ticket, PendingClaim &pending, TimePoint now, Outbox &out)
{
    pending.nextSend = now + m_settings.resendInterval;
    out.wakeAt(std::min(pending.nextSend, pending.deadline));
    const std::optional<ShardLayout> layout = m_hooks.layout();
    if (!layout) {
        return;
    }
    const ShardId shard = layout->claimShard(pending.request);
    const ClaimItem item{ticket, pending.request};
    if (ClaimShard *held = heldShard(shard, now)) {
        held->submit({m_self, item}, now);
    } else if (const auto holder = m_hooks.holderOf(shard); holder && holder->holder.node != m_self.node) {
        out.send(holder->holder.endpoint, ClaimSubmission{shard, {item}}.encode());
    }
}

void ClaimCoordinator::receive(const Peer &from, const Envelope &envelope, TimePoint now, Outbox &out)
{
    if (envelope.type == MessageType::ClaimAnswer) {
        for (const ClaimVerdict &it : ClaimAnswer::decode(envelope).verdicts) {
            applyVerdict(it, now, out);
        }
        reportResults();
        return;
    }
    if (envelope.type == MessageType::ClaimSubmission) {
        const ClaimSubmission ask = ClaimSubmission::decode(envelope);
        if (ClaimShard *held = heldShard(ask.shard, now)) {
            for (const ClaimItem &it : ask.items) {
                held->submit({from, it}, now);
            }
        }
    } else if (envelope.type == MessageType::ClaimOutcome) {
        const ClaimOutcome outcome = ClaimOutcome::decode(envelope);
        if (ClaimShard *held = heldShard(outcome.shard, now)) {
            for (const ClaimItem &it : outcome.abandoned) {
                held->abandon({from, it});
            }
        }
    } else {
        throw ProtocolError("claim coordinator: unexpected message type");
    }
    stepShards(now, out);
    reportResults();
}

void ClaimCoordinator::applyVerdict(const ClaimVerdict &verdict, TimePoint now, Outbox &out)
{
    const auto it = m_pendingClaims.find(verdict.ticket);
    if (it != m_pendingClaims.end()) {
        const bool isLate = now >= it->second.deadline;
        const RequestId request = it->second.request;
        m_pendingClaims.erase(it);
        if (isLate && verdict.decision == ClaimDecision::Granted) {
            abandonClaim(verdict.ticket, request, now, out);
            return;
        }
        m_results.emplace_back(verdict.ticket, verdict.decision == ClaimDecision::Granted ? ClaimResult::Granted : ClaimResult::Duplicate);
        return;
    }
    // Only an abandoned ticket may be withdrawn; the request of a granted ticket has run.
    const auto abandoned = m_abandoned.find(verdict.ticket);
    if (abandoned != m_abandoned.end() && verdict.decision == ClaimDecision::Granted) {
        sendAbandoned(verdict.ticket, abandoned->second.request, now, out);
    }
}

void ClaimCoordinator::abandonClaim(ClaimTicket ticket, const RequestId &request, TimePoint now, Outbox &out)
{
    if (m_abandoned.size() < m_settings.queueSize) {
        m_abandoned.try_emplace(ticket, AbandonedClaim{request, now + AbandonedRetention});
    }
    sendAbandoned(ticket, request, now, out);
    m_results.emplace_back(ticket, ClaimResult::Unavailable);
}

void ClaimCoordinator::sendAbandoned(ClaimTicket ticket, const RequestId &request, TimePoint now, Outbox &out)
{
    const std::optional<ShardLayout> layout = m_hooks.layout();
    if (!layout) {
        return;
    }
    const ShardId shard = layout->claimShard(request);
    const ClaimItem item{ticket, request};
    if (ClaimShard *held = heldShard(shard, now)) {
        held->abandon({m_self, item});
    } else if (const auto holder = m_hooks.holderOf(shard)) {
        out.send(holder->holder.endpoint, ClaimOutcome{shard, {item}}.encode());
    }
}

ClaimShard *ClaimCoordinator::heldShard(const ShardId &shard, TimePoint now)
{
    const std::optional<Fence> fence = m_hooks.heldFence(shard, now);
    if (!fence) {
        return nullptr;
    }
    std::unique_ptr<ClaimShard> &held = m_shards[shard];
    if (!held || held->fence() != *fence) {
        held = std::make_unique<ClaimShard>(shard, *fence, m_self, m_settings, m_hooks.wallClock);
    }
    return held.get();
}

void ClaimCoordinator::storeReplied(StoreTicket ticket, const StoreReply &reply, TimePoint now, Outbox &out)
{
    const auto call = m_storeCalls.find(static_cast<std::uint64_t>(ticket));
    if (call == m_storeCalls.end()) {
        return;
    }
    const auto [shard, fence] = call->second;
    m_storeCalls.erase(call);
    const auto it = m_shards.find(shard);
    if (it != m_shards.end() && it->second->fence() == fence) {
        it->second->handleReply(reply, now);
    }
    stepShards(now, out);
    reportResults();
}

void ClaimCoordinator::stepShards(TimePoint now, Outbox &out)
{
    for (auto &[id, held] : m_shards) {
        // Durable outcomes are final, so they are sent even after the lease has expired.
        sendDecided(*held, now, out);
        const std::optional<Fence> fence = m_hooks.heldFence(id, now);
        if (!fence || *fence != held->fence()) {
            continue;
        }
        if (std::optional<StoreRequest> request = held->step(now)) {
            m_storeCalls.emplace(++m_lastTicket, std::pair(id, held->fence()));
            out.callStore(static_cast<StoreTicket>(m_lastTicket), std::move(*request));
        }
        if (const auto next = held->nextStep(); next && *next > now) {
            out.wakeAt(*next);
        }
    }
}

void ClaimCoordinator::sendDecided(ClaimShard &shard, TimePoint now, Outbox &out)
{
    std::map<Endpoint, ClaimAnswer> answers;
    for (const DecidedClaim &it : shard.takeDecided()) {
        if (it.claimant.node == m_self.node) {
            if (it.claimant.incarnation == m_self.incarnation) {
                applyVerdict(it.verdict, now, out);
            }
            continue;
        }
        answers[it.claimant.endpoint].verdicts.push_back(it.verdict);
    }
    for (const auto &[endpoint, answer] : answers) {
        out.send(endpoint, answer.encode());
    }
}

void ClaimCoordinator::tick(TimePoint now, Outbox &out)
{
    if (const std::optional<ShardLayout> layout = m_hooks.layout()) {
        for (std::uint16_t i = 0; i < layout->claimShards; ++i) {
            heldShard({ShardKind::Claims, i}, now);
        }
    }
    std::erase_if(m_abandoned, [now](const auto &it) { return it.second.expires <= now; });
    stepPendingClaims(now, out);
    stepShards(now, out);
    reportResults();
}

void ClaimCoordinator::stepPendingClaims(TimePoint now, Outbox &out)
{
    std::vector<ClaimTicket> expired;
    for (auto &[ticket, pending] : m_pendingClaims) {
        if (now >= pending.deadline) {
            expired.push_back(ticket);
        } else if (now >= pending.nextSend) {
            send(ticket, pending, now, out);
        }
    }
    for (const ClaimTicket ticket : expired) {
        const auto it = m_pendingClaims.find(ticket);
        if (it != m_pendingClaims.end()) {
            const RequestId request = it->second.request;
            m_pendingClaims.erase(it);
            abandonClaim(ticket, request, now, out);
        }
    }
}

} // namespace banyankeel

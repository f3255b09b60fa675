#include "coordination/membership/prober.h"

#include "state/errors.h"

#include <utility>

namespace banyankeel
{

namespace
{
constexpr std::size_t MaxOutstanding = 256;
} // namespace

Prober::Prober(ProberSettings settings, RandomSource random)
    : m_settings(settings)
    , m_random(std::move(random))
{
    if (m_settings.interval <= Duration::zero() || m_settings.directTimeout >= m_settings.timeout) {
        throw SettingsError("prober: fields interval, directTimeout and timeout: interval must be above zero and directTimeout below timeout");
    }
}

std::vector<Peer> Prober::tick(const MemberTable &table, TimePoint now, Outbox &out, const RumourSource &rumours)
{
    std::vector<Peer> failed;
    std::erase_if(m_outstanding, [&](const auto &it) {
        if (now - it.second.sentAt < m_settings.timeout) {
            return false;
        }
        if (!it.second.relayed) {
            failed.push_back(it.second.target);
        }
        return true;
    });
    for (auto &[sequence, probe] : m_outstanding) {
        if (!probe.relayed && !probe.isIndirect && now - probe.sentAt >= m_settings.directTimeout) {
            sendIndirect(table, sequence, probe, out, rumours);
        }
    }
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_settings.interval;
        probeNext(table, now, out, rumours);
    }
    return failed;
}

void Prober::probeNext(const MemberTable &table, TimePoint now, Outbox &out, const RumourSource &rumours)
{
    std::size_t suspects = 0;
    for (const auto &[node, member] : table.members()) {
        if (member.rumour.state == MemberState::Suspect && suspects < m_settings.suspectsPerInterval) {
            send(member.rumour.peer, now, out, rumours, std::nullopt);
            ++suspects;
        }
    }
    if (const Member *member = nextMember(table)) {
        send(member->rumour.peer, now, out, rumours, std::nullopt);
    }
}

// Probes each member once per round, in a random order for each round, which bounds the time until a failure is detected.
const Member *Prober::nextMember(const MemberTable &table)
{
    if (m_probeOrder.empty()) {
        for (const auto &[node, member] : table.members()) {
            m_probeOrder.push_back(node);
        }
        for (std::size_t n = m_probeOrder.size(); n > 1; --n) {
            std::swap(m_probeOrder[n - 1], m_probeOrder[uniformBelow(m_random, n)]);
        }
    }
    while (!m_probeOrder.empty()) {
        const Member *member = table.find(m_probeOrder.back());
        m_probeOrder.pop_back();
        if (member != nullptr && member->rumour.state == MemberState::Alive) {
            return member;
        }
    }
    return nullptr;
}

void Prober::send(const Peer &target, TimePoint now, Outbox &out, const RumourSource &rumours, const std::optional<Relayed> &relayed)
{
    if (m_outstanding.size() >= MaxOutstanding) {
        return;
    }
    ++m_sequence;
    m_outstanding.emplace(m_sequence, Outstanding{.target = target, .sentAt = now, .relayed = relayed});
    out.send(target.endpoint, Probe{m_sequence, std::nullopt, rumours(target)}.encode());
}

void Prober::sendIndirect(const MemberTable &table, std::uint64_t sequence, Outstanding &probe, Outbox &out, const RumourSource &rumours)
{
    probe.isIndirect = true;
    for (const Peer &peer : table.randomPeers(m_settings.indirectProbes, probe.target.node)) {
        out.send(peer.endpoint, Probe{sequence, probe.target, rumours(peer)}.encode());
    }
}

void Prober::relay(const Peer &requester, std::uint64_t sequence, const Peer &target, TimePoint now, Outbox &out, const RumourSource &rumours)
{
    send(target, now, out, rumours, Relayed{requester, sequence});
}

std::optional<Prober::Relayed> Prober::handleAnswer(const Peer &target, std::uint64_t sequence)
{
    const auto it = m_outstanding.find(sequence);
    // Another node may have taken over the address; its answer does not show that the probed node is alive.
    if (it == m_outstanding.end() || it->second.target.node != target.node || it->second.target.incarnation > target.incarnation) {
        return std::nullopt;
    }
    auto relayed = it->second.relayed;
    m_outstanding.erase(it);
    return relayed;
}

void Prober::cancelAll()
{
    m_outstanding.clear();
}

} // namespace banyankeel

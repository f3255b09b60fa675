// ConfigurationReplicator: messages exchanged with peers.

#include "coordination/configuration/configurationreplicator.h"

#include "state/errors.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace banyankeel
{

namespace
{
constexpr std::size_t MaxPullSources = 4;
constexpr unsigned MaxPullAttempts = 3;
constexpr unsigned CorruptDeltasUntilSnapshot = 2;
} // namespace

void ConfigurationReplicator::receive(const Peer &from, const Envelope &envelope, TimePoint now, Outbox &out)
{
    switch (envelope.type) {
    case MessageType::ConfigurationDigest:
        receiveDigest(from, ConfigurationDigest::decode(envelope), now, out);
        break;
    case MessageType::ConfigurationPull:
        receivePull(from, ConfigurationPull::decode(envelope), now, out);
        break;
    case MessageType::ConfigurationDelta:
        receiveDelta(from, ConfigurationDelta::decode(envelope), now, out);
        break;
    case MessageType::ConfigurationSnapshot:
        receiveSnapshot(from, ConfigurationSnapshot::decode(envelope), now, out);
        break;
    default:
        throw ProtocolError("configuration replicator: unexpected message type");
    }
    updateReadiness(now);
}

void ConfigurationReplicator::receiveDigest(const Peer &from, const ConfigurationDigest &digest, TimePoint now, Outbox &out)
{
    switch (digest.kind) {
    case DigestKind::Ask: {
        // The delta is sent first, so that the requester need not pull when it receives the answer.
        if (digest.revision < m_set.revision() && digest.isReady) {
            sendDeltaSince(from.endpoint, digest.revision, out);
        }
        ConfigurationDigest answer = digestMessage(DigestKind::Answer, now);
        answer.askedAt = digest.askedAt;
        out.send(from.endpoint, answer.encode());
        break;
    }
    case DigestKind::Answer:
        handleAnswer(from, digest, now);
        break;
    case DigestKind::Heartbeat:
        if (digest.heartbeat && isInOwnDomain(from)) {
            forwardHeartbeat(from, *digest.heartbeat, now, out);
        }
        break;
    }
    recordPeerRevision(from, digest.revision, now, out);
}

void ConfigurationReplicator::handleAnswer(const Peer &from, const ConfigurationDigest &digest, TimePoint now)
{
    const TimePoint askedAt{digest.askedAt};
    // Ignore answers to an earlier process of this node, whose monotonic clock may have differed.
    if (!m_startedAt || askedAt < *m_startedAt || askedAt > now) {
        return;
    }
    const auto it = m_startupPeers.find(from.node);
    if (it != m_startupPeers.end()) {
        it->second.hasAnswered = true;
        it->second.isReady = it->second.isReady || digest.isReady;
    }
    if (digest.confirmedAge) {
        confirm(m_hooks.rules.confirmedAt(askedAt, now, *digest.confirmedAge), digest.revision);
    }
}

// A forwarded heartbeat carries the forwarding node's own revision, since receivers pull from the node that announced a revision.
void ConfigurationReplicator::forwardHeartbeat(const Peer &from, const ReaderHeartbeat &heartbeat, TimePoint now, Outbox &out)
{
    if (!m_election.handleHeartbeat(heartbeat, now)) {
        return;
    }
    ConfigurationDigest message = digestMessage(DigestKind::Heartbeat, now);
    message.heartbeat = heartbeat;
    const Envelope envelope = message.encode();
    for (const Peer &peer : chooseFanoutPeers(from.endpoint)) {
        out.send(peer.endpoint, envelope);
    }
}

void ConfigurationReplicator::recordPeerRevision(const Peer &from, Revision revision, TimePoint now, Outbox &out)
{
    m_highestKnownRevision = std::max(m_highestKnownRevision, revision);
    if (revision <= m_set.revision()) {
        return;
    }
    std::erase_if(m_pullSources, [&from](const PullSource &it) { return it.endpoint == from.endpoint; });
    m_pullSources.push_back({from.endpoint, revision});
    if (m_pullSources.size() > MaxPullSources) {
        m_pullSources.erase(m_pullSources.begin());
    }
    if (!m_pull) {
        startNextPull(now, out);
    }
}

void ConfigurationReplicator::startNextPull(TimePoint now, Outbox &out)
{
    m_pull.reset();
    std::erase_if(m_pullSources, [this](const PullSource &it) { return it.revision <= m_set.revision(); });
    if (m_pullSources.empty()) {
        return;
    }
    const PullSource source = m_pullSources.back();
    m_pullSources.pop_back();
    m_pull = Pull{.source = source, .askedAt = now, .assembler = {}};
    sendPull(now, out);
}

void ConfigurationReplicator::sendPull(TimePoint now, Outbox &out)
{
    m_pull->askedAt = now;
    ConfigurationPull pull{.have = m_set.revision(), .position = m_pull->assembler.position()};
    if (!pull.position && m_corruptDeltas >= CorruptDeltasUntilSnapshot) {
        // A position in revision 0 requests a snapshot from its first page.
        pull.position = SnapshotPosition{0, {ObjectKind::Service, ""}};
    }
    out.send(m_pull->source.endpoint, pull.encode());
}

void ConfigurationReplicator::checkPullTimeout(TimePoint now, Outbox &out)
{
    if (!m_pull || now - m_pull->askedAt < m_settings.pullTimeout) {
        return;
    }
    if (m_pull->source.revision <= m_set.revision()) {
        startNextPull(now, out);
        return;
    }
    if (m_pull->attempts < MaxPullAttempts) {
        ++m_pull->attempts;
        sendPull(now, out);
        return;
    }
    startNextPull(now, out);
    if (!m_pull) {
        // No peer that announced a newer revision is left: query a random peer immediately.
        m_nextExchange = now;
    }
}

void ConfigurationReplicator::receivePull(const Peer &from, const ConfigurationPull &pull, TimePoint now, Outbox &out)
{
    if (pull.have >= m_set.revision()) {
        return;
    }
    if (!pull.position && sendDeltaSince(from.endpoint, pull.have, out)) {
        return;
    }
    out.send(from.endpoint, m_snapshotSource.page(m_set, m_digest, pull, now).encode());
}

bool ConfigurationReplicator::sendDeltaSince(const Endpoint &to, Revision base, Outbox &out) const
{
    const auto changes = m_log.lastRevision() == m_set.revision() ? m_log.since(base) : std::nullopt;
    if (!changes || changes->empty()) {
        return false;
    }
    out.send(to, ConfigurationDelta{base, *changes, m_digest}.encode());
    return true;
}

void ConfigurationReplicator::receiveDelta(const Peer &from, const ConfigurationDelta &delta, TimePoint now, Outbox &out)
{
    const Revision base = m_set.revision();
    if (!m_hooks.rules.isNewer(base, delta.revision())) {
        return;
    }
    if (delta.base > base) {
        recordPeerRevision(from, delta.revision(), now, out);
        return;
    }
    if (!applyDelta(delta, out)) {
        ++m_corruptDeltas;
        recordPeerRevision(from, delta.revision(), now, out);
        return;
    }
    if (m_pull && m_pull->source.revision <= m_set.revision()) {
        startNextPull(now, out);
    }
    propagate(base, from.endpoint, now, out);
}

void ConfigurationReplicator::applyPublished(const ConfigurationDelta &delta, TimePoint now, Outbox &out)
{
    const Revision base = m_set.revision();
    if (!m_hooks.rules.isNewer(base, delta.revision())) {
        return;
    }
    if (delta.base > base || !applyDelta(delta, out)) {
        refresh();
        return;
    }
    propagate(base, std::nullopt, now, out);
}

bool ConfigurationReplicator::applyDelta(const ConfigurationDelta &delta, Outbox &out)
{
    const auto knownCount = static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(m_set.revision() - delta.base, delta.changes.size()));
    const std::vector<ConfigurationChange> newChanges(delta.changes.begin() + knownCount, delta.changes.end());
    return applyChanges(newChanges, delta.digest, out);
}

void ConfigurationReplicator::receiveSnapshot(const Peer &from, ConfigurationSnapshot snapshot, TimePoint now, Outbox &out)
{
    if (!m_pull || m_pull->source.endpoint != from.endpoint || !m_hooks.rules.isNewer(m_set.revision(), snapshot.revision)) {
        return;
    }
    if (!m_pull->assembler.add(std::move(snapshot))) {
        return;
    }
    m_pull->attempts = 1;
    if (m_pull->assembler.isComplete()) {
        installSnapshot(now, out);
    } else {
        sendPull(now, out);
    }
}

void ConfigurationReplicator::installSnapshot(TimePoint now, Outbox &out)
{
    const Revision base = m_set.revision();
    const PullSource source = m_pull->source;
    const SetDigest digest = m_pull->assembler.digest();
    auto set = m_pull->assembler.takeSet();
    m_pull.reset();
    if (set) {
        m_log.reset(set->revision());
        apply(std::move(*set), digest, out);
        propagate(base, source.endpoint, now, out);
    }
    // The peer may have advanced during the transfer.
    if (source.revision > m_set.revision()) {
        m_pullSources.push_back(source);
    }
    startNextPull(now, out);
}

// Pushes small deltas to peers. For larger ones only the revision is announced, and each peer pulls them from one node.
void ConfigurationReplicator::propagate(Revision base, const std::optional<Endpoint> &excluded, TimePoint now, Outbox &out)
{
    if (!m_isReady) {
        return;
    }
    Envelope envelope = digestMessage(DigestKind::Ask, now).encode();
    const auto changes = m_log.lastRevision() == m_set.revision() ? m_log.since(base) : std::nullopt;
    if (changes) {
        Envelope delta = ConfigurationDelta{base, *changes, m_digest}.encode();
        if (delta.payload.size() <= m_settings.maxEagerPushBytes) {
            envelope = std::move(delta);
        }
    }
    for (const Peer &peer : chooseFanoutPeers(excluded)) {
        out.send(peer.endpoint, envelope);
    }
}

ConfigurationDigest ConfigurationReplicator::digestMessage(DigestKind kind, TimePoint now) const
{
    return {
        .kind = kind,
        .revision = m_set.revision(),
        .digest = m_digest,
        .isReady = m_isReady,
        .confirmedAge = m_lastConfirmed ? std::optional(now - *m_lastConfirmed) : std::nullopt,
        .askedAt = now.time_since_epoch(),
        .heartbeat = std::nullopt,
    };
}

bool ConfigurationReplicator::isInOwnDomain(const Peer &peer) const
{
    return peer.place == m_settings.self.place;
}

std::vector<Peer> ConfigurationReplicator::shuffledPeers(bool isOwnDomain) const
{
    std::vector<Peer> peers = m_hooks.peers();
    std::erase_if(peers, [&](const Peer &it) { return isInOwnDomain(it) != isOwnDomain || it.node == m_settings.self.node; });
    for (std::size_t n = peers.size(); n > 1; --n) {
        std::swap(peers[n - 1], peers[uniformBelow(m_random, n)]);
    }
    return peers;
}

std::vector<Peer> ConfigurationReplicator::chooseFanoutPeers(const std::optional<Endpoint> &excluded) const
{
    const auto isExcluded = [&excluded](const Peer &it) { return excluded && it.endpoint == *excluded; };
    std::vector<Peer> peers = shuffledPeers(true);
    std::erase_if(peers, isExcluded);
    if (peers.size() < m_settings.fanout) {
        std::vector<Peer> others = shuffledPeers(false);
        std::erase_if(others, isExcluded);
        peers.insert(peers.end(), others.begin(), others.end());
    }
    if (peers.size() > m_settings.fanout) {
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(m_settings.fanout), peers.end());
    }
    return peers;
}

} // namespace banyankeel

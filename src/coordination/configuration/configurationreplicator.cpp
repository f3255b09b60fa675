#include "coordination/configuration/configurationreplicator.h"

#include "state/errors.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace banyankeel
{

namespace
{
constexpr Duration StartupQueryInterval = std::chrono::milliseconds(200);
constexpr unsigned FailuresUntilReportedFailing = 2;

void requirePositive(Duration value, const char *field)
{
    if (value <= Duration::zero()) {
        throw SettingsError(fmt::format("configuration replicator: field {}: must be above zero", field));
    }
}
} // namespace

ConfigurationReplicator::ConfigurationReplicator(ConfigurationReplicatorSettings settings, ConfigurationReplicatorHooks hooks, RandomSource random)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_random(std::move(random))
    , m_log(m_settings.maxLoggedChanges, m_settings.maxLoggedBytes)
    , m_election({.self = m_settings.self, .readers = m_settings.readersPerDomain, .maxReaders = 2 * m_settings.readersPerDomain}, m_random)
{
    if (!m_hooks.peers || !m_hooks.applied) {
        throw SettingsError("configuration replicator: field hooks: peers and applied are required");
    }
    requirePositive(m_settings.storePollInterval, "storePollInterval");
    requirePositive(m_settings.storePollIntervalOnFailure, "storePollIntervalOnFailure");
    requirePositive(m_settings.heartbeatInterval, "heartbeatInterval");
    requirePositive(m_settings.exchangeInterval, "exchangeInterval");
    requirePositive(m_settings.pullTimeout, "pullTimeout");
}

std::vector<MessageType> ConfigurationReplicator::handledTypes()
{
    return {MessageType::ConfigurationDigest, MessageType::ConfigurationPull, MessageType::ConfigurationDelta, MessageType::ConfigurationSnapshot};
}

Duration ConfigurationReplicator::staleness(TimePoint now) const
{
    return m_lastConfirmed ? now - *m_lastConfirmed : Duration::max();
}

void ConfigurationReplicator::tick(TimePoint now, Outbox &out)
{
    if (!m_startedAt) {
        start(now);
    }
    if (!m_isReady) {
        queryAtStartup(now, out);
    }
    pollStore(now, out);
    if (now >= m_nextExchange) {
        compareRevisions(now, out);
    }
    checkPullTimeout(now, out);
    m_snapshotSource.tick(now);
    updateReadiness(now);
}

void ConfigurationReplicator::start(TimePoint now)
{
    m_startedAt = now;
    m_nextStartupQuery = now;
    m_nextPoll = now;
    m_nextHeartbeat = now;
    m_nextExchange = now + m_settings.exchangeInterval;
}

void ConfigurationReplicator::queryAtStartup(TimePoint now, Outbox &out)
{
    if (now < m_nextStartupQuery) {
        return;
    }
    m_nextStartupQuery = now + StartupQueryInterval;
    chooseStartupPeers();
    for (const auto &[node, startupPeer] : m_startupPeers) {
        if (!startupPeer.hasAnswered) {
            out.send(startupPeer.endpoint, digestMessage(DigestKind::Ask, now).encode());
        }
    }
    if (!m_hasStoreAnswered && !m_loader && now >= m_nextPoll) {
        startLoad(now, out, true);
    }
}

void ConfigurationReplicator::chooseStartupPeers()
{
    std::vector<Peer> peers = shuffledPeers(true);
    const std::vector<Peer> others = shuffledPeers(false);
    // Reserve one slot for a peer in another failure domain, since the own domain may be partitioned as a whole.
    const std::size_t reserved = others.empty() ? 0 : 1;
    peers.resize(std::min(peers.size(), m_settings.startupPeers - std::min(reserved, m_settings.startupPeers)), m_settings.self);
    peers.insert(peers.end(), others.begin(), others.end());
    for (const Peer &peer : peers) {
        if (m_startupPeers.size() >= m_settings.startupPeers) {
            return;
        }
        m_startupPeers.try_emplace(peer.node, StartupPeer{peer.endpoint, false, false});
    }
}

bool ConfigurationReplicator::hasQueriedPeers(TimePoint now) const
{
    bool hasReadyPeer = false;
    bool hasAllAnswers = true;
    for (const auto &[node, startupPeer] : m_startupPeers) {
        hasReadyPeer = hasReadyPeer || startupPeer.isReady;
        hasAllAnswers = hasAllAnswers && startupPeer.hasAnswered;
    }
    return hasReadyPeer && (hasAllAnswers || now - *m_startedAt >= m_settings.startupTimeout);
}

// The store's head is authoritative. While the store is down the ready peers are: no publish can succeed in that time, so each
// connected one has the newest revision.
void ConfigurationReplicator::updateReadiness(TimePoint now)
{
    if (m_isReady || !m_startedAt) {
        return;
    }
    const bool hasQueried = m_hasStoreAnswered || (m_storeFailures > 0 && hasQueriedPeers(now));
    m_isReady = m_hooks.rules.mayServe(hasQueried, m_set.revision(), m_highestKnownRevision);
}

void ConfigurationReplicator::pollStore(TimePoint now, Outbox &out)
{
    m_isReader = m_election.isReader(now);
    if ((m_isLoadRequested || (m_isReader && now >= m_nextPoll)) && !m_loader) {
        startLoad(now, out, false);
    }
    if (!m_isReader) {
        return;
    }
    if (now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = now + m_settings.heartbeatInterval;
    ConfigurationDigest message = digestMessage(DigestKind::Heartbeat, now);
    message.heartbeat = m_election.nextHeartbeat(m_storeFailures >= FailuresUntilReportedFailing);
    for (const Peer &peer : chooseFanoutPeers(std::nullopt)) {
        out.send(peer.endpoint, message.encode());
    }
    // A failure domain that cannot reach the store learns of new revisions from another domain.
    const std::vector<Peer> others = shuffledPeers(false);
    if (!others.empty()) {
        out.send(others.front().endpoint, digestMessage(DigestKind::Ask, now).encode());
    }
}

void ConfigurationReplicator::refresh()
{
    m_isLoadRequested = true;
}

void ConfigurationReplicator::startLoad(TimePoint now, Outbox &out, bool isHeadOnly)
{
    m_loader.emplace(m_set, m_digest);
    m_isHeadOnly = isHeadOnly;
    m_isLoadRequested = m_isLoadRequested && isHeadOnly;
    m_loadStartedAt = now;
    sendLoadRequest(m_loader->firstRequest(), out);
}

void ConfigurationReplicator::sendLoadRequest(const StoreRequest &request, Outbox &out)
{
    ++m_ticket;
    out.callStore(StoreTicket{m_ticket}, request);
}

void ConfigurationReplicator::storeReplied(StoreTicket ticket, const StoreReply &reply, TimePoint now, Outbox &out)
{
    if (!m_loader || ticket != StoreTicket{m_ticket}) {
        return;
    }
    const ConfigurationLoader::Step step = m_loader->advance(reply);
    if (m_loader->head()) {
        m_highestKnownRevision = std::max(m_highestKnownRevision, m_loader->head()->revision);
    }
    if (step == ConfigurationLoader::Step::Continue && !m_isHeadOnly) {
        sendLoadRequest(m_loader->nextRequest(), out);
        return;
    }
    finishLoad(step != ConfigurationLoader::Step::Failed, now, out);
    updateReadiness(now);
}

void ConfigurationReplicator::finishLoad(bool isLoaded, TimePoint now, Outbox &out)
{
    const ConfigurationLoader loader = std::move(*m_loader);
    m_loader.reset();
    m_nextPoll = now + (isLoaded ? m_settings.storePollInterval : m_settings.storePollIntervalOnFailure);
    if (!isLoaded) {
        ++m_storeFailures;
        return;
    }
    m_storeFailures = 0;
    m_hasStoreAnswered = true;
    confirm(m_loadStartedAt, loader.head()->revision);
    if (!m_isHeadOnly) {
        applyLoaded(loader, now, out);
    }
}

void ConfigurationReplicator::applyLoaded(const ConfigurationLoader &loader, TimePoint now, Outbox &out)
{
    const Revision base = m_set.revision();
    if (!m_hooks.rules.isNewer(base, loader.set().revision())) {
        return;
    }
    std::vector<ConfigurationChange> changes;
    for (const ChangeRow &row : loader.changes()) {
        if (row.revision > base) {
            changes.push_back(row.change);
        }
    }
    // Deltas from peers may have advanced this node during the load, or the change rows may start after its revision.
    const bool isContiguous = changes.size() == loader.set().revision() - base;
    if (!isContiguous || !applyChanges(changes, loader.digest(), out)) {
        m_log.reset(loader.set().revision());
        apply(loader.set(), loader.digest(), out);
    }
    propagate(base, std::nullopt, now, out);
}

void ConfigurationReplicator::compareRevisions(TimePoint now, Outbox &out)
{
    // Jitter desynchronises nodes that started at the same time.
    const double jitterFactor = 0.75 + uniformReal(m_random) / 2;
    m_nextExchange = now + std::chrono::duration_cast<Duration>(m_settings.exchangeInterval * jitterFactor);
    const bool isCrossDomain = m_settings.crossDomainExchangeOneIn != 0 && uniformBelow(m_random, m_settings.crossDomainExchangeOneIn) == 0;
    std::vector<Peer> peers = shuffledPeers(!isCrossDomain);
    if (peers.empty()) {
        peers = shuffledPeers(isCrossDomain);
    }
    if (!peers.empty()) {
        out.send(peers.front().endpoint, digestMessage(DigestKind::Ask, now).encode());
    }
}

bool ConfigurationReplicator::applyChanges(const std::vector<ConfigurationChange> &changes, const SetDigest &digest, Outbox &out)
{
    const ConfigurationChange change = mergeChanges(changes);
    const SetDigest found = m_digest.after(m_set, change);
    if (!m_hooks.rules.isIntact(found, digest)) {
        return false;
    }
    if (m_log.lastRevision() != m_set.revision()) {
        m_log.reset(m_set.revision());
    }
    for (const ConfigurationChange &it : changes) {
        m_log.append(it);
    }
    apply(m_set.with(change, m_set.revision() + changes.size()), found, out);
    return true;
}

void ConfigurationReplicator::apply(ConfigurationSet set, const SetDigest &digest, Outbox &out)
{
    m_set = std::move(set);
    m_digest = digest;
    m_corruptDeltas = 0;
    std::erase_if(m_pullSources, [this](const PullSource &it) { return it.revision <= m_set.revision(); });
    if (m_pendingConfirmation) {
        const Confirmation pending = *m_pendingConfirmation;
        confirm(pending.time, pending.revision);
    }
    const std::string detail = fmt::format("revision={} objects={}", m_set.revision(), m_set.objects().size());
    out.note({.kind = TimelineKind::ConfigurationApplied, .root = std::nullopt, .detail = detail});
    m_hooks.applied(m_set);
}

// A confirmation states that no revision newer than the given one existed at the given time. It applies to this node only once the
// node has reached that revision, so it stays pending until then.
void ConfigurationReplicator::confirm(TimePoint time, Revision revision)
{
    if (revision > m_set.revision()) {
        if (!m_pendingConfirmation || time > m_pendingConfirmation->time) {
            m_pendingConfirmation = Confirmation{time, revision};
        }
        return;
    }
    if (!m_lastConfirmed || time > *m_lastConfirmed) {
        m_lastConfirmed = time;
    }
    if (m_pendingConfirmation && m_pendingConfirmation->revision <= m_set.revision()) {
        m_pendingConfirmation.reset();
    }
}

} // namespace banyankeel

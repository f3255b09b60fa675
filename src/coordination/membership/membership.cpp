#include "coordination/membership/membership.h"

#include "state/errors.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace banyankeel
{

namespace
{
constexpr std::size_t MaxRumoursPerMessage = 8;
constexpr std::size_t MaxMembersPerExchange = 16;
/// Time within which a suspect must answer or refute the suspicion.
constexpr Duration SuspicionTimeout = std::chrono::seconds(3);
/// A process that was suspended for longer than this has missed messages.
constexpr Duration MaxTickGap = std::chrono::seconds(1);

void checkAboveZero(Duration value, const char *field)
{
    if (value <= Duration::zero()) {
        throw SettingsError(fmt::format("membership: field {}: must be above zero", field));
    }
}

AnnouncementQueueSettings queueSettings(const MembershipRules &rules)
{
    AnnouncementQueueSettings settings;
    settings.isRetransmitting = rules.retransmitsAnnouncements;
    return settings;
}

TargetDirectorySettings directorySettings(const MembershipRules &rules)
{
    TargetDirectorySettings settings;
    settings.supersedes = rules.supersedes;
    return settings;
}
} // namespace

Membership::Membership(MembershipSettings settings, MembershipHooks hooks, RandomSource random)
    : m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_random(std::move(random))
    , m_table(
          {.self = m_settings.self, .smallFleetLimit = m_settings.smallFleetLimit}, [this](const MemberRumour &it) { handleMemberGone(it); }, m_random)
    , m_prober({}, m_random)
    , m_roster({.self = m_settings.self}, m_random)
    , m_queue(queueSettings(m_hooks.rules))
    , m_directory(directorySettings(m_hooks.rules))
{
    if (!m_hooks.targetChanged || !m_hooks.holder || !m_hooks.directoryShards) {
        throw SettingsError("membership: field hooks: targetChanged, holder and directoryShards must be set");
    }
    checkAboveZero(m_settings.viewExchange, "viewExchange");
    checkAboveZero(m_settings.contactInterval, "contactInterval");
    checkAboveZero(m_settings.announceInterval, "announceInterval");
    checkAboveZero(m_settings.queryInterval, "queryInterval");
    checkAboveZero(m_settings.queryRetry, "queryRetry");
}

std::vector<MessageType> Membership::handledTypes()
{
    return {MessageType::ViewExchange,
            MessageType::ViewAnswer,
            MessageType::Probe,
            MessageType::ProbeAnswer,
            MessageType::TargetAnnouncement,
            MessageType::DirectoryQuery,
            MessageType::DirectoryAnswer};
}

void Membership::receive(const Peer &from, const Envelope &envelope, TimePoint now, Outbox &out)
{
    m_now = now;
    // A message of a replaced process may have been delayed in a buffer.
    if (from.node == m_settings.self.node || !m_table.noteMessageFrom(from, now)) {
        return;
    }
    switch (envelope.type) {
    case MessageType::ViewExchange:
    case MessageType::ViewAnswer:
        receiveViewExchange(from, ViewExchange::decode(envelope), now, out);
        break;
    case MessageType::Probe:
        receiveProbe(from, Probe::decode(envelope), now, out);
        break;
    case MessageType::ProbeAnswer:
        receiveProbeAnswer(ProbeAnswer::decode(envelope), now, out);
        break;
    case MessageType::TargetAnnouncement:
        receiveAnnouncement(from, TargetAnnouncement::decode(envelope), now, out);
        break;
    case MessageType::DirectoryQuery:
        receiveQuery(from, DirectoryQuery::decode(envelope), now, out);
        break;
    case MessageType::DirectoryAnswer:
        receiveAnswer(DirectoryAnswer::decode(envelope), now);
        break;
    default:
        throw ProtocolError("membership: unexpected message type");
    }
}

void Membership::storeReplied(StoreTicket ticket, const StoreReply &reply, TimePoint now, Outbox &out)
{
    m_now = now;
    m_roster.storeReplied(ticket, reply, m_table, now, out);
}

void Membership::tick(TimePoint now, Outbox &out)
{
    m_now = now;
    detectPause(now);
    m_table.tick(now);
    if (m_settings.usesRoster) {
        m_roster.tick(m_table, now, out);
    }
    probe(now, out);
    exchangeViews(now, out);
    contactKnownAddresses(now, out);
    updateHeldShards(now);
    announceLocalTarget(now);
    query(now, out);
    expire(now);
    m_queue.flush(now, out);
}

void Membership::detectPause(TimePoint now)
{
    if (m_lastTick && now - *m_lastTick > MaxTickGap) {
        m_prober.cancelAll();
        m_table.restartSuspicionTimeouts(now);
        m_nextExpiry = now + 2 * m_settings.announceInterval;
        for (auto &[service, subscription] : m_subscriptions) {
            subscription.nextQuery = now;
        }
    }
    m_lastTick = now;
}

void Membership::probe(TimePoint now, Outbox &out)
{
    const auto rumours = [this](const Peer &to) { return rumoursFor(to); };
    for (const Peer &failed : m_prober.tick(m_table, now, out, rumours)) {
        const Member *member = m_table.find(failed.node);
        if (member == nullptr || member->rumour.peer.incarnation != failed.incarnation) {
            continue;
        }
        MemberRumour rumour = member->rumour;
        if (rumour.state == MemberState::Alive) {
            rumour.state = MemberState::Suspect;
            m_table.apply(rumour, now);
        } else if (now - member->suspectedAt >= SuspicionTimeout) {
            rumour.state = MemberState::Gone;
            m_table.apply(rumour, now);
            out.note({.kind = TimelineKind::PeerLost, .root = std::nullopt, .detail = "node=" + failed.node.text()});
        }
    }
}

void Membership::exchangeViews(TimePoint now, Outbox &out)
{
    if (now < m_nextExchange) {
        return;
    }
    const double jitter = 0.75 + uniformReal(m_random) / 2;
    m_nextExchange = now + std::chrono::duration_cast<Duration>(m_settings.viewExchange * jitter);
    for (const Peer &peer : m_table.randomPeers(1, m_settings.self.node)) {
        out.send(peer.endpoint, makeViewExchange(false, peer.node).encode());
    }
}

// After a network partition each side considers the other side gone. Only a message to a known address merges them again.
void Membership::contactKnownAddresses(TimePoint now, Outbox &out)
{
    if (now < m_nextContact) {
        return;
    }
    m_nextContact = now + (m_table.members().empty() ? m_settings.contactInterval / 6 : m_settings.contactInterval);
    std::vector<Endpoint> endpoints = m_settings.bootstrap;
    endpoints.insert(endpoints.end(), m_roster.endpoints().begin(), m_roster.endpoints().end());
    std::erase(endpoints, m_settings.self.endpoint);
    std::vector<Endpoint> chosen;
    if (!endpoints.empty()) {
        chosen.push_back(endpoints[uniformBelow(m_random, endpoints.size())]);
    }
    if (const auto gone = m_table.randomGoneEndpoint()) {
        chosen.push_back(*gone);
    }
    for (const Endpoint &endpoint : chosen) {
        out.send(endpoint, makeViewExchange(false, std::nullopt).encode());
    }
}

void Membership::receiveViewExchange(const Peer &from, const ViewExchange &exchange, TimePoint now, Outbox &out)
{
    if (exchange.isLargeFleet) {
        m_table.setLargeFleet();
    }
    applyRumours(exchange.members, now);
    if (!exchange.isAnswer) {
        out.send(from.endpoint, makeViewExchange(true, from.node).encode());
    }
}

void Membership::receiveProbe(const Peer &from, const Probe &probe, TimePoint now, Outbox &out)
{
    applyRumours(probe.rumours, now);
    if (probe.target) {
        const auto rumours = [this](const Peer &to) { return rumoursFor(to); };
        m_prober.relay(from, probe.sequence, *probe.target, now, out, rumours);
        return;
    }
    out.send(from.endpoint, ProbeAnswer{probe.sequence, m_settings.self, rumoursFor(from)}.encode());
}

void Membership::receiveProbeAnswer(const ProbeAnswer &answer, TimePoint now, Outbox &out)
{
    applyRumours(answer.rumours, now);
    if (const auto relayed = m_prober.handleAnswer(answer.target, answer.sequence)) {
        out.send(relayed->requester.endpoint, ProbeAnswer{relayed->sequence, answer.target, rumoursFor(relayed->requester)}.encode());
    }
}

void Membership::applyRumours(const std::vector<MemberRumour> &rumours, TimePoint now)
{
    for (const MemberRumour &rumour : rumours) {
        if (rumour.peer.node == m_settings.self.node) {
            handleOwnRumour(rumour);
        } else {
            m_table.apply(rumour, now);
        }
    }
}

void Membership::handleOwnRumour(const MemberRumour &rumour)
{
    const Incarnation own = m_settings.self.incarnation;
    if (rumour.peer.incarnation > own) {
        m_supersededBy = std::max(m_supersededBy.value_or(own), rumour.peer.incarnation);
        return;
    }
    if (rumour.peer.incarnation == own && m_hooks.rules.refutes(rumour)) {
        refute(rumour.version);
    }
}

// A node that was suspended or partitioned restores its own membership, with a version above the one at which others declared it gone.
void Membership::refute(std::uint64_t version)
{
    if (version >= m_version) {
        m_version = version + 1;
        if (m_localTarget) {
            m_localTarget->version = m_version;
            m_isAnnouncementDue = true;
        }
    }
    m_table.disseminate(ownRumour());
}

std::vector<MemberRumour> Membership::rumoursFor(const Peer &peer)
{
    std::vector<MemberRumour> rumours = m_table.takeRumours(MaxRumoursPerMessage);
    // A node can refute a rumour about itself only if it receives it.
    const MemberRumour *gone = m_table.findGone(peer.node);
    const Member *member = m_table.find(peer.node);
    if (gone != nullptr) {
        rumours.push_back(*gone);
    } else if (member != nullptr && member->rumour.state == MemberState::Suspect) {
        rumours.push_back(member->rumour);
    }
    return rumours;
}

MemberRumour Membership::ownRumour() const
{
    return {m_settings.self, m_version, MemberState::Alive};
}

ViewExchange Membership::makeViewExchange(bool isAnswer, const std::optional<NodeId> &to) const
{
    ViewExchange message{.isAnswer = isAnswer, .isLargeFleet = m_table.isLargeFleet(), .members = m_table.sample(MaxMembersPerExchange)};
    message.members.push_back(ownRumour());
    const MemberRumour *gone = to ? m_table.findGone(*to) : nullptr;
    if (gone != nullptr) {
        message.members.push_back(*gone);
    }
    return message;
}

} // namespace banyankeel

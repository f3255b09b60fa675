#include "coordination/configuration/test/replicatorfleet.h"

#include "coordination/configuration/keysecret.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace banyankeel::testing
{

using namespace std::chrono_literals;

namespace
{
constexpr std::size_t Domains = 4;
constexpr std::uint16_t FirstPort = 7001;

Peer peerOf(std::size_t node, std::uint64_t incarnation)
{
    const std::size_t domain = node % Domains;
    return {.node = NodeId(fmt::format("n{}", node)),
            .incarnation = Incarnation{incarnation},
            .place = {RegionName(domain < 2 ? "muc" : "nue"), FailureDomainName(fmt::format("d{}", domain))},
            .endpoint = Endpoint("127.0.0.1", static_cast<std::uint16_t>(FirstPort + node))};
}

std::vector<std::string> acceptAll(const ConfigurationSet & /*set*/)
{
    return {};
}
} // namespace

PublishDriver::PublishDriver(ConfigurationReplicator &replicator, std::function<void(const PublishOutcome &)> onDone)
    : m_replicator(replicator)
    , m_onDone(std::move(onDone))
{
}

void PublishDriver::begin(PublishOperation operation)
{
    m_operation = std::move(operation);
    m_isStarted = false;
    ++m_ticket;
}

void PublishDriver::receive(const Peer & /*from*/, const Envelope & /*envelope*/, TimePoint /*now*/, Outbox & /*out*/)
{
}

void PublishDriver::storeReplied(StoreTicket ticket, const StoreReply &reply, TimePoint now, Outbox &out)
{
    // Ignore replies to an operation that has been replaced.
    if (!m_operation || ticket != StoreTicket{m_ticket}) {
        return;
    }
    handleNextRequest(m_operation->advance(reply), now, out);
}

void PublishDriver::tick(TimePoint now, Outbox &out)
{
    if (m_operation && !m_isStarted) {
        m_isStarted = true;
        handleNextRequest(m_operation->start(), now, out);
    }
}

void PublishDriver::handleNextRequest(std::optional<StoreRequest> request, TimePoint now, Outbox &out)
{
    if (request) {
        out.callStore(StoreTicket{++m_ticket}, *request);
        return;
    }
    if (std::holds_alternative<PublishAccepted>(m_operation->outcome())) {
        if (const auto delta = m_operation->delta()) {
            m_replicator.applyPublished(*delta, now, out);
        }
    }
    m_onDone(m_operation->outcome());
    m_operation.reset();
}

ConfigurationReplicatorSettings ReplicatorFleet::defaultSettings()
{
    return {.self = peerOf(0, 1)};
}

ReplicatorFleet::ReplicatorFleet(std::uint64_t seed, std::size_t nodeCount, ReplicationRules rules, ConfigurationReplicatorSettings settings)
    : m_runner(seed, ScheduleFaults{.lossPerMille = 100, .duplicatePerMille = 50, .shortestDelay = 1ms, .longestDelay = 40ms})
    , m_rules(std::move(rules))
    , m_settings(std::move(settings))
{
    for (std::size_t n = 0; n < nodeCount; ++n) {
        m_nodes.push_back({.peer = peerOf(n, 1), .replicator = nullptr, .driver = nullptr, .keys = nullptr});
    }
    for (std::size_t n = 0; n < nodeCount; ++n) {
        addNode(n);
    }
}

void ReplicatorFleet::addNode(std::size_t node)
{
    Node &it = m_nodes[node];
    it.peer = peerOf(node, ++m_incarnations);
    it.isReady = false;
    it.keys = nullptr;
    ConfigurationReplicatorSettings settings = m_settings;
    settings.self = it.peer;
    ConfigurationReplicatorHooks hooks;
    hooks.peers = [this, node] {
        std::vector<Peer> peers;
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            if (n != node) {
                peers.push_back(m_nodes[n].peer);
            }
        }
        return peers;
    };
    hooks.applied = [this, node](const ConfigurationSet &set) { applied(node, set); };
    hooks.rules = m_rules;
    it.replicator = std::make_unique<ConfigurationReplicator>(settings, hooks, seededRandom(m_runner.random()()));
    it.driver = std::make_unique<PublishDriver>(*it.replicator, [this](const PublishOutcome &outcome) { m_outcomes.push_back(outcome); });
    m_runner.addNode(it.peer, {componentOf(*it.replicator, ConfigurationReplicator::handledTypes()), componentOf(*it.driver, {})});
}

void ReplicatorFleet::applied(std::size_t node, const ConfigurationSet &set)
{
    Node &it = m_nodes[node];
    if (it.keys && set.revision() <= it.keys->revision()) {
        addViolation(fmt::format("{}: applied revision {} after {}", it.peer.node.text(), set.revision(), it.keys->revision()));
    }
    const auto reply = m_runner.store().apply(ReadRows{.keys = {changeKey(set.revision())}});
    const auto &rows = std::get<RowsRead>(reply).rows;
    if (rows.empty() || ChangeRow::decode(rows.front().value).digest != digestOf(set)) {
        addViolation(fmt::format("{}: applied revision {} differs from the accepted one", it.peer.node.text(), set.revision()));
    }
    it.keys = std::make_shared<const KeyTable>(set, it.keys.get());
}

// A restarted node must not serve a lower revision than before its restart while it can reach the store or a peer.
void ReplicatorFleet::checkReadiness()
{
    for (Node &it : m_nodes) {
        if (it.isReady || !it.replicator->isReady()) {
            continue;
        }
        it.isReady = true;
        if (it.replicator->current().revision() < it.revisionBeforeRestart && !m_hadIsolation) {
            addViolation(fmt::format("{}: serves revision {}, but served {} before its restart",
                                     it.peer.node.text(),
                                     it.replicator->current().revision(),
                                     it.revisionBeforeRestart));
        }
    }
}

void ReplicatorFleet::recordHead()
{
    const Revision head = acceptedRevision();
    if (m_heads.empty() || m_heads.rbegin()->second != head) {
        m_heads.emplace(m_runner.now(), head);
    }
}

void ReplicatorFleet::checkConfirmations()
{
    for (const Node &it : m_nodes) {
        const auto confirmed = it.replicator->lastConfirmed();
        const auto after = confirmed ? m_heads.upper_bound(*confirmed) : m_heads.begin();
        if (after == m_heads.begin() || std::prev(after)->second <= it.replicator->current().revision()) {
            continue;
        }
        addViolation(fmt::format("{}: considers revision {} confirmed, but {} had been accepted",
                                 it.peer.node.text(),
                                 it.replicator->current().revision(),
                                 std::prev(after)->second));
    }
}

void ReplicatorFleet::publish(std::size_t node, const ConfigurationChange &change, const PublishRules &rules)
{
    PublishSettings settings{.operation = OperationId(fmt::format("op{}", ++m_operations)), .author = name(node).text(), .time = {}};
    settings.rules = rules;
    m_nodes[node].driver->begin(PublishOperation(settings, replicator(node).current(), change, acceptAll));
}

void ReplicatorFleet::restart(std::size_t node)
{
    if (replicator(node).isReady()) {
        m_nodes[node].revisionBeforeRestart = replicator(node).current().revision();
    }
    m_runner.removeNode(name(node));
    addNode(node);
}

void ReplicatorFleet::run(Duration time)
{
    m_runner.runUntil(m_runner.now() + time, [this] {
        checkReadiness();
        recordHead();
        checkConfirmations();
    });
}

void ReplicatorFleet::isolate(std::size_t node, bool isIsolated)
{
    m_hadIsolation = m_hadIsolation || isIsolated;
    m_runner.setStoreReach(name(node), !isIsolated);
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        if (n != node) {
            m_runner.cut(name(node), name(n), isIsolated);
        }
    }
}

void ReplicatorFleet::endFaults()
{
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        isolate(n, false);
        m_runner.pause(name(n), false);
    }
    m_runner.setStoreDown(false);
    m_hadIsolation = false;
}

Revision ReplicatorFleet::acceptedRevision()
{
    const auto reply = m_runner.store().apply(ReadRows{.keys = {headKey()}});
    const auto &rows = std::get<RowsRead>(reply).rows;
    return rows.empty() ? 0 : HeadRow::decode(rows.front().value).revision;
}

void ReplicatorFleet::checkAllNodesCurrent(const std::string &context)
{
    for (const Node &it : m_nodes) {
        if (!it.replicator->isReady() || it.replicator->current().revision() != acceptedRevision()) {
            const std::string state = it.replicator->isReady() ? "ready" : "not ready";
            addViolation(
                fmt::format("{}: {} at revision {} of {} {}", it.peer.node.text(), state, it.replicator->current().revision(), acceptedRevision(), context));
        }
    }
}

void ReplicatorFleet::checkKeyRefusedOnAllNodes(const KeyOwner &owner, const std::string &context)
{
    for (const Node &it : m_nodes) {
        if (it.keys && !it.keys->refusalReason(owner)) {
            addViolation(fmt::format("{}: accepts a withdrawn key {}", it.peer.node.text(), context));
        }
    }
}

void ReplicatorFleet::addViolation(const std::string &text)
{
    constexpr std::size_t MaxViolations = 20;
    if (m_violations.size() >= MaxViolations) {
        return;
    }
    m_violations.push_back(text);
}

namespace
{
constexpr int RoundCount = 2;
constexpr int FaultsPerRound = 6;

ConfigurationChange randomChange(const RandomSource &random)
{
    const PriorityName name(fmt::format("p{}", uniformBelow(random, 5)));
    return {.put = {Priority{name, static_cast<PriorityLevel>(uniformBelow(random, 200))}}, .removed = {}};
}

void injectRandomFault(ReplicatorFleet &fleet)
{
    const RandomSource &random = fleet.runner().random();
    const std::size_t node = uniformBelow(random, fleet.size());
    switch (uniformBelow(random, 8)) {
    case 0:
        fleet.restart(node);
        break;
    case 1:
        fleet.runner().pause(fleet.name(node), true);
        break;
    case 2:
        fleet.runner().pause(fleet.name(node), false);
        break;
    case 3:
        fleet.isolate(node, true);
        break;
    case 4:
        fleet.isolate(node, false);
        break;
    case 5:
        fleet.runner().setStoreDown(true);
        break;
    case 6:
        fleet.runner().setStoreDown(false);
        break;
    default:
        break;
    }
}

void publishUnderFaults(ReplicatorFleet &fleet)
{
    for (int n = 0; n < FaultsPerRound; ++n) {
        const RandomSource &random = fleet.runner().random();
        const ConfigurationChange change = randomChange(random);
        fleet.publish(uniformBelow(random, fleet.size()), change);
        injectRandomFault(fleet);
        fleet.run(std::chrono::milliseconds(200 + uniformBelow(random, 1500)));
    }
}

void grantAndWithdrawKey(ReplicatorFleet &fleet, int round)
{
    const KeySecret secret = KeySecret::generate(KeyId(fmt::format("k{}", round)), OrganisationId("lufthafen"), fleet.runner().random());
    const KeyOwner owner{secret.key().name, secret.key().organisation};
    const std::size_t operatorNode = uniformBelow(fleet.runner().random(), fleet.size());
    fleet.publish(operatorNode, {.put = {secret.key()}, .removed = {}});
    fleet.run(7s);
    fleet.checkAllNodesCurrent("7 s after a grant");
    // Lost store calls can delay the publish, so the time is counted from the change of the head.
    const Revision before = fleet.acceptedRevision();
    fleet.publish(operatorNode, {.put = {}, .removed = {{ObjectKind::Key, owner.key.text()}}});
    for (int n = 0; n < 200 && fleet.acceptedRevision() == before; ++n) {
        fleet.run(10ms);
    }
    fleet.run(3s);
    fleet.checkKeyRefusedOnAllNodes(owner, "3 s after its withdrawal");
}

void restartWithStoreDown(ReplicatorFleet &fleet)
{
    fleet.runner().setStoreDown(true);
    const std::size_t node = uniformBelow(fleet.runner().random(), fleet.size());
    fleet.restart(node);
    fleet.run(7s);
    fleet.checkAllNodesCurrent("7 s after a restart with the store down");
    fleet.runner().setStoreDown(false);
}
} // namespace

std::vector<std::string> runReplicatorSchedule(std::uint64_t seed, const ReplicationRules &rules, const ConfigurationReplicatorSettings &settings)
{
    const std::size_t nodeCount = 3 + seed % 6;
    ReplicatorFleet fleet(seed, nodeCount, rules, settings);
    fleet.run(3s);
    for (int n = 0; n < RoundCount; ++n) {
        publishUnderFaults(fleet);
        fleet.endFaults();
        fleet.run(7s);
        fleet.checkAllNodesCurrent("7 s after the last fault");
        grantAndWithdrawKey(fleet, n);
        restartWithStoreDown(fleet);
    }
    return fleet.violations();
}

} // namespace banyankeel::testing

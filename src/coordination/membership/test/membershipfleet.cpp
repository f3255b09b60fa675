#include "coordination/membership/test/membershipfleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace banyankeel::testing
{

using namespace std::chrono_literals;

namespace
{
constexpr std::size_t Domains = 4;
constexpr std::uint16_t FirstPort = 7001;
const ServiceName Archiv("archiv");
} // namespace

MembershipFleet::MembershipFleet(std::uint64_t seed, MembershipFleetOptions options)
    : m_runner(seed, ScheduleFaults{.lossPerMille = options.lossPerMille, .duplicatePerMille = 50, .shortestDelay = 1ms, .longestDelay = 40ms})
    , m_options(std::move(options))
{
    for (std::size_t n = 0; n < m_options.nodes; ++n) {
        const std::size_t domain = n % Domains;
        const Place place{RegionName(domain < 2 ? "muc" : "nue"), FailureDomainName(fmt::format("d{}", domain))};
        const Endpoint endpoint("127.0.0.1", static_cast<std::uint16_t>(FirstPort + n));
        m_nodes.push_back({.peer = {NodeId(fmt::format("n{}", ++m_names)), Incarnation{0}, place, endpoint}, .membership = nullptr, .seen = {}});
    }
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        start(n);
    }
}

std::vector<Endpoint> MembershipFleet::bootstrap() const
{
    return {m_nodes[0].peer.endpoint, m_nodes[1].peer.endpoint};
}

void MembershipFleet::start(std::size_t node)
{
    Node &it = m_nodes[node];
    it.peer.incarnation = Incarnation{++m_incarnations};
    it.state = TargetState::Serving;
    it.seen.clear();
    MembershipHooks hooks;
    hooks.targetChanged = [this, node](const TargetRecord &record) { targetChanged(node, record); };
    hooks.holder = [this](ShardId) { return m_holder; };
    hooks.rules = m_options.rules;
    const MembershipSettings settings{.self = it.peer, .bootstrap = bootstrap(), .smallFleetLimit = m_options.smallFleetLimit};
    it.membership = std::make_unique<Membership>(settings, hooks, seededRandom(m_runner.random()()));
    it.membership->subscribe(Archiv);
    it.membership->announce(Archiv, TargetState::Serving, 90, 630);
    m_runner.addNode(it.peer, {componentOf(*it.membership, Membership::handledTypes())});
}

void MembershipFleet::targetChanged(std::size_t node, const TargetRecord &record)
{
    Node &it = m_nodes[node];
    const auto seen = it.seen.find(record.node.node);
    if (seen != it.seen.end() && seen->second.node.incarnation > record.node.incarnation) {
        m_violations.push_back(fmt::format("{}: an older incarnation of {} won", it.peer.node.text(), record.node.node.text()));
    }
    it.seen.insert_or_assign(record.node.node, record);
}

void MembershipFleet::run(Duration time)
{
    m_runner.runUntil(m_runner.now() + time, [] {});
}

void MembershipFleet::announce(std::size_t node, TargetState state)
{
    if (isRunning(node)) {
        m_nodes[node].state = state;
        membership(node).announce(Archiv, state, 90, 630);
    }
}

void MembershipFleet::stop(std::size_t node)
{
    m_runner.removeNode(m_nodes[node].peer.node);
    m_nodes[node].membership = nullptr;
}

void MembershipFleet::restart(std::size_t node)
{
    stop(node);
    start(node);
}

void MembershipFleet::replace(std::size_t node)
{
    stop(node);
    m_nodes[node].peer.node = NodeId(fmt::format("n{}", ++m_names));
    start(node);
}

void MembershipFleet::isolate(std::size_t node, bool isIsolated)
{
    m_runner.setStoreReach(m_nodes[node].peer.node, !isIsolated);
    for (const Node &it : m_nodes) {
        if (it.peer.node != m_nodes[node].peer.node) {
            m_runner.cut(m_nodes[node].peer.node, it.peer.node, isIsolated);
        }
    }
}

void MembershipFleet::pause(std::size_t node, bool isPaused)
{
    m_runner.pause(m_nodes[node].peer.node, isPaused);
}

void MembershipFleet::heal()
{
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        isolate(n, false);
        pause(n, false);
        if (!isRunning(n)) {
            start(n);
        }
    }
    m_runner.setStoreDown(false);
}

void MembershipFleet::setHolder(std::size_t node)
{
    const std::uint64_t fence = m_holder ? static_cast<std::uint64_t>(m_holder->fence) + 1 : 1;
    m_holder = ShardHolder{{ShardKind::Directory, 0}, m_nodes[node].peer, Fence{fence}};
}

void MembershipFleet::checkTarget(std::size_t node, TargetState state, const std::string &when)
{
    for (const Node &it : m_nodes) {
        const auto seen = it.seen.find(m_nodes[node].peer.node);
        if (it.membership && (seen == it.seen.end() || seen->second.state != state)) {
            const std::string found = seen == it.seen.end() ? "nothing" : fmt::format("state {}", static_cast<int>(seen->second.state));
            m_violations.push_back(fmt::format("{}: sees {} of {} {}", it.peer.node.text(), found, m_nodes[node].peer.node.text(), when));
        }
    }
}

void MembershipFleet::checkViews(const std::string &when)
{
    std::set<NodeId> running;
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        if (isRunning(n)) {
            running.insert(m_nodes[n].peer.node);
            checkTarget(n, m_nodes[n].state, when);
        }
    }
    for (const Node &it : m_nodes) {
        if (!it.membership) {
            continue;
        }
        for (const auto &[node, record] : it.seen) {
            if (running.count(node) == 0 && record.state != TargetState::Gone) {
                m_violations.push_back(fmt::format("{}: still sees {} {}", it.peer.node.text(), node.text(), when));
            }
        }
        if (!it.membership->isLargeFleet() && it.membership->view().size() + 1 != running.size()) {
            m_violations.push_back(fmt::format("{}: knows {} of {} nodes {}", it.peer.node.text(), it.membership->view().size(), running.size() - 1, when));
        }
    }
}

namespace
{
constexpr int Rounds = 2;
constexpr int FaultSteps = 8;
constexpr Duration RecoveryTime = 25s;

void randomFault(MembershipFleet &fleet)
{
    const RandomSource &random = fleet.runner().random();
    const std::size_t node = uniformBelow(random, fleet.size());
    const std::uint64_t kind = uniformBelow(random, 8);
    switch (kind) {
    case 0:
        fleet.restart(node);
        break;
    case 1:
        fleet.stop(node);
        break;
    case 2:
        fleet.replace(node);
        break;
    case 3:
    case 4:
        fleet.pause(node, kind == 3);
        break;
    case 5:
    case 6:
        fleet.isolate(node, kind == 5);
        break;
    default:
        fleet.runner().setStoreDown(uniformBelow(random, 2) == 0);
        break;
    }
}
} // namespace

std::vector<std::string> runMembershipSchedule(std::uint64_t seed, const MembershipFleetOptions &options)
{
    MembershipFleetOptions sized = options;
    sized.nodes = 3 + seed % 6;
    MembershipFleet fleet(seed, sized);
    fleet.setHolder(2);
    fleet.run(5s);
    const RandomSource &random = fleet.runner().random();
    for (int round = 0; round < Rounds; ++round) {
        for (int n = 0; n < FaultSteps; ++n) {
            randomFault(fleet);
            fleet.run(std::chrono::milliseconds(200 + uniformBelow(random, 4000)));
        }
        fleet.heal();
        fleet.setHolder(uniformBelow(random, fleet.size()));
        fleet.run(RecoveryTime);
        fleet.checkViews("25 s after the last fault");
        const std::size_t node = uniformBelow(random, fleet.size());
        fleet.announce(node, TargetState::Draining);
        fleet.run(3s);
        fleet.checkTarget(node, TargetState::Draining, "3 s after its drain");
        fleet.announce(node, TargetState::Serving);
        fleet.run(3s);
    }
    return fleet.violations();
}

} // namespace banyankeel::testing

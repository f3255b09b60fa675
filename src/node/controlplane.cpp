#include "node/controlplane.h"

#include "node/securerandom.h"
#include "telemetry/logging.h"

#include <fmt/format.h>

#include <set>

namespace banyankeel
{

namespace
{
constexpr Duration RefreshInterval = std::chrono::milliseconds(100);
// Time after which the directory is assumed to have answered a new subscription.
constexpr Duration SubscriptionSettleTime = std::chrono::seconds(3);

std::string shardText(const ShardId &shard)
{
    return fmt::format("{}/{}", nameOf(shard.kind), shard.index);
}
} // namespace

ControlPlane::ControlPlane(const Peer &self, const std::vector<Endpoint> &bootstrapPeers, ControlPlaneHooks hooks)
    : m_self(self)
    , m_hooks(std::move(hooks))
    , m_controlRunner(m_hooks.runner)
    , m_claimRunner(m_hooks.runner)
    , m_quotaRunner(m_hooks.runner)
{
    addConfiguration();
    addMembership(bootstrapPeers);
    addLeases();
    addClaims();
    addQuota();
}

void ControlPlane::addConfiguration()
{
    ConfigurationReplicatorHooks hooks;
    hooks.peers = [this] { return m_membership->view(); };
    hooks.applied = [this](const ConfigurationSet &set) { handleConfiguration(set); };
    m_configuration = std::make_unique<ConfigurationReplicator>(ConfigurationReplicatorSettings{.self = m_self}, hooks, seededRandom(secureRandomNumber()));
    m_controlRunner.add(componentOf(*m_configuration, ConfigurationReplicator::handledTypes()));
}

void ControlPlane::addMembership(const std::vector<Endpoint> &bootstrapPeers)
{
    MembershipHooks hooks;
    hooks.targetChanged = m_hooks.targetChanged;
    hooks.holder = [this](ShardId shard) { return m_leases->holderOf(shard); };
    hooks.directoryShards = [this] { return m_leases->layout() ? m_leases->layout()->directoryShards : std::uint16_t{1}; };
    const MembershipSettings settings{.self = m_self, .bootstrap = bootstrapPeers};
    m_membership = std::make_unique<Membership>(settings, hooks, seededRandom(secureRandomNumber()));
    m_controlRunner.add(componentOf(*m_membership, Membership::handledTypes()));
}

template<typename Value>
Value ControlPlane::readLeases(const std::function<Value(TimePoint)> &read)
{
    Value value{};
    m_controlRunner.runStep(LeasePart, [&](TimePoint now, Outbox &) { value = read(now); });
    return value;
}

template<typename Hooks>
void ControlPlane::setLeaseHooks(Hooks &hooks)
{
    // The leases belong to the control runner, whose lock may be acquired while the quota or claim runner's lock is held.
    hooks.layout = [this] { return readLeases<std::optional<ShardLayout>>([this](TimePoint) { return m_leases->layout(); }); };
    hooks.holderOf = [this](const ShardId &shard) {
        return readLeases<std::optional<ShardHolder>>([this, &shard](TimePoint) { return m_leases->holderOf(shard); });
    };
    hooks.heldFence = [this](const ShardId &shard, TimePoint) {
        return readLeases<std::optional<Fence>>([this, &shard](TimePoint now) { return m_leases->heldFence(shard, now); });
    };
}

void ControlPlane::addQuota()
{
    QuotaHooks hooks;
    setLeaseHooks(hooks);
    m_quota = std::make_unique<QuotaLedger>(m_self, QuotaSettings{}, hooks);
    m_quotaRunner.add(componentOf(*m_quota, QuotaLedger::handledTypes()));
}

void ControlPlane::addLeases()
{
    LeaseHooks hooks;
    hooks.view = [this] { return m_membership->view(); };
    hooks.proposedLayout = [this] { return proposedLayout(); };
    hooks.gained = [this](ShardId shard, Fence fence) {
        logEvent(LogLevel::Info,
                 "lease-taken",
                 {{"node", m_self.node.text()}, {"shard", shardText(shard)}, {"fence", std::to_string(static_cast<std::uint64_t>(fence))}});
    };
    hooks.lost = [this](ShardId shard) { logEvent(LogLevel::Info, "lease-lost", {{"node", m_self.node.text()}, {"shard", shardText(shard)}}); };
    m_leases = std::make_unique<ShardLeases>(m_self, LeaseSettings{}, hooks, seededRandom(secureRandomNumber()));
    m_controlRunner.add(componentOf(*m_leases, ShardLeases::handledTypes()));
}

void ControlPlane::addClaims()
{
    ClaimHooks hooks;
    setLeaseHooks(hooks);
    hooks.wallClock = [] { return std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now()); };
    // Posted to a worker because the target call handler may request the next claim, which needs the claim runner's lock.
    hooks.decided = [this](ClaimTicket ticket, ClaimResult result) { m_hooks.post([this, ticket, result] { m_hooks.claimDecided(ticket, result); }); };
    m_claims = std::make_unique<ClaimCoordinator>(m_self, ClaimSettings{}, hooks);
    m_claimRunner.add(componentOf(*m_claims, ClaimCoordinator::handledTypes()));
}

std::optional<ShardLayout> ControlPlane::proposedLayout() const
{
    if (!m_configuration->isReady() || m_configuration->current().revision() == 0) {
        return std::nullopt;
    }
    std::set<RegionName> regions{m_self.place.region};
    for (const Peer &peer : m_membership->view()) {
        regions.insert(peer.place.region);
    }
    const FleetRules rules = m_configuration->current().fleetRules();
    return ShardLayout{
        .regions = {regions.begin(), regions.end()},
        .quotaShards = rules.quotaShards,
        .claimShards = rules.claimShards,
        .directoryShards = rules.directoryShards,
    };
}

void ControlPlane::start()
{
    m_controlRunner.start();
    m_claimRunner.start();
    m_quotaRunner.start();
    refreshPeriodically();
}

void ControlPlane::refreshPeriodically()
{
    m_controlRunner.runStep(ConfigurationPart, [this](TimePoint, Outbox &) {
        m_isReady = m_configuration->isReady();
        m_lastConfirmed = m_configuration->lastConfirmed().value_or(TimePoint{});
        m_isReleased = m_leases->isReleased();
    });
    const TimePoint now = m_hooks.runner.now();
    m_hooks.runner.runAt(now + RefreshInterval, [this] { refreshPeriodically(); });
}

void ControlPlane::stop()
{
    m_quotaRunner.stop();
    m_claimRunner.stop();
    m_controlRunner.stop();
}

bool ControlPlane::receive(const Peer &from, const Envelope &envelope)
{
    for (ComponentRunner *runner : {&m_controlRunner, &m_claimRunner, &m_quotaRunner}) {
        if (runner->handles(envelope.type)) {
            runner->receive(from, envelope);
            return true;
        }
    }
    return false;
}

void ControlPlane::handleConfiguration(const ConfigurationSet &set)
{
    publishView(set);
    // Runs under the control runner's lock, which must be acquired after the quota and claim runners' locks, so they are updated from a worker.
    m_hooks.post([this, set] {
        m_quotaRunner.runStep(0, [this, &set](TimePoint now, Outbox &) { m_quota->configure(set, now); });
        m_claimRunner.runStep(0, [this, &set](TimePoint, Outbox &) { m_claims->setRetention(set.fleetRules().claimRetention); });
    });
}

void ControlPlane::publishView(const ConfigurationSet &set)
{
    const PublishedViewPointer previous = latestView();
    auto view = std::make_shared<const PublishedView>(set, previous.get());
    logEvent(LogLevel::Info,
             "configuration-applied",
             {{"node", m_self.node.text()}, {"revision", std::to_string(set.revision())}, {"objects", std::to_string(set.objects().size())}});
    const std::lock_guard lock(m_viewMutex);
    m_view = std::move(view);
}

PublishedViewPointer ControlPlane::published() const
{
    if (!m_isReady) {
        return nullptr;
    }
    return latestView();
}

PublishedViewPointer ControlPlane::latestView() const
{
    const std::lock_guard lock(m_viewMutex);
    return m_view;
}

Duration ControlPlane::staleness() const
{
    const TimePoint confirmed = m_lastConfirmed;
    return confirmed == TimePoint{} ? Duration::max() : m_hooks.runner.now() - confirmed;
}

bool ControlPlane::isStale() const
{
    const PublishedViewPointer view = published();
    return !view || staleness() > view->set.fleetRules().stalenessLimit;
}

QuotaDecision ControlPlane::takeQuota(const OrganisationId &organisation)
{
    QuotaDecision decision = QuotaDecision::refused(false, std::chrono::seconds(1));
    m_quotaRunner.runStep(0, [&](TimePoint now, Outbox &out) {
        decision = m_quota->tryTake(organisation, now);
        m_quota->flush(now, out);
    });
    return decision;
}

void ControlPlane::returnQuota(const OrganisationId &organisation)
{
    m_quotaRunner.runStep(0, [&](TimePoint now, Outbox &) { m_quota->refund(organisation, now); });
}

void ControlPlane::claim(ClaimTicket ticket, const RequestId &request)
{
    m_claimRunner.runStep(0, [&](TimePoint now, Outbox &out) { m_claims->claim(ticket, request, now, out); });
}

bool ControlPlane::subscribe(const ServiceName &service)
{
    const TimePoint now = m_hooks.runner.now();
    {
        const std::lock_guard lock(m_subscriptionsMutex);
        const auto [it, isNew] = m_subscriptions.emplace(service, now);
        if (!isNew) {
            return now - it->second < SubscriptionSettleTime;
        }
    }
    m_controlRunner.runStep(MembershipPart, [this, &service](TimePoint, Outbox &) { m_membership->subscribe(service); });
    return true;
}

void ControlPlane::announce(const ServiceName &service, TargetState state, std::uint32_t slots, std::uint32_t connections)
{
    m_controlRunner.runStep(MembershipPart, [&](TimePoint now, Outbox &out) {
        m_membership->announce(service, state, slots, connections);
        // Announce state changes, such as a drain, immediately.
        m_membership->tick(now, out);
    });
}

std::vector<Peer> ControlPlane::peers() const
{
    std::vector<Peer> peers;
    m_controlRunner.runStep(MembershipPart, [this, &peers](TimePoint, Outbox &) { peers = m_membership->view(); });
    return peers;
}

void ControlPlane::startDraining()
{
    m_quotaRunner.runStep(0, [this](TimePoint now, Outbox &out) { m_quota->drain(now, out); });
    m_controlRunner.runStep(LeasePart, [this](TimePoint now, Outbox &out) { m_leases->release(now, out); });
}

bool ControlPlane::isReleased() const
{
    return m_isReleased;
}

ControlStatus ControlPlane::status() const
{
    const PublishedViewPointer view = published();
    std::vector<QuotaTokens> quota;
    m_quotaRunner.runStep(0, [this, &quota](TimePoint, Outbox &) { quota = m_quota->status(); });
    std::vector<ShardId> shards;
    m_controlRunner.runStep(LeasePart, [this, &shards](TimePoint now, Outbox &) { shards = m_leases->heldShards(now); });
    return {
        .revision = view ? view->set.revision() : 0,
        .isReady = view != nullptr,
        .staleness = staleness(),
        .shards = shards,
        .quota = quota,
        .peers = peers(),
    };
}

} // namespace banyankeel

#pragma once

// State that a node shares with the rest of the fleet: configuration, membership, leases, quota and claims.
// Connects these coordination components to the network, the store and the clock, and passes their results to the request path.

#include "coordination/claims/claimcoordinator.h"
#include "coordination/configuration/configurationreplicator.h"
#include "coordination/lease/shardleases.h"
#include "coordination/membership/membership.h"
#include "coordination/quota/quotaledger.h"
#include "node/componentrunner.h"
#include "node/nodestatus.h"
#include "node/publishedview.h"
#include "state/targetrecord.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace banyankeel
{

/// Callbacks into the request path. Called from any thread, without holding any lock that this class's functions acquire.
struct ControlPlaneHooks {
    ComponentRunnerHooks runner;
    std::function<void(const TargetRecord &)> targetChanged;
    std::function<void(ClaimTicket, ClaimResult)> claimDecided;
    /// Runs a task asynchronously on a worker thread.
    std::function<void(std::function<void()>)> post;
};

/// Thread-safe. Lock order: the quota or claim runner, then the control runner.
class ControlPlane
{
public:
    ControlPlane(const Peer &self, const std::vector<Endpoint> &bootstrapPeers, ControlPlaneHooks hooks);

    void start();
    void stop();
    /// Handles a node-to-node message that does not belong to a call. Returns false if no component handles its type.
    bool receive(const Peer &from, const Envelope &envelope);

    /// Returns the active configuration, or null until the node is ready to serve.
    [[nodiscard]] PublishedViewPointer published() const;
    /// Returns whether the time since the last confirmation exceeds the staleness limit of the configuration itself.
    [[nodiscard]] bool isStale() const;
    [[nodiscard]] Duration staleness() const;

    QuotaDecision takeQuota(const OrganisationId &organisation);
    void returnQuota(const OrganisationId &organisation);
    void claim(ClaimTicket ticket, const RequestId &request);
    /// Subscribes to the targets of @p service. Cheap if already subscribed.
    /// Returns true if the subscription is so recent that the directory may not have answered yet.
    bool subscribe(const ServiceName &service);
    void announce(const ServiceName &service, TargetState state, std::uint32_t slots, std::uint32_t connections);
    [[nodiscard]] std::vector<Peer> peers() const;

    /// Releases leases and quota before a planned shutdown.
    void startDraining();
    [[nodiscard]] bool isReleased() const;

    [[nodiscard]] ControlStatus status() const;

private:
    static constexpr std::size_t ConfigurationPart = 0;
    static constexpr std::size_t MembershipPart = 1;
    static constexpr std::size_t LeasePart = 2;

    void handleConfiguration(const ConfigurationSet &set);
    void publishView(const ConfigurationSet &set);
    void addConfiguration();
    void addMembership(const std::vector<Endpoint> &bootstrapPeers);
    void addLeases();
    void addClaims();
    void addQuota();
    [[nodiscard]] std::optional<ShardLayout> proposedLayout() const;
    void refreshPeriodically();
    [[nodiscard]] PublishedViewPointer latestView() const;
    /// Gives a component outside the control runner access to the leases.
    template<typename Hooks>
    void setLeaseHooks(Hooks &hooks);
    template<typename Value>
    Value readLeases(const std::function<Value(TimePoint)> &read);

    Peer m_self;
    ControlPlaneHooks m_hooks;
    mutable ComponentRunner m_controlRunner;
    ComponentRunner m_claimRunner;
    mutable ComponentRunner m_quotaRunner;
    std::unique_ptr<Membership> m_membership;
    std::unique_ptr<ConfigurationReplicator> m_configuration;
    std::unique_ptr<ShardLeases> m_leases;
    std::unique_ptr<ClaimCoordinator> m_claims;
    std::unique_ptr<QuotaLedger> m_quota;

    mutable std::mutex m_viewMutex;
    PublishedViewPointer m_view;
    // Read by every request, so they are copied from the configuration component periodically instead of being read under its lock.
    std::atomic<bool> m_isReady{false};
    std::atomic<TimePoint> m_lastConfirmed{TimePoint{}};
    std::atomic<bool> m_isReleased{false};

    std::mutex m_subscriptionsMutex;
    std::map<ServiceName, TimePoint> m_subscriptions;
};

} // namespace banyankeel

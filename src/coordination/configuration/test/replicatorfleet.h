#pragma once

// Simulates a few nodes with configuration replication and key tables under a seeded schedule of faults, and checks their guarantees.
//
//   ReplicatorFleet fleet(seed, 6, {});
//   fleet.publish(0, change);
//   fleet.run(7s);
//   BOOST_CHECK(fleet.violations().empty());

#include "coordination/configuration/configurationreplicator.h"
#include "coordination/configuration/keytable.h"
#include "coordination/configuration/publishoperation.h"
#include "testing/schedulerunner.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace banyankeel::testing
{

/// Runs publish operations through one node. A new operation replaces the one in progress.
class PublishDriver
{
public:
    PublishDriver(ConfigurationReplicator &replicator, std::function<void(const PublishOutcome &)> onDone);

    void begin(PublishOperation operation);
    void receive(const Peer &from, const Envelope &envelope, TimePoint now, Outbox &out);
    void storeReplied(StoreTicket ticket, const StoreReply &reply, TimePoint now, Outbox &out);
    void tick(TimePoint now, Outbox &out);

private:
    void handleNextRequest(std::optional<StoreRequest> request, TimePoint now, Outbox &out);

    ConfigurationReplicator &m_replicator;
    std::function<void(const PublishOutcome &)> m_onDone;
    std::optional<PublishOperation> m_operation;
    bool m_isStarted = false;
    std::uint64_t m_ticket = 0;
};

/// Nodes in two regions with two failure domains each. Collects violations of the guarantees as texts.
class ReplicatorFleet
{
public:
    ReplicatorFleet(std::uint64_t seed, std::size_t nodeCount, ReplicationRules rules, ConfigurationReplicatorSettings settings = defaultSettings());

    static ConfigurationReplicatorSettings defaultSettings();

    /// Starts publishing @p change through a node. The outcome is appended to outcomes() when it is known.
    void publish(std::size_t node, const ConfigurationChange &change, const PublishRules &rules = {});
    void restart(std::size_t node);
    /// Advances the schedule by @p time.
    void run(Duration time);
    /// Disconnects a node from all others and the store, or reconnects it.
    void isolate(std::size_t node, bool isIsolated);
    /// Ends all faults except message loss, duplication and delay.
    void endFaults();

    /// Records a violation for every node that is not ready or not at the newest accepted revision.
    void checkAllNodesCurrent(const std::string &context);
    void checkKeyRefusedOnAllNodes(const KeyOwner &owner, const std::string &context);

    [[nodiscard]] ScheduleRunner &runner()
    {
        return m_runner;
    }
    [[nodiscard]] ConfigurationReplicator &replicator(std::size_t node)
    {
        return *m_nodes[node].replicator;
    }
    [[nodiscard]] const NodeId &name(std::size_t node) const
    {
        return m_nodes[node].peer.node;
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_nodes.size();
    }
    [[nodiscard]] TimePoint localNow(std::size_t node) const
    {
        return m_runner.localNow(m_nodes[node].peer.node);
    }
    /// The revision of the head row.
    Revision acceptedRevision();
    [[nodiscard]] const std::vector<PublishOutcome> &outcomes() const
    {
        return m_outcomes;
    }
    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    void addViolation(const std::string &text);

private:
    struct Node {
        Peer peer;
        std::unique_ptr<ConfigurationReplicator> replicator;
        std::unique_ptr<PublishDriver> driver;
        std::shared_ptr<const KeyTable> keys;
        /// The revision that the node last served before a restart.
        Revision revisionBeforeRestart = 0;
        bool isReady = false;
    };

    void addNode(std::size_t node);
    void applied(std::size_t node, const ConfigurationSet &set);
    void checkReadiness();
    /// Checks that the head was not newer than a node's revision at the time for which the node considers it confirmed.
    void checkConfirmations();
    void recordHead();

    ScheduleRunner m_runner;
    ReplicationRules m_rules;
    ConfigurationReplicatorSettings m_settings;
    std::vector<Node> m_nodes;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_operations = 0;
    bool m_hadIsolation = false;
    /// The head revision by the time at which it was first seen.
    std::map<TimePoint, Revision> m_heads;
    std::vector<PublishOutcome> m_outcomes;
    std::vector<std::string> m_violations;
};

/// Runs one schedule of publishes with and without faults; returns the violations.
std::vector<std::string> runReplicatorSchedule(std::uint64_t seed, const ReplicationRules &rules, const ConfigurationReplicatorSettings &settings);

} // namespace banyankeel::testing

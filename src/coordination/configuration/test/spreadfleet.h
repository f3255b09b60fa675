#pragma once

// A few nodes with their configuration spread and key tables under a seeded schedule, with checkers for what is promised.
//
//   SpreadFleet fleet(seed, 6, {});
//   fleet.publish(0, change);
//   fleet.run(7s);
//   BOOST_CHECK(fleet.violations().empty());

#include "coordination/configuration/configurationspread.h"
#include "coordination/configuration/keytable.h"
#include "coordination/configuration/publishoperation.h"
#include "testing/schedulerunner.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace banyankeel::testing
{

/// Drives publish operations through one node, as the daemon does for an operator.
class PublishDriver
{
public:
    PublishDriver(ConfigurationSpread &replicator, std::function<void(const PublishOutcome &)> done);

    void begin(PublishOperation operation);
    void receive(const Peer &from, const Envelope &envelope, TimePoint now, Outbox &out);
    void storeReplied(StoreTicket ticket, const StoreReply &reply, TimePoint now, Outbox &out);
    void tick(TimePoint now, Outbox &out);

private:
    void step(std::optional<StoreRequest> request, TimePoint now, Outbox &out);

    ConfigurationSpread &m_replicator;
    std::function<void(const PublishOutcome &)> m_done;
    std::optional<PublishOperation> m_operation;
    bool m_isBegun = false;
    std::uint64_t m_ticket = 0;
};

/// Nodes in two regions with two failure domains each. Collects broken promises as texts.
class SpreadFleet
{
public:
    SpreadFleet(std::uint64_t seed, std::size_t nodeCount, ReplicationRules rules, ConfigurationSpreadSettings settings = defaultSettings());

    static ConfigurationSpreadSettings defaultSettings();

    /// Publishes @p change through a node. The outcome is in outcomes() later.
    void publish(std::size_t node, const ConfigurationChange &change, const PublishRules &rules = {});
    void restart(std::size_t node);
    /// Steps the schedule on.
    void run(Duration time);
    /// Cuts a node from all others and the store, or joins it again.
    void isolate(std::size_t node, bool isIsolated);
    /// Ends all faults but lost messages.
    void heal();

    /// Notes a violation unless every node serves by the newest accepted revision.
    void checkNewestEverywhere(const std::string &when);
    void checkRefusedEverywhere(const KeyOwner &owner, const std::string &when);

    [[nodiscard]] ScheduleRunner &runner()
    {
        return m_runner;
    }
    [[nodiscard]] ConfigurationSpread &replicator(std::size_t node)
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
    Revision accepted();
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
        std::unique_ptr<ConfigurationSpread> replicator;
        std::unique_ptr<PublishDriver> driver;
        std::shared_ptr<const KeyTable> keys;
        /// The revision in force when the process before this one ended.
        Revision formerRevision = 0;
        bool isReady = false;
    };

    void addNode(std::size_t node);
    void applied(std::size_t node, const ConfigurationSet &set);
    void checkReadiness();
    /// What a node takes for confirmed at a time was the newest revision then.
    void checkConfirmations();
    void noteHead();

    ScheduleRunner m_runner;
    ReplicationRules m_rules;
    ConfigurationSpreadSettings m_settings;
    std::vector<Node> m_nodes;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_operations = 0;
    bool m_isDisturbed = false;
    /// Since when each revision is the head.
    std::map<TimePoint, Revision> m_heads;
    std::vector<PublishOutcome> m_outcomes;
    std::vector<std::string> m_violations;
};

/// One schedule of faults, publishes and calm; returns the broken promises.
std::vector<std::string> runSpreadSchedule(std::uint64_t seed, const ReplicationRules &rules, const ConfigurationSpreadSettings &settings);

} // namespace banyankeel::testing

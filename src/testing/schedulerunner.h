#pragma once

// Runs the decision code of a few nodes in one process under a seeded schedule of faults and a virtual clock.
//
//   ScheduleRunner runner(seed, ScheduleFaults{.lossPerMille = 50});
//   runner.addNode(peer, {componentOf(ledger, {...})});
//   runner.runUntil(TimePoint(10s), [&] { checkInvariants(); });

#include "coordination/common/component.h"
#include "coordination/common/random.h"
#include "testing/memorystore.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace banyankeel::testing
{

/// How likely each fault is, and how long things take.
struct ScheduleFaults {
    unsigned lossPerMille = 0;
    unsigned duplicatePerMille = 0;
    /// A message or store call takes between the two; a wide span reorders.
    Duration shortestDelay = std::chrono::milliseconds(1);
    Duration longestDelay = std::chrono::milliseconds(10);
    /// Store replies that are lost after the request took effect.
    unsigned storeReplyLossPerMille = 0;
    /// Store requests that are lost before they take effect.
    unsigned storeRequestLossPerMille = 0;
    Duration storeTimeLimit = std::chrono::seconds(1);
};

/// A bag of messages, a store and a clock for a few nodes. Not thread-safe; the same seed gives the same run.
class ScheduleRunner
{
public:
    ScheduleRunner(std::uint64_t seed, ScheduleFaults faults);

    /// Adds a node, or restarts it with new parts: whatever was under way to or from its former incarnation is dropped.
    /// Parts must outlive the run or their removal. @p clockRate is how fast the node's own clock runs.
    void addNode(const Peer &peer, std::vector<Component> parts, double clockRate = 1.0);
    /// The node stops at once and forgets everything.
    void removeNode(const NodeId &node);
    /// While paused a node takes no step; what reaches it waits. Its clock goes on.
    void pause(const NodeId &node, bool isPaused);
    /// Nothing passes between @p left and @p right while cut.
    void cut(const NodeId &left, const NodeId &right, bool isCut);
    /// Messages between @p left and @p right take longer by @p delay.
    void setExtraDelay(const NodeId &left, const NodeId &right, Duration delay);
    /// While down, requests fail after the time limit; some may have taken effect before.
    void setStoreDown(bool isDown);
    /// Whether @p node reaches the store.
    void setStoreReach(const NodeId &node, bool isReachable);
    void setFaults(const ScheduleFaults &faults);
    /// Adds @p latency to the delay of each message, for places that are apart.
    void setLatency(std::function<Duration(const Peer &from, const Peer &to)> latency);

    /// Steps through all events up to @p end; calls @p afterEach behind each step.
    void runUntil(TimePoint end, const std::function<void()> &afterEach);

    /// Lets code act on the part @p partIndex outside of its hooks, and carries out the actions that it collects.
    void act(const NodeId &node, const std::function<void(TimePoint localNow, Outbox &out)> &action, std::size_t partIndex = 0);

    [[nodiscard]] TimePoint now() const
    {
        return m_now;
    }
    /// The time on the clock of @p node.
    [[nodiscard]] TimePoint localNow(const NodeId &node) const;
    [[nodiscard]] MemoryStore &store()
    {
        return m_store;
    }
    [[nodiscard]] const RandomSource &random() const
    {
        return m_random;
    }
    /// Messages delivered and their payload bytes, over all nodes.
    [[nodiscard]] std::uint64_t deliveredMessages() const
    {
        return m_deliveredMessages;
    }
    [[nodiscard]] std::uint64_t deliveredBytes() const
    {
        return m_deliveredBytes;
    }

private:
    struct Node {
        Peer peer;
        std::vector<Component> parts;
        double clockRate;
        std::uint64_t life;
        bool isPaused = false;
        bool reachesStore = true;
        std::vector<std::function<void()>> waiting;
    };

    void schedule(TimePoint time, std::function<void()> step);
    /// Runs @p step on the node unless it died since; a paused node runs it when it resumes.
    void runOnNode(const NodeId &node, std::uint64_t life, const std::function<void(Node &)> &step);
    void carryOut(Node &node, std::size_t partIndex, const Outbox &out);
    void deliver(const Peer &from, const OutgoingMessage &message);
    void callStore(Node &node, std::size_t partIndex, const StoreCall &call);
    void scheduleTick(const NodeId &node, std::uint64_t life, std::size_t partIndex, TimePoint time, bool isRegular);
    Duration randomDelay();
    bool happens(unsigned perMille);
    Node *find(const Endpoint &endpoint);

    RandomSource m_random;
    ScheduleFaults m_faults;
    MemoryStore m_store;
    bool m_isStoreDown = false;
    TimePoint m_now{};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lives = 0;
    std::uint64_t m_deliveredMessages = 0;
    std::uint64_t m_deliveredBytes = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_steps;
    std::map<NodeId, Node> m_nodes;
    std::unordered_map<Endpoint, NodeId> m_nodesByEndpoint;
    std::function<Duration(const Peer &from, const Peer &to)> m_latency;
    std::set<std::pair<NodeId, NodeId>> m_cuts;
    std::map<std::pair<NodeId, NodeId>, Duration> m_extraDelays;
};

} // namespace banyankeel::testing

#pragma once

// Runs coordination components on the real network, store and clock.
//
//   ComponentRunner control(hooks);
//   control.add(componentOf(membership, {...}));
//   control.start();

#include "coordination/common/component.h"
#include "state/peer.h"

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace banyankeel
{

/// Dependencies of ComponentRunner. All may be called from any thread and must not block.
struct ComponentRunnerHooks {
    std::function<TimePoint()> now;
    std::function<void(const Endpoint &, Envelope)> send;
    std::function<void(const StoreRequest &, std::function<void(StoreReply)>)> sendStoreRequest;
    std::function<void(TimePoint, std::function<void()>)> runAt;
    TimelineRecorder record;
    /// Logs a message that violates the protocol.
    std::function<void(const Peer &, const std::string &problem)> reportMalformed;
};

/// Runs its components one step at a time under one lock and executes the resulting actions after releasing it. Thread-safe.
/// Must outlive its pending timers and store replies.
class ComponentRunner
{
public:
    explicit ComponentRunner(ComponentRunnerHooks hooks);

    /// Adds a component; must be called before start(). Everything that its callbacks refer to must outlive this object.
    void add(Component component);
    /// Starts the periodic ticks.
    void start();
    /// No step starts after this function returns.
    void stop();

    [[nodiscard]] bool handles(MessageType type) const;
    void receive(const Peer &from, const Envelope &envelope);

    /// Calls @p action under the lock and executes the actions in its outbox on behalf of component @p index, numbered in the order of add().
    void runStep(std::size_t index, const std::function<void(TimePoint now, Outbox &out)> &action);

private:
    void tick(std::size_t index);
    void tickPeriodically();
    void execute(std::size_t index, const Outbox &out);

    ComponentRunnerHooks m_hooks;
    std::vector<Component> m_components;
    std::mutex m_mutex;
    bool m_isStopped = false;
};

} // namespace banyankeel

#pragma once

// The interface through which the daemon, a replay or a test drives one component of a node's coordination, such as the quota ledger.
// A component is a state machine without a socket, thread, clock or random source of its own: it receives events and the time, and returns actions.
//
//   Component component = componentOf(spread, {MessageType::ConfigurationDigest, MessageType::ConfigurationDelta});
//   component.receive(from, envelope, now, out);

#include "coordination/common/outbox.h"
#include "state/peer.h"

#include <functional>
#include <vector>

namespace banyankeel
{

/// Maximum time between two ticks of a component in the daemon.
inline constexpr Duration TickInterval = std::chrono::milliseconds(100);

/// The callbacks of one component. They must not be called concurrently.
struct Component {
    std::vector<MessageType> handledTypes;
    /// Handles a message of one of the handled types from an authenticated peer.
    /// @throws ProtocolError if the message is malformed; the component is then unchanged.
    std::function<void(const Peer &from, const Envelope &envelope, TimePoint now, Outbox &out)> receive;
    /// Handles the reply to an earlier StoreCall of this component.
    std::function<void(StoreTicket ticket, const StoreReply &reply, TimePoint now, Outbox &out)> storeReplied;
    /// Called periodically, at least every TickInterval while the process is not suspended.
    std::function<void(TimePoint now, Outbox &out)> tick;
};

/// Returns callbacks that call receive(), storeReplied() and tick() of @p object, which must outlive them.
template<typename Object>
Component componentOf(Object &object, const std::vector<MessageType> &handledTypes)
{
    return {
        .handledTypes = handledTypes,
        .receive = [&object](const Peer &from, const Envelope &envelope, TimePoint now, Outbox &out) { object.receive(from, envelope, now, out); },
        .storeReplied = [&object](StoreTicket ticket, const StoreReply &reply, TimePoint now, Outbox &out) { object.storeReplied(ticket, reply, now, out); },
        .tick = [&object](TimePoint now, Outbox &out) { object.tick(now, out); },
    };
}

} // namespace banyankeel

#pragma once

// The actions that one step of a component requests from its runtime: messages, store calls, a wake-up time and timeline events.
//
//   Outbox out;
//   spread.tick(now, out);
//   for (const OutgoingMessage &it : out.messages()) ...

#include "protocol/envelope.h"
#include "protocol/storemessages.h"
#include "state/endpoint.h"
#include "state/time.h"
#include "state/timelineevent.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace banyankeel
{

/// Correlates a store reply with its request within one component, which chooses the values.
enum class StoreTicket : std::uint64_t {};

struct OutgoingMessage {
    Endpoint to;
    Envelope envelope;
};

struct StoreCall {
    StoreTicket ticket;
    StoreRequest request;
};

/// Collects the actions of one step of one component. Not thread-safe.
class Outbox
{
public:
    void send(const Endpoint &to, Envelope envelope)
    {
        m_messages.push_back({to, std::move(envelope)});
    }
    /// Calls the store. Every call receives exactly one reply; if the store's time limit expires, a StoreFailure.
    void callStore(StoreTicket ticket, StoreRequest request)
    {
        m_storeCalls.push_back({ticket, std::move(request)});
    }
    /// Requests a tick at @p time in addition to the regular ones.
    void wakeAt(TimePoint time)
    {
        if (!m_wakeAt || time < *m_wakeAt) {
            m_wakeAt = time;
        }
    }
    void note(TimelineNote note)
    {
        m_notes.push_back(std::move(note));
    }

    [[nodiscard]] const std::vector<OutgoingMessage> &messages() const
    {
        return m_messages;
    }
    [[nodiscard]] const std::vector<StoreCall> &storeCalls() const
    {
        return m_storeCalls;
    }
    [[nodiscard]] const std::vector<TimelineNote> &notes() const
    {
        return m_notes;
    }
    [[nodiscard]] std::optional<TimePoint> wakeAt() const
    {
        return m_wakeAt;
    }

private:
    std::vector<OutgoingMessage> m_messages;
    std::vector<StoreCall> m_storeCalls;
    std::vector<TimelineNote> m_notes;
    std::optional<TimePoint> m_wakeAt;
};

} // namespace banyankeel

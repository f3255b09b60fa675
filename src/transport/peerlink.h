#pragma once

// What a node knows of its connections to one endpoint.
//
//   PeerLink link;
//   if (link.mayConnect(now)) link.connecting(connection);
//   link.failed(now, delay);

#include "state/time.h"

#include <memory>
#include <vector>

namespace banyankeel
{

class PeerConnection;

/// Chooses the connection to send over, and when to connect again. Not thread-safe.
class PeerLink
{
public:
    using ConnectionPointer = std::shared_ptr<PeerConnection>;

    /// Where messages go at present; null if there is no connection, and none under way.
    [[nodiscard]] const ConnectionPointer &current() const
    {
        return m_current;
    }
    /// Connections whose hello was accepted.
    [[nodiscard]] const std::vector<ConnectionPointer> &ready() const
    {
        return m_ready;
    }
    /// Whether the delay after the last failure has passed.
    [[nodiscard]] bool mayConnect(TimePoint now) const
    {
        return now >= m_retryAt;
    }
    /// Whether nothing worth keeping is known. @param memory how long failures count after the last delay.
    [[nodiscard]] bool isForgettable(TimePoint now, Duration memory) const
    {
        return !m_current && m_ready.empty() && mayConnect(now - memory);
    }

    void connecting(ConnectionPointer connection);
    void accepted(const ConnectionPointer &connection);
    void ended(const ConnectionPointer &connection);
    /// The last attempt to connect failed. @returns how many failed in a row before.
    unsigned failed();
    void retryAt(TimePoint time)
    {
        m_retryAt = time;
    }

private:
    ConnectionPointer m_current;
    std::vector<ConnectionPointer> m_ready;
    TimePoint m_retryAt{};
    unsigned m_failures = 0;
};

} // namespace banyankeel

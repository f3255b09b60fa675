#include "transport/peerlink.h"

#include "transport/peerconnection.h"

namespace banyankeel
{

void PeerLink::connecting(ConnectionPointer connection)
{
    m_current = std::move(connection);
}

void PeerLink::accepted(const ConnectionPointer &connection)
{
    m_failures = 0;
    m_retryAt = {};
    m_ready.push_back(connection);
    // A connection that works stays the current one, so that messages don't overtake each other on two connections.
    if (m_current && m_current->isReady() && !m_current->isClosed()) {
        return;
    }
    if (m_current && m_current != connection) {
        connection->takeWaiting(*m_current);
    }
    m_current = connection;
}

void PeerLink::ended(const ConnectionPointer &connection)
{
    std::erase(m_ready, connection);
    if (m_current == connection) {
        m_current = m_ready.empty() ? nullptr : m_ready.front();
    }
}

unsigned PeerLink::failed()
{
    return m_failures++;
}

} // namespace banyankeel

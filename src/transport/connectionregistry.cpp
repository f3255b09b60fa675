#include "transport/connectionregistry.h"

#include <utility>

namespace banyankeel
{

void ConnectionRegistry::opened(ConnectionId connection)
{
    const std::scoped_lock lock(m_mutex);
    m_connections.try_emplace(connection);
}

void ConnectionRegistry::closed(ConnectionId connection)
{
    Hooks hooks;
    {
        const std::scoped_lock lock(m_mutex);
        const auto it = m_connections.find(connection);
        if (it == m_connections.end()) {
            return;
        }
        hooks = std::move(it->second);
        m_connections.erase(it);
    }
    for (const auto &[watcher, hook] : hooks) {
        hook();
    }
}

void ConnectionRegistry::watch(ConnectionId connection, WatcherId watcher, Hook hook)
{
    {
        const std::scoped_lock lock(m_mutex);
        const auto it = m_connections.find(connection);
        if (it != m_connections.end()) {
            it->second[watcher] = std::move(hook);
            return;
        }
    }
    hook();
}

void ConnectionRegistry::unwatch(ConnectionId connection, WatcherId watcher)
{
    const std::scoped_lock lock(m_mutex);
    const auto it = m_connections.find(connection);
    if (it != m_connections.end()) {
        it->second.erase(watcher);
    }
}

void ConnectionRegistry::clear()
{
    std::unordered_map<ConnectionId, Hooks> dropped;
    const std::scoped_lock lock(m_mutex);
    dropped.swap(m_connections);
}

std::size_t ConnectionRegistry::count() const
{
    const std::scoped_lock lock(m_mutex);
    return m_connections.size();
}

} // namespace banyankeel

#pragma once

// The open connections of a server, and who wants to know when one of them closes.
//
//   registry.opened(connection);
//   registry.watch(connection, request, [] { ... });
//   registry.closed(connection); // calls the hook

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace banyankeel
{

/// All functions may be called from any thread. Hooks are called without a lock held.
class ConnectionRegistry
{
public:
    using ConnectionId = std::uint64_t;
    /// Identifies who watches, among those of one connection.
    using WatcherId = std::uintptr_t;
    using Hook = std::function<void()>;

    void opened(ConnectionId connection);
    /// Calls the hooks of the connection. No effect on one that is closed already.
    void closed(ConnectionId connection);
    /// Calls @p hook once when the connection closes: at once if it has closed.
    void watch(ConnectionId connection, WatcherId watcher, Hook hook);
    void unwatch(ConnectionId connection, WatcherId watcher);
    /// Forgets all connections without calling hooks. A hook may hold what holds this registry.
    void clear();
    [[nodiscard]] std::size_t count() const;

private:
    using Hooks = std::unordered_map<WatcherId, Hook>;

    mutable std::mutex m_mutex;
    std::unordered_map<ConnectionId, Hooks> m_connections;
};

} // namespace banyankeel

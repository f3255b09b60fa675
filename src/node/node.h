#pragma once

// One node: connects the coordination components to sockets, threads, the store and the clock.
//
//   Node node(readNodeSettings("node.yaml"));
//   node.start();
//   ...
//   node.startDraining();
//   node.waitUntilIdle(isInterrupted);
//   node.stop();

#include "node/nodesettings.h"

#include <functional>
#include <memory>

namespace banyankeel
{

/// All functions must be called from the same thread.
class Node
{
public:
    explicit Node(const NodeSettings &settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Opens all listening sockets before it returns, then joins the fleet in the background.
    /// @throws Error if listening on an address fails.
    void start();
    /// Stops accepting new work; requests in flight are completed.
    void startDraining();
    /// Waits until no request is in flight and all leases are released. Returns false on reaching the drain limit or if @p isInterrupted returns true.
    bool waitUntilIdle(const std::function<bool()> &isInterrupted);
    /// Closes all connections and stops all threads.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyankeel

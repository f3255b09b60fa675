#pragma once

// One node of a fleet with a shared call graph: the entry point for callers on its host, and the only path to the host's target.
//
//   MeshNode node(context, settings, adapter, store);
//   node.start();
//   context.run();

#include "mesh/meshsettings.h"
#include "mesh/platformadapter.h"

#include <functional>
#include <memory>

namespace asio
{
class io_context;
} // namespace asio

namespace banyankeel
{

/// Runs on the context's thread.
class MeshNode
{
public:
    MeshNode(asio::io_context &context, const MeshSettings &settings, PlatformAdapter adapter, MeshStore store);
    ~MeshNode();
    MeshNode(const MeshNode &) = delete;
    MeshNode &operator=(const MeshNode &) = delete;

    /// Starts listening before it returns.
    /// @throws Error if an address can't be listened on.
    void start();
    /// Stops accepting new work, finishes requests in progress, and calls @p stopped when none are left or the grace period is nearly over.
    void drain(std::function<void()> stopped);
    /// Applies the settings that may change at runtime, which is the grace period only. Other changes are logged by name and apply after a restart.
    void reload(const MeshSettings &settings);
    /// Closes all connections immediately, as the end of the process would. The object must outlive the handlers that are pending in the context.
    void stopNow();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyankeel

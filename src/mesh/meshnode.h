#pragma once

// One process of a fleet with a shared call graph: entry for the callers on its host, and the only way to the host's target.
//
//   MeshNode node(context, settings, dialect, store);
//   node.start();
//   context.run();

#include "mesh/meshdialect.h"
#include "mesh/meshsettings.h"

#include <functional>
#include <memory>

namespace asio
{
class io_context;
} // namespace asio

namespace banyankeel
{

/// Runs on the thread of the context.
class MeshNode
{
public:
    MeshNode(asio::io_context &context, const MeshSettings &settings, MeshDialect dialect, MeshStore store);
    ~MeshNode();
    MeshNode(const MeshNode &) = delete;
    MeshNode &operator=(const MeshNode &) = delete;

    /// Listens before it returns.
    /// @throws Error if an address can't be listened on.
    void start();
    /// Takes no new work, ends what is under way, and calls @p stopped when nothing is left or the time for it is over.
    void drain(std::function<void()> stopped);
    /// Takes over what may change while the process runs, which is the grace period. The rest is logged by name and holds from the next start on.
    void reload(const MeshSettings &settings);
    /// Closes all connections at once, as the end of the process would. The object must outlive what the context still runs.
    void stopNow();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyankeel

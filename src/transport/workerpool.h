#pragma once

// A pool of threads for tasks and timers.
//
//   WorkerPool pool(4);
//   pool.post([] { ... });
//   pool.postAt(now + 50ms, [] { ... });

#include "state/time.h"

#include <functional>
#include <memory>

namespace banyankeel
{

/// Runs tasks on a fixed number of threads. All functions may be called from any thread.
class WorkerPool
{
public:
    /// @param threads above zero.
    explicit WorkerPool(unsigned threads);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    void post(std::function<void()> task);
    /// Runs @p task at @p time of the steady clock or soon after; it can't be taken back.
    void postAt(TimePoint time, std::function<void()> task);
    /// Waits for running tasks; those that have not begun, and timers, are dropped.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyankeel

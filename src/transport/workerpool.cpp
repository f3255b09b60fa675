#include "transport/workerpool.h"

#include "state/errors.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <mutex>
#include <thread>
#include <vector>

namespace banyankeel
{

class WorkerPool::Impl
{
public:
    explicit Impl(unsigned threads)
        : m_context(static_cast<int>(threads))
        , m_work(asio::make_work_guard(m_context))
    {
        for (unsigned n = 0; n < threads; ++n) {
            m_threads.emplace_back([this] { m_context.run(); });
        }
    }

    void post(std::function<void()> task)
    {
        asio::post(m_context, std::move(task));
    }

    void postAt(TimePoint time, std::function<void()> task)
    {
        const auto timer = std::make_shared<asio::steady_timer>(m_context, time);
        timer->async_wait([timer, task = std::move(task)](const std::error_code &ec) {
            if (!ec) {
                task();
            }
        });
    }

    void stop()
    {
        const std::scoped_lock lock(m_stopMutex);
        m_context.stop();
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::mutex m_stopMutex;
    std::vector<std::thread> m_threads;
};

WorkerPool::WorkerPool(unsigned threads)
{
    if (threads == 0) {
        throw ValueError("worker pool: field threads: 0 found, 1 or more allowed");
    }
    m_impl = std::make_unique<Impl>(threads);
}

WorkerPool::~WorkerPool()
{
    stop();
}

void WorkerPool::post(std::function<void()> task)
{
    m_impl->post(std::move(task));
}

void WorkerPool::postAt(TimePoint time, std::function<void()> task)
{
    m_impl->postAt(time, std::move(task));
}

void WorkerPool::stop()
{
    m_impl->stop();
}

} // namespace banyankeel

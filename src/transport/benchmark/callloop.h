#pragma once

// Keeps a number of calls under way and measures how long each takes.
//
//   CallLoop loop(16, 20'000, [&](std::function<void()> done) { client.send(..., [done](HttpResult) { done(); }); });
//   loop.run();
//   loop.print("http-direct");

#include "state/time.h"

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <vector>

namespace banyankeel
{

/// Runs once. A call begins on the thread on which the one before it ended.
class CallLoop
{
public:
    using Call = std::function<void(std::function<void()> done)>;

    CallLoop(std::size_t concurrent, std::size_t calls, Call call)
        : m_concurrent(concurrent)
        , m_calls(calls)
        , m_call(std::move(call))
        , m_times(calls)
    {
    }

    void run()
    {
        const TimePoint begin = std::chrono::steady_clock::now();
        const Duration cpuBefore = cpuTime();
        for (std::size_t n = 0; n < m_concurrent; ++n) {
            next();
        }
        m_finished.get_future().wait();
        m_cpu = cpuTime() - cpuBefore;
        m_elapsed = std::chrono::steady_clock::now() - begin;
        std::sort(m_times.begin(), m_times.end());
    }

    void print(const std::string &name) const
    {
        constexpr double MicrosecondsPerNanosecond = 1e-3;
        const auto microseconds = [](Duration it) { return static_cast<double>(it.count()) * MicrosecondsPerNanosecond; };
        const auto calls = static_cast<double>(m_calls);
        std::printf("bench case=%s-%zu p50_us=%.1f p99_us=%.1f calls_per_s=%.0f calls_per_cpu_s=%.0f\n",
                    name.c_str(),
                    m_concurrent,
                    microseconds(m_times[m_calls / 2]),
                    microseconds(m_times[m_calls * 99 / 100]),
                    calls / std::chrono::duration<double>(m_elapsed).count(),
                    calls / std::chrono::duration<double>(m_cpu).count());
        std::fflush(stdout);
    }

private:
    static Duration cpuTime()
    {
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        const auto of = [](const timeval &it) { return std::chrono::seconds(it.tv_sec) + std::chrono::microseconds(it.tv_usec); };
        return of(usage.ru_utime) + of(usage.ru_stime);
    }

    void next()
    {
        const std::size_t n = m_begun.fetch_add(1);
        if (n >= m_calls) {
            return;
        }
        const TimePoint begin = std::chrono::steady_clock::now();
        m_call([this, n, begin] {
            m_times[n] = std::chrono::steady_clock::now() - begin;
            if (m_ended.fetch_add(1) + 1 == m_calls) {
                m_finished.set_value();
            } else {
                next();
            }
        });
    }

    std::size_t m_concurrent;
    std::size_t m_calls;
    Call m_call;
    std::vector<Duration> m_times;
    std::atomic<std::size_t> m_begun = 0;
    std::atomic<std::size_t> m_ended = 0;
    std::promise<void> m_finished;
    Duration m_cpu{};
    Duration m_elapsed{};
};

} // namespace banyankeel

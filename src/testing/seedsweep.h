#pragma once

// Runs a schedule for many seeds on a few threads, for benchmark programs.
//
//   SeedSweep sweep = sweepSeeds(10'001, 1'000, [](std::uint64_t seed) { return runSchedule(seed); });

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace banyankeel::testing
{

/// How many seeds were run, and how many broken promises they showed.
struct SeedSweep {
    std::uint64_t seeds = 0;
    std::uint64_t violations = 0;
};

/// Runs @p schedule for up to @p count seeds from @p first on, until @p limit has passed. Prints each violation with its seed.
inline SeedSweep
sweepSeeds(std::uint64_t first, std::uint64_t count, std::chrono::seconds limit, const std::function<std::vector<std::string>(std::uint64_t seed)> &schedule)
{
    constexpr unsigned Threads = 4;
    const auto end = std::chrono::steady_clock::now() + limit;
    std::atomic<std::uint64_t> next{first};
    std::mutex mutex;
    SeedSweep sweep;
    const auto work = [&] {
        while (std::chrono::steady_clock::now() < end) {
            const std::uint64_t seed = next.fetch_add(1);
            if (seed >= first + count) {
                return;
            }
            const std::vector<std::string> violations = schedule(seed);
            const std::lock_guard lock(mutex);
            ++sweep.seeds;
            sweep.violations += violations.size();
            for (const std::string &text : violations) {
                std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), text.c_str());
            }
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(Threads);
    for (unsigned n = 0; n < Threads; ++n) {
        threads.emplace_back(work);
    }
    for (std::thread &it : threads) {
        it.join();
    }
    return sweep;
}

} // namespace banyankeel::testing

#pragma once

// What the connections of one link share: rules, chances, the rate limit and counts.
//
//   if (state.happens(state.rules.resetPerMille)) ...
//   TimePoint due = state.dueTime(Direction::Requests, bytes.size(), now);

#include "coordination/common/random.h"
#include "state/time.h"
#include "tools/faultproxy/linkrules.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace banyankeel
{

enum class Direction : std::uint8_t {
    Requests = 0,
    Answers = 1,
};

/// Not thread-safe: belongs to the proxy's one thread. The same seed and the same order of events give the same faults.
class LinkState
{
public:
    LinkState(const LinkRules &firstRules, std::uint64_t seed)
        : rules(firstRules)
        , m_random(seededRandom(seed))
    {
    }

    [[nodiscard]] bool happens(unsigned perMille)
    {
        constexpr std::uint64_t PerMille = 1000;
        return perMille > 0 && uniformBelow(m_random, PerMille) < perMille;
    }

    /// When bytes that arrive at @p now come out at the other end, and takes their part of the rate.
    TimePoint dueTime(Direction direction, std::size_t bytes, TimePoint now)
    {
        TimePoint &freeAt = m_freeAt[static_cast<std::size_t>(direction)];
        if (rules.bitsPerSecond > 0) {
            constexpr double BitsPerByte = 8;
            const std::chrono::duration<double> sending(static_cast<double>(bytes) * BitsPerByte / static_cast<double>(rules.bitsPerSecond));
            freeAt = std::max(freeAt, now) + std::chrono::duration_cast<Duration>(sending);
        }
        const Duration jitter = rules.jitter.count() == 0 ? Duration(0) : Duration(uniformBelow(m_random, static_cast<std::uint64_t>(rules.jitter.count())));
        return (rules.bitsPerSecond > 0 ? freeAt : now) + rules.delay + jitter;
    }

    LinkRules rules;
    std::uint64_t connections = 0;
    std::uint64_t resets = 0;
    std::uint64_t lostAnswers = 0;
    std::uint64_t reordered = 0;
    std::uint64_t duplicated = 0;
    /// By direction.
    std::array<std::uint64_t, 2> passedBytes{};

private:
    RandomSource m_random;
    std::array<TimePoint, 2> m_freeAt{};
};

} // namespace banyankeel

#pragma once

// Caches the admission hints of targets: the fraction of each organisation's requests that they recently admitted.
//
//   HintTable hints(entries);
//   hints.record(HintTable::keyOf(target, organisation, priority), fraction, now);
//   if (hints.isLikelyRefused(key, rootShare, now)) ...

#include "state/callcontext.h"
#include "state/identifier.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace banyankeel
{

/// A set-associative table of fixed size; inserting into a full set evicts its oldest hint. Not thread-safe; constant time; does not allocate after
/// construction.
class HintTable
{
public:
    /// @param entries rounded up to a power of two.
    explicit HintTable(std::size_t entries);

    /// @param target a number that identifies one incarnation of one target.
    static std::uint64_t keyOf(std::uint64_t target, std::uint64_t flow);
    static std::uint64_t flowOf(const OrganisationId &organisation, PriorityLevel priority);

    /// Records a hint. A fraction of 1 is stored only if it replaces an earlier hint.
    void record(std::uint64_t key, double admittedFraction, TimePoint now);
    /// Whether the target would probably refuse a root whose hash is @p rootShare. At regular intervals returns false to let one request probe the target.
    [[nodiscard]] bool isLikelyRefused(std::uint64_t key, double rootShare, TimePoint now);
    /// The most recent fraction, or 1 if it has expired.
    [[nodiscard]] double admittedFraction(std::uint64_t key, TimePoint now) const;

    [[nodiscard]] std::size_t bytes() const
    {
        return m_entries.capacity() * sizeof(Entry);
    }

private:
    struct Entry {
        std::uint64_t key = 0;
        TimePoint recordedAt;
        TimePoint probedAt;
        double fraction = 1;
    };

    [[nodiscard]] Entry *find(std::uint64_t key);
    [[nodiscard]] const Entry *find(std::uint64_t key) const;
    [[nodiscard]] Entry &findOrInsert(std::uint64_t key);

    std::vector<Entry> m_entries;
};

} // namespace banyankeel

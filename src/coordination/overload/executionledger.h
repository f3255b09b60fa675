#pragma once

// Counts how often each root request ran at a target, on the target's own node, to bound repeated executions.
//
//   ExecutionLedger ledger(settings);
//   if (!ledger.begin(root, ExecutionsPerTarget, now)) ... // refuse, not-run

#include "state/requestid.h"
#include "state/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace banyankeel
{

struct LedgerSettings {
    /// Minimum time for which an execution is remembered.
    Duration retention = std::chrono::minutes(10);
    /// Maximum number of roots in the ledger.
    std::size_t maxRoots = 1'000'000;

    friend auto operator<=>(const LedgerSettings &, const LedgerSettings &) = default;
};

/// Result of ExecutionLedger::begin().
enum class LedgerResult : std::uint8_t {
    Granted,
    /// The root has reached its maximum number of executions.
    LimitReached,
    /// The ledger has no room for a further root; refusing it preserves the bound.
    Full,
};

/// The executions of roots with an idempotency key at one target. Not thread-safe. Constant time on average.
///
/// Roots are stored in time slices of the retention period. The oldest slice is cleared as a whole and its memory is reused, so
/// nothing is allocated once the slices have grown to fit the traffic.
class ExecutionLedger
{
public:
    /// @throws ValueError if retention or maxRoots is not above zero.
    ExecutionLedger(const LedgerSettings &settings, TimePoint now);

    /// Counts an execution of @p root unless @p maxExecutions are already counted. To be called immediately before the request runs.
    LedgerResult begin(const RequestId &root, std::uint16_t maxExecutions, TimePoint now);
    /// Uncounts an execution that is known not to have run.
    void undoBegin(const RequestId &root);
    /// Number of remembered executions of @p root.
    [[nodiscard]] std::uint16_t count(const RequestId &root) const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t bytes() const;

private:
    /// 60 bits of the root's hash above a 4-bit count; zero marks a free cell. A root whose 60 bits equal those of another one is
    /// wrongly refused; with a million roots the probability is 1 in 10^12 per root.
    using Cell = std::uint64_t;
    struct Slice {
        std::vector<Cell> cells;
        std::size_t size = 0;
    };

    void rotate(TimePoint now);
    static Cell *find(Slice &slice, std::uint64_t hash);
    static void insert(Slice &slice, Cell cell);
    static void grow(Slice &slice);
    [[nodiscard]] std::uint16_t countOf(std::uint64_t hash) const;

    Duration m_sliceLength;
    std::size_t m_maxRoots;
    std::vector<Slice> m_slices;
    std::size_t m_current = 0;
    TimePoint m_sliceStart;
};

} // namespace banyankeel

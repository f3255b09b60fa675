#include "coordination/overload/executionledger.h"

#include "coordination/common/roothash.h"
#include "state/errors.h"

#include <algorithm>

namespace banyankeel
{

namespace
{
/// One more than the retention period is divided into, because the current slice is only partly elapsed.
constexpr std::size_t SliceCount = 5;
constexpr std::size_t InitialCells = 64;
constexpr unsigned CountBits = 4;
constexpr std::uint64_t CountMask = (1U << CountBits) - 1;
/// Fits the 4-bit count. The maximum of Service::maxExecutions is 16, and a target grants fewer.
constexpr std::uint16_t MaxCount = CountMask;

/// The hash of @p root with the count bits cleared; never zero.
std::uint64_t hashOf(const RequestId &root)
{
    const std::uint64_t hash = rootHash(root) & ~CountMask;
    return hash == 0 ? CountMask + 1 : hash;
}

std::size_t homeIndex(std::uint64_t hash, std::size_t mask)
{
    return static_cast<std::size_t>(hash >> CountBits) & mask;
}
} // namespace

ExecutionLedger::ExecutionLedger(const LedgerSettings &settings, TimePoint now)
    : m_sliceLength(settings.retention / (SliceCount - 1))
    , m_maxRoots(settings.maxRoots)
    , m_slices(SliceCount)
    , m_sliceStart(now)
{
    if (m_sliceLength <= Duration::zero()) {
        throw ValueError("execution ledger: field retention must be greater than 0");
    }
    if (m_maxRoots == 0) {
        throw ValueError("execution ledger: field maxRoots must be greater than 0");
    }
}

void ExecutionLedger::rotate(TimePoint now)
{
    // After a long pause all slices have expired; clearing each of them once is enough.
    for (std::size_t i = 0; i < SliceCount && now - m_sliceStart >= m_sliceLength; ++i) {
        m_current = (m_current + 1) % SliceCount;
        Slice &slice = m_slices[m_current];
        std::ranges::fill(slice.cells, Cell{0});
        slice.size = 0;
        m_sliceStart += m_sliceLength;
    }
    if (now - m_sliceStart >= m_sliceLength) {
        m_sliceStart = now;
    }
}

ExecutionLedger::Cell *ExecutionLedger::find(Slice &slice, std::uint64_t hash)
{
    if (slice.cells.empty()) {
        return nullptr;
    }
    const std::size_t mask = slice.cells.size() - 1;
    for (std::size_t at = homeIndex(hash, mask); slice.cells[at] != 0; at = (at + 1) & mask) {
        if ((slice.cells[at] & ~CountMask) == hash) {
            return &slice.cells[at];
        }
    }
    return nullptr;
}

void ExecutionLedger::insert(Slice &slice, Cell cell)
{
    if ((slice.size + 1) * 4 > slice.cells.size() * 3) {
        grow(slice);
    }
    const std::size_t mask = slice.cells.size() - 1;
    std::size_t at = homeIndex(cell, mask);
    while (slice.cells[at] != 0) {
        at = (at + 1) & mask;
    }
    slice.cells[at] = cell;
    ++slice.size;
}

void ExecutionLedger::grow(Slice &slice)
{
    std::vector<Cell> old(std::max(InitialCells, slice.cells.size() * 2));
    old.swap(slice.cells);
    slice.size = 0;
    for (const Cell cell : old) {
        if (cell != 0) {
            insert(slice, cell);
        }
    }
}

LedgerResult ExecutionLedger::begin(const RequestId &root, std::uint16_t maxExecutions, TimePoint now)
{
    rotate(now);
    const std::uint64_t hash = hashOf(root);
    if (countOf(hash) >= std::min(maxExecutions, MaxCount)) {
        return LedgerResult::LimitReached;
    }
    if (Cell *cell = find(m_slices[m_current], hash)) {
        ++*cell;
        return LedgerResult::Granted;
    }
    if (size() >= m_maxRoots) {
        return LedgerResult::Full;
    }
    insert(m_slices[m_current], hash + 1);
    return LedgerResult::Granted;
}

void ExecutionLedger::undoBegin(const RequestId &root)
{
    for (Slice &slice : m_slices) {
        Cell *cell = find(slice, hashOf(root));
        if (cell && (*cell & CountMask) > 0) {
            --*cell;
            return;
        }
    }
}

std::uint16_t ExecutionLedger::countOf(std::uint64_t hash) const
{
    std::uint64_t sum = 0;
    for (const Slice &slice : m_slices) {
        const Cell *cell = find(const_cast<Slice &>(slice), hash);
        sum += cell ? *cell & CountMask : 0;
    }
    return static_cast<std::uint16_t>(sum);
}

std::uint16_t ExecutionLedger::count(const RequestId &root) const
{
    return countOf(hashOf(root));
}

std::size_t ExecutionLedger::size() const
{
    std::size_t sum = 0;
    for (const Slice &slice : m_slices) {
        sum += slice.size;
    }
    return sum;
}

std::size_t ExecutionLedger::bytes() const
{
    std::size_t sum = sizeof(*this);
    for (const Slice &slice : m_slices) {
        sum += slice.cells.capacity() * sizeof(Cell);
    }
    return sum;
}

} // namespace banyankeel

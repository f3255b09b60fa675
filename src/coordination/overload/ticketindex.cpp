#include "coordination/overload/ticketindex.h"

#include <bit>

namespace banyankeel
{

TicketIndex::TicketIndex(std::size_t capacity)
    : m_cells(std::bit_ceil(capacity * 2 + 2))
    , m_capacity(capacity)
{
}

std::size_t TicketIndex::home(std::uint64_t ticket) const
{
    constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15ULL;
    constexpr unsigned HighBits = 32;
    return static_cast<std::size_t>((ticket * Multiplier) >> HighBits) & (m_cells.size() - 1);
}

std::size_t TicketIndex::locate(std::uint64_t ticket) const
{
    std::size_t at = home(ticket);
    while (m_cells[at].isUsed && m_cells[at].ticket != ticket) {
        at = (at + 1) & (m_cells.size() - 1);
    }
    return at;
}

bool TicketIndex::insert(std::uint64_t ticket, std::uint32_t slot)
{
    Cell &cell = m_cells[locate(ticket)];
    if (cell.isUsed || m_size == m_capacity) {
        return false;
    }
    cell = {ticket, slot, true};
    ++m_size;
    return true;
}

std::optional<std::uint32_t> TicketIndex::find(std::uint64_t ticket) const
{
    const Cell &cell = m_cells[locate(ticket)];
    return cell.isUsed ? std::optional(cell.slot) : std::nullopt;
}

void TicketIndex::erase(std::uint64_t ticket)
{
    std::size_t hole = locate(ticket);
    if (!m_cells[hole].isUsed) {
        return;
    }
    m_cells[hole].isUsed = false;
    --m_size;
    // Backward-shift deletion: later cells of the probe sequence move into the hole, so that lookups still reach them.
    const std::size_t mask = m_cells.size() - 1;
    for (std::size_t at = (hole + 1) & mask; m_cells[at].isUsed; at = (at + 1) & mask) {
        const std::size_t distance = (at - home(m_cells[at].ticket)) & mask;
        if (distance >= ((at - hole) & mask)) {
            m_cells[hole] = m_cells[at];
            m_cells[at].isUsed = false;
            hole = at;
        }
    }
}

} // namespace banyankeel

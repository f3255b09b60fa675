#pragma once

// Maps the ticket of an attempt to its pool slot, without allocating after construction.
//
//   TicketIndex index(capacity);
//   index.insert(ticket, slot);

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace banyankeel
{

/// Hash table of fixed capacity from 64-bit tickets to pool slots, with linear probing. Not thread-safe. Constant time on average.
class TicketIndex
{
public:
    /// @param capacity maximum number of tickets.
    explicit TicketIndex(std::size_t capacity);

    /// Returns false and changes nothing if @p ticket is already present or the table is full.
    bool insert(std::uint64_t ticket, std::uint32_t slot);
    [[nodiscard]] std::optional<std::uint32_t> find(std::uint64_t ticket) const;
    /// Does nothing for an unknown ticket.
    void erase(std::uint64_t ticket);
    [[nodiscard]] std::size_t size() const
    {
        return m_size;
    }

private:
    struct Cell {
        std::uint64_t ticket = 0;
        std::uint32_t slot = 0;
        bool isUsed = false;
    };

    [[nodiscard]] std::size_t home(std::uint64_t ticket) const;
    [[nodiscard]] std::size_t locate(std::uint64_t ticket) const;

    std::vector<Cell> m_cells;
    std::size_t m_capacity;
    std::size_t m_size = 0;
};

} // namespace banyankeel

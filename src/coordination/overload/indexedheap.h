#pragma once

// Binary heap of small integers that can be reprioritised or removed by value.
//
//   IndexedHeap heap;
//   heap.update(flow, {level, tag});

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace banyankeel
{

/// Holds integers from 0; the member that Before orders first is at the top. Not thread-safe.
/// Each step takes time logarithmic in the number of members; memory is proportional to the highest member.
template<typename Key, typename Before>
class IndexedHeap
{
public:
    [[nodiscard]] bool isEmpty() const
    {
        return m_nodes.empty();
    }
    [[nodiscard]] std::uint32_t top() const
    {
        return m_nodes.front().member;
    }
    [[nodiscard]] const Key &topKey() const
    {
        return m_nodes.front().key;
    }
    [[nodiscard]] bool contains(std::uint32_t member) const
    {
        return member < m_positions.size() && m_positions[member] != Absent;
    }

    /// Reserves memory for members below @p count, so that later steps do not allocate.
    void reserve(std::size_t count)
    {
        m_positions.resize(std::max(m_positions.size(), count), Absent);
        m_nodes.reserve(count);
    }

    /// Adds @p member or changes its key.
    void update(std::uint32_t member, const Key &key)
    {
        if (member >= m_positions.size()) {
            m_positions.resize(member + 1, Absent);
        }
        if (m_positions[member] == Absent) {
            m_positions[member] = static_cast<std::uint32_t>(m_nodes.size());
            m_nodes.push_back({key, member});
        } else {
            m_nodes[m_positions[member]].key = key;
        }
        siftDown(siftUp(m_positions[member]));
    }

    void erase(std::uint32_t member)
    {
        if (!contains(member)) {
            return;
        }
        const std::uint32_t hole = m_positions[member];
        const std::uint32_t last = static_cast<std::uint32_t>(m_nodes.size()) - 1;
        m_positions[member] = Absent;
        if (hole != last) {
            m_nodes[hole] = m_nodes[last];
            m_positions[m_nodes[hole].member] = hole;
        }
        m_nodes.pop_back();
        if (hole != last) {
            siftDown(siftUp(hole));
        }
    }

private:
    struct Node {
        Key key;
        std::uint32_t member;
    };
    static constexpr std::uint32_t Absent = UINT32_MAX;

    std::uint32_t siftUp(std::uint32_t at)
    {
        while (at > 0 && Before{}(m_nodes[at].key, m_nodes[(at - 1) / 2].key)) {
            swapNodes(at, (at - 1) / 2);
            at = (at - 1) / 2;
        }
        return at;
    }
    void siftDown(std::uint32_t at)
    {
        const std::uint32_t n = static_cast<std::uint32_t>(m_nodes.size());
        while (true) {
            std::uint32_t first = at;
            for (std::uint32_t child = 2 * at + 1; child <= 2 * at + 2 && child < n; ++child) {
                if (Before{}(m_nodes[child].key, m_nodes[first].key)) {
                    first = child;
                }
            }
            if (first == at) {
                return;
            }
            swapNodes(at, first);
            at = first;
        }
    }
    void swapNodes(std::uint32_t left, std::uint32_t right)
    {
        std::swap(m_nodes[left], m_nodes[right]);
        m_positions[m_nodes[left].member] = left;
        m_positions[m_nodes[right].member] = right;
    }

    std::vector<Node> m_nodes;
    std::vector<std::uint32_t> m_positions;
};

} // namespace banyankeel

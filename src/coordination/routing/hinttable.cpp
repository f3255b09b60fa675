#include "coordination/routing/hinttable.h"

#include <algorithm>
#include <bit>

namespace banyankeel
{

namespace
{
constexpr std::size_t Ways = 4;
/// A hint expires after this time.
constexpr Duration HintLifetime = std::chrono::milliseconds(400);
/// At most one probe per hint is let through in this time.
constexpr Duration ProbeInterval = std::chrono::milliseconds(100);

/// Hints lag behind, and the target's own queue decides more accurately and more fairly. Therefore a request is refused early only if its root
/// hash is far above the hinted fraction: from RefusalFactor * fraction + RefusalMargin.
constexpr double RefusalFactor = 4.0;
constexpr double RefusalMargin = 0.1;

constexpr std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 32U)) * 0xD6E8FEB86659FD93ULL;
    return value ^ (value >> 32U);
}
} // namespace

HintTable::HintTable(std::size_t entries)
    : m_entries(std::bit_ceil(std::max(entries, Ways)))
{
}

std::uint64_t HintTable::flowOf(const OrganisationId &organisation, PriorityLevel priority)
{
    return mix(std::hash<OrganisationId>{}(organisation) + static_cast<std::uint64_t>(priority) + 1);
}

std::uint64_t HintTable::keyOf(std::uint64_t target, std::uint64_t flow)
{
    // Zero marks a free entry, so a key is never zero.
    return mix(flow + target * 0x9E3779B97F4A7C15ULL) | 1U;
}

HintTable::Entry *HintTable::find(std::uint64_t key)
{
    return const_cast<Entry *>(static_cast<const HintTable *>(this)->find(key));
}

const HintTable::Entry *HintTable::find(std::uint64_t key) const
{
    const std::size_t setBegin = (key >> 8U) & (m_entries.size() - Ways);
    for (std::size_t at = setBegin - setBegin % Ways; at < setBegin - setBegin % Ways + Ways; ++at) {
        if (m_entries[at].key == key) {
            return &m_entries[at];
        }
    }
    return nullptr;
}

HintTable::Entry &HintTable::findOrInsert(std::uint64_t key)
{
    if (Entry *found = find(key)) {
        return *found;
    }
    const std::size_t setBegin = (key >> 8U) & (m_entries.size() - Ways);
    const auto begin = m_entries.begin() + static_cast<std::ptrdiff_t>(setBegin - setBegin % Ways);
    Entry &oldest = *std::min_element(begin, begin + Ways, [](const Entry &left, const Entry &right) { return left.recordedAt < right.recordedAt; });
    oldest = Entry{};
    oldest.key = key;
    return oldest;
}

void HintTable::record(std::uint64_t key, double admittedFraction, TimePoint now)
{
    if (admittedFraction >= 1 && !find(key)) {
        return;
    }
    Entry &entry = findOrInsert(key);
    entry.fraction = admittedFraction;
    entry.recordedAt = now;
}

double HintTable::admittedFraction(std::uint64_t key, TimePoint now) const
{
    const Entry *entry = find(key);
    return entry && now - entry->recordedAt <= HintLifetime ? entry->fraction : 1.0;
}

bool HintTable::isLikelyRefused(std::uint64_t key, double rootShare, TimePoint now)
{
    Entry *entry = find(key);
    if (!entry || now - entry->recordedAt > HintLifetime || rootShare < entry->fraction * RefusalFactor + RefusalMargin) {
        return false;
    }
    if (now - entry->probedAt >= ProbeInterval) {
        entry->probedAt = now;
        return false;
    }
    return true;
}

} // namespace banyankeel

#include "coordination/fleet/relayselector.h"

#include <algorithm>
#include <iterator>

namespace banyankeel
{

RelaySelector::RelaySelector(const RelaySelectorSettings &settings)
    : m_settings(settings)
{
}

bool RelaySelector::isPassedOver(const NodeId &node, TimePoint now) const
{
    const auto it = m_passedOverUntil.find(node);
    return it != m_passedOverUntil.end() && now < it->second;
}

bool RelaySelector::update(const std::vector<NodeId> &candidates, TimePoint now)
{
    if (m_current && now - m_heardAt > m_settings.silenceLimit) {
        m_passedOverUntil[*m_current] = now + m_settings.retryDelay;
    }
    std::erase_if(m_passedOverUntil, [now](const auto &it) { return now >= it.second; });
    std::vector<NodeId> usable;
    std::ranges::copy_if(candidates, std::back_inserter(usable), [&](const NodeId &it) { return !isPassedOver(it, now); });
    if (usable.empty()) {
        // One that was passed over may be back; it is better than none.
        usable = candidates;
    }
    const std::optional<NodeId> before = m_current;
    if (usable.empty()) {
        clear();
        return before.has_value();
    }
    if (!m_current || std::ranges::find(usable, *m_current) == usable.end()) {
        choose(usable.front(), now);
    } else if (*m_current == usable.front()) {
        m_betterSince.reset();
    } else if (!m_betterSince) {
        m_betterSince = now;
    } else if (now - *m_betterSince >= m_settings.returnDelay) {
        choose(usable.front(), now);
    }
    m_reported.assign(usable.begin(), usable.begin() + static_cast<std::ptrdiff_t>(std::min(usable.size(), ReportedRelays)));
    if (std::ranges::find(m_reported, *m_current) == m_reported.end()) {
        m_reported.push_back(*m_current);
    }
    return before != m_current;
}

void RelaySelector::choose(const NodeId &node, TimePoint now)
{
    m_current = node;
    m_heardAt = now;
    m_betterSince.reset();
}

void RelaySelector::recordBatch(const NodeId &relay, TimePoint now)
{
    if (m_current == relay) {
        m_heardAt = now;
    }
}

void RelaySelector::recordLoss(const NodeId &node, TimePoint now)
{
    m_passedOverUntil[node] = now + m_settings.retryDelay;
}

void RelaySelector::clear()
{
    m_current.reset();
    m_reported.clear();
    m_betterSince.reset();
}

} // namespace banyankeel

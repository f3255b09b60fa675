#include "coordination/targetlife/departurelist.h"

#include "protocol/targetcodec.h"

#include <algorithm>

namespace banyankeel
{

bool DepartureList::add(const TargetDeparture &departure)
{
    const auto known = std::ranges::find(m_departures, departure.name, &TargetDeparture::name);
    if (known != m_departures.end()) {
        if (known->startedUntil >= departure.startedUntil) {
            return false;
        }
        m_departures.erase(known);
    }
    m_departures.push_back(departure);
    sort();
    if (m_departures.size() > MaxDepartures) {
        // Not the new one, wherever it stands: its target still runs.
        m_departures.erase(std::ranges::find_if(m_departures, [&departure](const TargetDeparture &it) { return it.name != departure.name; }));
    }
    return true;
}

void DepartureList::merge(const std::vector<TargetDeparture> &departures)
{
    // Keeps the order of the other process where start times don't give one. Its oldest ones, which may have been dropped here, must not push out the latest.
    std::size_t position = 0;
    for (const TargetDeparture &it : departures) {
        const auto known = std::ranges::find(m_departures, it.name, &TargetDeparture::name);
        if (known != m_departures.end()) {
            known->startedUntil = std::max(known->startedUntil, it.startedUntil);
            position = static_cast<std::size_t>(known - m_departures.begin()) + 1;
        } else {
            m_departures.insert(m_departures.begin() + static_cast<std::ptrdiff_t>(position), it);
            ++position;
        }
    }
    sort();
    const std::size_t excess = m_departures.size() - std::min(m_departures.size(), MaxDepartures);
    m_departures.erase(m_departures.begin(), m_departures.begin() + static_cast<std::ptrdiff_t>(excess));
}

// A host runs one boot at a time, so that the one that started last is the one that may still run. Those without a start time stay in their order.
void DepartureList::sort()
{
    std::ranges::stable_sort(m_departures, {}, &TargetDeparture::startedUntil);
}

} // namespace banyankeel

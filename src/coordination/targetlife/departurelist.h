#pragma once

// The last departures of the target of one host, as its node and each of that node's peers keep them.
//
//   DepartureList departures;
//   departures.add({boot.name, startedUntil});
//   departures.merge(report.receiverDepartures);

#include "protocol/nodereport.h"

#include <vector>

namespace banyankeel
{

/// At most MaxDepartures, the latest ones. Not thread-safe.
class DepartureList
{
public:
    /// Adds a departure that has just been announced. Returns false if it was known.
    bool add(const TargetDeparture &departure);
    /// Adds what another process knows, oldest first.
    void merge(const std::vector<TargetDeparture> &departures);

    /// Oldest first.
    [[nodiscard]] const std::vector<TargetDeparture> &all() const
    {
        return m_departures;
    }

private:
    void sort();

    std::vector<TargetDeparture> m_departures;
};

} // namespace banyankeel

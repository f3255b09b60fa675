#pragma once

// A list of a few nodes of each failure domain in the store, through which nodes that know no others join the fleet. It is read at the start and
// rarely afterwards, and written only if entries are missing or an entry's node is gone.
//
//   Roster roster({.self = peer}, random);
//   roster.tick(table, now, out);
//   for (const Endpoint &endpoint : roster.endpoints()) ...

#include "coordination/common/outbox.h"
#include "coordination/common/random.h"
#include "coordination/membership/membertable.h"
#include "protocol/storemessages.h"
#include "state/peer.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace banyankeel
{

struct RosterSettings {
    Peer self;
    /// Number of entries of each failure domain.
    std::size_t entries = 4;
    /// How often the nodes that may have to write an entry read the roster.
    Duration checkInterval = std::chrono::minutes(5);
    /// How often a node reads the roster while it knows no other nodes.
    Duration retryInterval = std::chrono::seconds(2);
};

/// Not thread-safe.
class Roster
{
public:
    Roster(RosterSettings settings, RandomSource random);

    /// Reads the roster if due: at the start, while the node knows no others, and rarely if it is among the first of its failure domain.
    void tick(const MemberTable &table, TimePoint now, Outbox &out);
    void storeReplied(StoreTicket ticket, const StoreReply &reply, const MemberTable &table, TimePoint now, Outbox &out);

    /// The addresses from the last read, without this node's.
    [[nodiscard]] const std::vector<Endpoint> &endpoints() const
    {
        return m_endpoints;
    }

private:
    void read(TimePoint now, Outbox &out);
    void processRows(const RowsRead &reply, const MemberTable &table, Outbox &out);
    [[nodiscard]] bool mayWrite(const MemberTable &table) const;
    [[nodiscard]] std::string prefix() const;
    [[nodiscard]] RowKey ownKey() const;

    RosterSettings m_settings;
    RandomSource m_random;
    TimePoint m_nextRead;
    bool m_isReading = false;
    bool m_hasRead = false;
    bool m_mayWriteAfterRead = false;
    std::uint64_t m_ticket = 0;
    std::vector<Endpoint> m_endpoints;
};

} // namespace banyankeel

#pragma once

// A small stand-in for the platform's table service and object store, in memory.
//
//   MemoryStore store;
//   StoreReply reply = store.apply(WriteRows{...});

#include "protocol/storemessages.h"

#include <cstdint>
#include <map>

namespace banyankeel::testing
{

/// What a store was asked for so far.
struct StoreUsage {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;

    friend auto operator<=>(const StoreUsage &, const StoreUsage &) = default;
};

/// Applies requests at once and always succeeds; outages belong to whoever drives it. Not thread-safe.
class MemoryStore
{
public:
    /// The reply of a store that is up. Transactions are atomic.
    StoreReply apply(const StoreRequest &request);

    [[nodiscard]] StoreUsage usage() const
    {
        return m_usage;
    }

private:
    struct Cell {
        std::string value;
        RowVersion version;
    };

    StoreReply read(const ReadRows &request);
    StoreReply list(const ListRows &request);
    StoreReply write(const WriteRows &request);
    [[nodiscard]] RowVersion versionOf(const RowKey &key) const;
    void applyWrite(const RowWrite &write);

    std::map<RowKey, Cell> m_rows;
    // A removed row's version is kept, so that a row made anew does not repeat a version.
    std::map<RowKey, RowVersion> m_lastVersions;
    std::map<std::string, std::string> m_objects;
    StoreUsage m_usage;
};

} // namespace banyankeel::testing

#pragma once

// What reached a target stand-in, and what it ran of that.
//
//   ExecutionLog log;
//   ExecutionNumber number = log.arrived(request, wallTime);
//   log.changed(number, ExecutionState::Running);
//   std::string lines = log.lines(std::nullopt);

#include "protocol/httpmessage.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace banyankeel
{

/// Counts what arrived, from 1.
enum class ExecutionNumber : std::uint64_t {};

enum class ExecutionState {
    Waiting,
    Running,
    Ended,
    /// Never ran: no place in the queue.
    Refused,
    /// Never ran: its deadline passed while it waited.
    Expired,
};

/// How many requests arrived, began and ended so far.
struct ExecutionCounts {
    std::uint64_t arrived = 0;
    std::uint64_t began = 0;
    std::uint64_t ended = 0;

    friend auto operator<=>(const ExecutionCounts &, const ExecutionCounts &) = default;
};

/// Keeps the latest MaxEntries requests with all their headers. Thread-safe.
class ExecutionLog
{
public:
    static constexpr std::size_t MaxEntries = 100'000;

    ExecutionNumber arrived(const HttpRequest &request, WallTime now);
    void changed(ExecutionNumber number, ExecutionState state);

    /// One line of key=value pairs for each request kept, or for those of the root request @p request only.
    [[nodiscard]] std::string lines(std::optional<std::string_view> request) const;
    [[nodiscard]] ExecutionCounts counts() const;

private:
    struct Entry {
        ExecutionNumber number;
        WallTime arrived;
        ExecutionState state;
        HttpRequest request;
        std::uint64_t bodyHash;
        std::size_t bodyBytes;
    };

    static std::string lineOf(const Entry &entry);

    mutable std::mutex m_mutex;
    std::deque<Entry> m_entries;
    ExecutionCounts m_counts;
};

} // namespace banyankeel

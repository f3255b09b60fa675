#pragma once

// Call contexts of the requests running at this node's target, keyed by the opaque token that the target receives instead of the API key.
//
//   std::string token = contexts.open(context, deadline);
//   std::optional<CallContext> child = contexts.child(token, now);   // for a downstream call of the target
//   contexts.close(token);

#include "protocol/callmessages.h"
#include "state/callcontext.h"
#include "state/time.h"

#include <compare>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace banyankeel
{

/// Totals over the downstream calls that one request has made so far.
struct DownstreamUsage {
    /// Retries that they spent of the retry budget.
    std::uint16_t retriesSpent = 0;
    /// Time the target spent waiting for them; concurrent calls are each counted in full.
    Duration waitTime{0};
    /// Whether any of them was rejected because of overload.
    bool wasOverloaded = false;
    /// Load hint of the most heavily loaded service that they reached.
    std::optional<AdmissionHint> hint = std::nullopt;

    friend auto operator<=>(const DownstreamUsage &, const DownstreamUsage &) = default;
};

/// Thread-safe. Tokens are unguessable and become invalid when their request ends.
class ContextTable
{
public:
    /// Returns the token for a request that ends at @p deadline at the latest.
    std::string open(const CallContext &context, TimePoint deadline);
    void close(std::string_view token);

    /// Returns the context for a downstream call: one level deeper, with the remaining time and retry budget.
    /// Returns nullopt if the token is invalid or the deadline has passed.
    [[nodiscard]] std::optional<CallContext> child(std::string_view token, TimePoint now) const;

    /// Reserves up to @p retries of the remaining budget for a downstream call and returns the number reserved.
    std::uint16_t reserve(std::string_view token, std::uint16_t retries);
    /// Releases @p reserved retries of a completed downstream call and adds its @p usage. Does nothing if the token is no longer valid.
    void recordEnd(std::string_view token, std::uint16_t reserved, const DownstreamUsage &usage);
    /// Returns the totals over all downstream calls completed since open().
    [[nodiscard]] DownstreamUsage usage(std::string_view token) const;

    [[nodiscard]] std::size_t size() const;

private:
    struct Entry {
        CallContext context;
        TimePoint deadline;
        std::uint16_t reserved = 0;
        DownstreamUsage usage;
    };

    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace banyankeel

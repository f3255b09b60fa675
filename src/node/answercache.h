#pragma once

// Caches the responses to non-idempotent requests, so that a repeat of a request gets the response of its first execution.

#include "protocol/httpmessage.h"
#include "state/requestid.h"

#include <cstddef>
#include <list>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace banyankeel
{

/// Bounded by size; evicts the oldest answers first. Thread-safe.
class AnswerCache
{
public:
    /// @param maxBytes limit on the total size of the cached answers.
    explicit AnswerCache(std::size_t maxBytes);

    /// Ignores an answer larger than one eighth of the cache.
    void put(const RequestId &claim, const HttpResponse &answer);
    [[nodiscard]] std::optional<HttpResponse> find(const RequestId &claim) const;

private:
    struct Entry {
        RequestId claim;
        HttpResponse answer;
        std::size_t bytes;
    };
    using Entries = std::list<Entry>;

    const std::size_t m_maxBytes;
    mutable std::mutex m_mutex;
    std::size_t m_bytes = 0;
    Entries m_entries;
    std::unordered_map<RequestId, Entries::iterator> m_byClaim;
};

} // namespace banyankeel

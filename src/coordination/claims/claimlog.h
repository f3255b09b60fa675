#pragma once

// The claims of one shard: persisted as log rows in the store table "claims" and indexed in memory by the shard's holder.
//
//   ClaimLog log;
//   log.append(sequence, version, ClaimLogRow::decode(value));
//   if (const ClaimantId *claimant = log.find(request)) ...

#include "protocol/claimmessages.h"
#include "protocol/storemessages.h"
#include "state/peer.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace banyankeel
{

/// A 64-bit hash that identifies a ticket of a node incarnation.
enum class ClaimantId : std::uint64_t {};

ClaimantId claimantId(const NodeId &node, Incarnation incarnation, ClaimTicket ticket);

/// One record of a log row: a claim, or its withdrawal if the claimant abandoned it without executing the request.
struct ClaimRecord {
    RequestId request;
    ClaimantId claimant;
    bool isAbandoned;

    friend auto operator<=>(const ClaimRecord &, const ClaimRecord &) = default;
};

/// One row of the claim log. Immutable after construction.
struct ClaimLogRow {
    WallTime written;
    std::vector<ClaimRecord> records;

    [[nodiscard]] std::string encode() const;
    /// @throws ProtocolError on malformed bytes.
    static ClaimLogRow decode(std::string_view bytes);

    friend auto operator<=>(const ClaimLogRow &, const ClaimLogRow &) = default;
};

/// An in-memory index of the claims in a shard's log rows. A lookup costs one hash lookup. Not thread-safe.
class ClaimLog
{
public:
    /// Appends the row @p sequence, stored with @p version. @p sequence must be greater than those of all rows added before.
    void append(std::uint64_t sequence, RowVersion version, const ClaimLogRow &row);
    /// The store version of the row @p sequence, which must exist.
    [[nodiscard]] RowVersion versionOf(std::uint64_t sequence) const;
    /// The claimant of @p request, or null.
    [[nodiscard]] const ClaimantId *find(const RequestId &request) const;
    /// Removes the rows in @p sequences (sorted) and their claims.
    void drop(const std::vector<std::uint64_t> &sequences);
    /// The oldest rows written before @p time, at most @p limit of them.
    [[nodiscard]] std::vector<std::uint64_t> rowsWrittenBefore(WallTime time, std::size_t limit) const;
    /// The first run of @p count adjacent rows with at most @p batchSize records in total; empty if there is none.
    [[nodiscard]] std::vector<std::uint64_t> findMergeableRows(std::size_t count, std::size_t batchSize) const;
    /// Combines the live claims of the rows in @p sequences (sorted) into one row.
    [[nodiscard]] ClaimLogRow merged(const std::vector<std::uint64_t> &sequences) const;
    /// Replaces the rows in @p sequences (sorted) by @p row, stored under the first of these sequences.
    void replace(const std::vector<std::uint64_t> &sequences, const ClaimLogRow &row);

    [[nodiscard]] std::size_t size() const
    {
        return m_claims.size();
    }
    [[nodiscard]] std::size_t rowCount() const
    {
        return m_rows.size();
    }

private:
    struct Claim {
        ClaimantId claimant;
        std::uint64_t sequence;
    };
    struct LogRow {
        std::uint64_t sequence;
        RowVersion version;
        WallTime written;
        std::vector<RequestId> requests;
    };

    void add(LogRow &row, const ClaimRecord &record);

    std::unordered_map<RequestId, Claim> m_claims;
    std::deque<LogRow> m_rows;
};

} // namespace banyankeel

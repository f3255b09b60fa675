#include "coordination/claims/claimlog.h"

#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"

#include <xxhash.h>

#include <algorithm>

namespace banyankeel
{

namespace
{
constexpr std::size_t MaxRecordsPerRow = 8192;
}

ClaimantId claimantId(const NodeId &node, Incarnation incarnation, ClaimTicket ticket)
{
    const std::uint64_t numbers[] = {static_cast<std::uint64_t>(incarnation), static_cast<std::uint64_t>(ticket)};
    const XXH64_hash_t seed = XXH3_64bits(node.text().data(), node.text().size());
    return static_cast<ClaimantId>(XXH3_64bits_withSeed(numbers, sizeof(numbers), seed));
}

std::string ClaimLogRow::encode() const
{
    WireWriter writer;
    writer.compactNumber(static_cast<std::uint64_t>(written.time_since_epoch().count()));
    writer.count(records.size());
    for (const ClaimRecord &it : records) {
        writer.number(it.request.high());
        writer.number(it.request.low());
        writer.number(static_cast<std::uint64_t>(it.claimant));
        writer.flag(it.isAbandoned);
    }
    return writer.take();
}

ClaimLogRow ClaimLogRow::decode(std::string_view bytes)
{
    WireReader reader(bytes, "claim log row");
    ClaimLogRow row{WallTime(std::chrono::microseconds(reader.number("written"))), {}};
    const std::size_t n = reader.count("records", MaxRecordsPerRow);
    row.records.reserve(n);
    for (std::size_t i = 0; i < n; ++i) {
        const std::uint64_t high = reader.number("request");
        const std::uint64_t low = reader.number("request");
        const auto claimant = static_cast<ClaimantId>(reader.number("claimant"));
        const bool isAbandoned = reader.flag("abandoned");
        row.records.push_back({RequestId(high, low), claimant, isAbandoned});
    }
    reader.finish();
    return row;
}

void ClaimLog::append(std::uint64_t sequence, RowVersion version, const ClaimLogRow &row)
{
    LogRow &added = m_rows.emplace_back(LogRow{sequence, version, row.written, {}});
    added.requests.reserve(row.records.size());
    for (const ClaimRecord &it : row.records) {
        add(added, it);
    }
}

RowVersion ClaimLog::versionOf(std::uint64_t sequence) const
{
    return std::find_if(m_rows.begin(), m_rows.end(), [&](const LogRow &it) { return it.sequence == sequence; })->version;
}

void ClaimLog::add(LogRow &row, const ClaimRecord &record)
{
    const auto it = m_claims.find(record.request);
    if (record.isAbandoned) {
        if (it != m_claims.end() && it->second.claimant == record.claimant) {
            m_claims.erase(it);
        }
        return;
    }
    if (it == m_claims.end()) {
        m_claims.emplace(record.request, Claim{record.claimant, row.sequence});
        row.requests.push_back(record.request);
    }
}

const ClaimantId *ClaimLog::find(const RequestId &request) const
{
    const auto it = m_claims.find(request);
    return it == m_claims.end() ? nullptr : &it->second.claimant;
}

void ClaimLog::drop(const std::vector<std::uint64_t> &sequences)
{
    for (const LogRow &row : m_rows) {
        if (!std::binary_search(sequences.begin(), sequences.end(), row.sequence)) {
            continue;
        }
        for (const RequestId &request : row.requests) {
            const auto it = m_claims.find(request);
            if (it != m_claims.end() && it->second.sequence == row.sequence) {
                m_claims.erase(it);
            }
        }
    }
    std::erase_if(m_rows, [&](const LogRow &row) { return std::binary_search(sequences.begin(), sequences.end(), row.sequence); });
}

std::vector<std::uint64_t> ClaimLog::rowsWrittenBefore(WallTime time, std::size_t limit) const
{
    std::vector<std::uint64_t> found;
    for (const LogRow &row : m_rows) {
        if (row.written >= time || found.size() >= limit) {
            break;
        }
        found.push_back(row.sequence);
    }
    return found;
}

std::vector<std::uint64_t> ClaimLog::findMergeableRows(std::size_t count, std::size_t batchSize) const
{
    std::vector<std::uint64_t> run;
    std::size_t records = 0;
    for (const LogRow &row : m_rows) {
        // Rows with at least half a batch of records are not merged.
        if (row.requests.size() >= batchSize / 2 || records + row.requests.size() > batchSize) {
            run.clear();
            records = 0;
            continue;
        }
        run.push_back(row.sequence);
        records += row.requests.size();
        if (run.size() == count) {
            return run;
        }
    }
    return {};
}

ClaimLogRow ClaimLog::merged(const std::vector<std::uint64_t> &sequences) const
{
    ClaimLogRow result{WallTime::min(), {}};
    for (const LogRow &row : m_rows) {
        if (!std::binary_search(sequences.begin(), sequences.end(), row.sequence)) {
            continue;
        }
        result.written = std::max(result.written, row.written);
        for (const RequestId &request : row.requests) {
            const auto it = m_claims.find(request);
            if (it != m_claims.end() && it->second.sequence == row.sequence) {
                result.records.push_back({request, it->second.claimant, false});
            }
        }
    }
    return result;
}

void ClaimLog::replace(const std::vector<std::uint64_t> &sequences, const ClaimLogRow &row)
{
    drop(std::vector<std::uint64_t>(sequences.begin() + 1, sequences.end()));
    const auto first = std::find_if(m_rows.begin(), m_rows.end(), [&](const LogRow &it) { return it.sequence == sequences.front(); });
    first->written = row.written;
    ++first->version;
    first->requests.clear();
    for (const ClaimRecord &it : row.records) {
        m_claims[it.request] = {it.claimant, first->sequence};
        first->requests.push_back(it.request);
    }
}

} // namespace banyankeel

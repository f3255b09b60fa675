#pragma once

// Storage layout of accepted revisions in the platform's table service. The table "configuration" has a row "head", one row per recent
// change, and a row "snapshot", which names the object that holds a complete configuration set.
//
//   ReadRows read{.keys = {headKey(), snapshotKey()}};
//   HeadRow head = HeadRow::decode(row.value);

#include "protocol/setdigest.h"
#include "protocol/storemessages.h"
#include "state/configurationset.h"
#include "state/identifier.h"
#include "state/time.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace banyankeel
{

/// The newest accepted revision. Updated by compare-and-set only.
struct HeadRow {
    Revision revision;
    SetDigest digest;

    [[nodiscard]] std::string encode() const;
    /// @throws ProtocolError if @p value is malformed, like all decoders in this header.
    static HeadRow decode(std::string_view value);

    friend auto operator<=>(const HeadRow &, const HeadRow &) = default;
};

/// The change made by one publish. Written in the same transaction as the head row.
struct ChangeRow {
    Revision revision;
    OperationId operation;
    /// Who published the change; shown in the history.
    std::string author;
    WallTime time;
    /// Digest of the set after the change.
    SetDigest digest;
    ConfigurationChange change;

    [[nodiscard]] std::string encode() const;
    static ChangeRow decode(std::string_view value);

    friend bool operator==(const ChangeRow &, const ChangeRow &) = default;
};

/// The object in the object store that holds the complete set of a revision.
struct SnapshotRow {
    Revision revision;
    std::string object;

    [[nodiscard]] std::string encode() const;
    static SnapshotRow decode(std::string_view value);

    friend auto operator<=>(const SnapshotRow &, const SnapshotRow &) = default;
};

inline constexpr std::string_view ConfigurationTable = "configuration";
inline constexpr std::string_view ChangePrefix = "change/";

RowKey headKey();
RowKey snapshotKey();
/// Change keys sort by revision.
RowKey changeKey(Revision revision);

/// Builds the request for up to @p limit changes after @p revision, oldest first.
ListRows historyRequest(Revision revision, std::uint32_t limit);
/// Decodes the change rows in the reply to historyRequest().
std::vector<ChangeRow> decodeHistory(const RowsRead &reply);

/// Encodes the content of a snapshot object.
std::string encodeSnapshot(const ConfigurationSet &set, const SetDigest &digest);
/// @throws ProtocolError if @p bytes are malformed or the objects don't match the stored digest.
ConfigurationSet decodeSnapshot(const std::string &bytes);

} // namespace banyankeel

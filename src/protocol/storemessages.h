#pragma once

// Requests to the platform's table service and object store, and their replies.
// Every row has a version that increases with each write; version 0 denotes an absent row.

#include "state/verdict.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace banyankeel
{

using RowVersion = std::uint64_t;

struct RowKey {
    std::string table;
    std::string key;

    friend auto operator<=>(const RowKey &, const RowKey &) = default;
};

/// A row as read from the store.
struct Row {
    RowKey key;
    std::string value;
    RowVersion version;

    friend auto operator<=>(const Row &, const Row &) = default;
};

enum class RowAction : std::uint8_t {
    Put,
    Remove,
    /// Checks the version without writing.
    Check,
};

/// One operation of a transaction.
struct RowWrite {
    RowKey key;
    RowAction action;
    /// The transaction fails unless the row has this version. Absent: any version is accepted. 0: the row must not exist.
    std::optional<RowVersion> expected;
    std::string value;

    friend auto operator<=>(const RowWrite &, const RowWrite &) = default;
};

/// Reads rows by key. Costs one read each.
struct ReadRows {
    std::vector<RowKey> keys;

    friend auto operator<=>(const ReadRows &, const ReadRows &) = default;
};

/// Reads up to @p limit rows of a table whose keys start with @p prefix and are greater than @p after, ordered by key. Costs one read.
struct ListRows {
    std::string table;
    std::string prefix;
    std::string after;
    std::uint32_t limit;

    friend auto operator<=>(const ListRows &, const ListRows &) = default;
};

/// A transaction: all writes take effect or none. Costs one write for each Put and Remove.
struct WriteRows {
    std::vector<RowWrite> writes;

    friend auto operator<=>(const WriteRows &, const WriteRows &) = default;
};

struct PutObject {
    std::string name;
    std::string bytes;

    friend auto operator<=>(const PutObject &, const PutObject &) = default;
};

struct GetObject {
    std::string name;

    friend auto operator<=>(const GetObject &, const GetObject &) = default;
};

using StoreRequest = std::variant<ReadRows, ListRows, WriteRows, PutObject, GetObject>;

/// Answers ReadRows and ListRows; absent rows are omitted.
struct RowsRead {
    std::vector<Row> rows;
    /// Newest version in the store when the rows were read, from which FollowRows can continue; 0 if the store does not report it.
    RowVersion newest = 0;

    friend auto operator<=>(const RowsRead &, const RowsRead &) = default;
};

/// Answers a WriteRows that took effect.
struct RowsWritten {
    friend auto operator<=>(const RowsWritten &, const RowsWritten &) = default;
};

/// Answers a WriteRows that did not take effect because these rows did not have the expected versions.
struct WriteConflict {
    std::vector<RowKey> rows;

    friend auto operator<=>(const WriteConflict &, const WriteConflict &) = default;
};

struct ObjectPut {
    friend auto operator<=>(const ObjectPut &, const ObjectPut &) = default;
};

struct ObjectRead {
    std::optional<std::string> bytes;

    friend auto operator<=>(const ObjectRead &, const ObjectRead &) = default;
};

/// The store did not answer or returned an error. MayHaveRun: a write may have taken effect or may still do so later.
struct StoreFailure {
    RunState runState;
    std::string detail;

    friend auto operator<=>(const StoreFailure &, const StoreFailure &) = default;
};

using StoreReply = std::variant<RowsRead, RowsWritten, WriteConflict, ObjectPut, ObjectRead, StoreFailure>;

} // namespace banyankeel

#include "protocol/storecodec.h"

#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

#include <limits>

namespace banyankeel
{

namespace
{
constexpr std::size_t MaxRows = 100'000;

void write(WireWriter &writer, const RowKey &key)
{
    writer.text(key.table);
    writer.bytes(key.key);
}

RowKey readRowKey(WireReader &reader)
{
    std::string table = reader.text("table");
    std::string key = reader.bytes("key");
    return {std::move(table), std::move(key)};
}

void write(WireWriter &writer, const std::vector<RowKey> &keys)
{
    writer.count(keys.size());
    for (const RowKey &key : keys) {
        write(writer, key);
    }
}

std::vector<RowKey> readRowKeys(WireReader &reader)
{
    std::vector<RowKey> keys;
    const std::size_t n = reader.count("keys", MaxRows);
    for (std::size_t i = 0; i < n; ++i) {
        keys.push_back(readRowKey(reader));
    }
    return keys;
}

void write(WireWriter &writer, const RowWrite &rowWrite)
{
    write(writer, rowWrite.key);
    writer.compactNumber(static_cast<std::uint64_t>(rowWrite.action));
    if (rowWrite.expected) {
        writer.compactNumber(*rowWrite.expected);
    } else {
        writer.absent();
    }
    writer.bytes(rowWrite.value);
}

RowWrite readRowWrite(WireReader &reader)
{
    RowKey key = readRowKey(reader);
    const auto action = static_cast<RowAction>(reader.number("action", static_cast<std::uint64_t>(RowAction::Check)));
    std::optional<RowVersion> expected;
    if (!reader.absent()) {
        expected = reader.number("expected version");
    }
    std::string value = reader.bytes("value");
    return {std::move(key), action, expected, std::move(value)};
}

void write(WireWriter &writer, const ReadRows &request)
{
    write(writer, request.keys);
}

void write(WireWriter &writer, const ListRows &request)
{
    writer.text(request.table);
    writer.bytes(request.prefix);
    writer.bytes(request.after);
    writer.compactNumber(request.limit);
}

void write(WireWriter &writer, const WriteRows &request)
{
    writer.count(request.writes.size());
    for (const RowWrite &it : request.writes) {
        write(writer, it);
    }
}

void write(WireWriter &writer, const PutObject &request)
{
    writer.text(request.name);
    writer.bytes(request.bytes);
}

void write(WireWriter &writer, const GetObject &request)
{
    writer.text(request.name);
}

void write(WireWriter &writer, const RowsRead &reply)
{
    writer.count(reply.rows.size());
    for (const Row &row : reply.rows) {
        write(writer, row.key);
        writer.bytes(row.value);
        writer.compactNumber(row.version);
    }
}

void write(WireWriter & /*writer*/, const RowsWritten & /*reply*/)
{
}

void write(WireWriter &writer, const WriteConflict &reply)
{
    write(writer, reply.rows);
}

void write(WireWriter & /*writer*/, const ObjectPut & /*reply*/)
{
}

void write(WireWriter &writer, const ObjectRead &reply)
{
    if (reply.bytes) {
        writer.bytes(*reply.bytes);
    } else {
        writer.absent();
    }
}

void write(WireWriter &writer, const StoreFailure &reply)
{
    writer.compactNumber(static_cast<std::uint64_t>(reply.runState));
    writer.text(reply.detail);
}

// The index of the alternative is written first, so the order of alternatives in the variant is part of the protocol.
template<typename Variant>
std::string encode(const Variant &message)
{
    WireWriter writer;
    writer.compactNumber(message.index());
    std::visit([&writer](const auto &it) { write(writer, it); }, message);
    return writer.take();
}

ReadRows readReadRows(WireReader &reader)
{
    return {readRowKeys(reader)};
}

ListRows readListRows(WireReader &reader)
{
    std::string table = reader.text("table");
    std::string prefix = reader.bytes("prefix");
    std::string after = reader.bytes("after");
    const auto limit = static_cast<std::uint32_t>(reader.number("limit", std::numeric_limits<std::uint32_t>::max()));
    return {std::move(table), std::move(prefix), std::move(after), limit};
}

WriteRows readWriteRows(WireReader &reader)
{
    WriteRows request;
    const std::size_t n = reader.count("writes", MaxRows);
    for (std::size_t i = 0; i < n; ++i) {
        request.writes.push_back(readRowWrite(reader));
    }
    return request;
}

PutObject readPutObject(WireReader &reader)
{
    std::string name = reader.text("name");
    std::string bytes = reader.bytes("bytes");
    return {std::move(name), std::move(bytes)};
}

StoreRequest readRequest(WireReader &reader)
{
    switch (reader.number("request kind", std::variant_size_v<StoreRequest> - 1)) {
    case 0:
        return readReadRows(reader);
    case 1:
        return readListRows(reader);
    case 2:
        return readWriteRows(reader);
    case 3:
        return readPutObject(reader);
    default:
        return GetObject{reader.text("name")};
    }
}

RowsRead readRowsRead(WireReader &reader)
{
    RowsRead reply;
    const std::size_t n = reader.count("rows", MaxRows);
    for (std::size_t i = 0; i < n; ++i) {
        RowKey key = readRowKey(reader);
        std::string value = reader.bytes("value");
        const RowVersion version = reader.number("version");
        reply.rows.push_back({std::move(key), std::move(value), version});
    }
    return reply;
}

ObjectRead readObjectRead(WireReader &reader)
{
    if (reader.absent()) {
        return {std::nullopt};
    }
    return {reader.bytes("bytes")};
}

StoreFailure readStoreFailure(WireReader &reader)
{
    const auto runState = static_cast<RunState>(reader.number("run state", static_cast<std::uint64_t>(RunState::Ran)));
    return {runState, reader.text("detail")};
}

StoreReply readReply(WireReader &reader)
{
    switch (reader.number("reply kind", std::variant_size_v<StoreReply> - 1)) {
    case 0:
        return readRowsRead(reader);
    case 1:
        return RowsWritten{};
    case 2:
        return WriteConflict{readRowKeys(reader)};
    case 3:
        return ObjectPut{};
    case 4:
        return readObjectRead(reader);
    default:
        return readStoreFailure(reader);
    }
}
} // namespace

std::string encodeStoreRequest(const StoreRequest &request)
{
    return encode(request);
}

StoreRequest decodeStoreRequest(std::string_view bytes)
{
    WireReader reader(bytes, "store request");
    StoreRequest request = readRequest(reader);
    reader.finish();
    return request;
}

std::string encodeStoreReply(const StoreReply &reply)
{
    return encode(reply);
}

StoreReply decodeStoreReply(std::string_view bytes)
{
    WireReader reader(bytes, "store reply");
    StoreReply reply = readReply(reader);
    reader.finish();
    return reply;
}

} // namespace banyankeel

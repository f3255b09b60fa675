#include "testing/memorystore.h"

namespace banyankeel::testing
{

StoreReply MemoryStore::apply(const StoreRequest &request)
{
    if (const auto *it = std::get_if<ReadRows>(&request)) {
        return read(*it);
    }
    if (const auto *it = std::get_if<ListRows>(&request)) {
        return list(*it);
    }
    if (const auto *it = std::get_if<WriteRows>(&request)) {
        return write(*it);
    }
    if (const auto *it = std::get_if<PutObject>(&request)) {
        ++m_usage.writes;
        m_objects[it->name] = it->bytes;
        return ObjectPut{};
    }
    ++m_usage.reads;
    const auto &get = std::get<GetObject>(request);
    const auto found = m_objects.find(get.name);
    return ObjectRead{found == m_objects.end() ? std::nullopt : std::optional(found->second)};
}

StoreReply MemoryStore::read(const ReadRows &request)
{
    RowsRead reply;
    m_usage.reads += request.keys.size();
    for (const RowKey &key : request.keys) {
        const auto it = m_rows.find(key);
        if (it != m_rows.end()) {
            reply.rows.push_back({key, it->second.value, it->second.version});
        }
    }
    return reply;
}

StoreReply MemoryStore::list(const ListRows &request)
{
    ++m_usage.reads;
    RowsRead reply;
    const std::string from = std::max(request.prefix, request.after);
    for (auto it = m_rows.lower_bound({request.table, from}); it != m_rows.end(); ++it) {
        const auto &[key, cell] = *it;
        if (key.table != request.table || key.key.compare(0, request.prefix.size(), request.prefix) != 0 || reply.rows.size() >= request.limit) {
            break;
        }
        if (key.key > request.after) {
            reply.rows.push_back({key, cell.value, cell.version});
        }
    }
    return reply;
}

StoreReply MemoryStore::write(const WriteRows &request)
{
    WriteConflict conflict;
    for (const RowWrite &write : request.writes) {
        if (write.expected && *write.expected != versionOf(write.key)) {
            conflict.rows.push_back(write.key);
        }
    }
    if (!conflict.rows.empty()) {
        return conflict;
    }
    for (const RowWrite &write : request.writes) {
        applyWrite(write);
    }
    return RowsWritten{};
}

RowVersion MemoryStore::versionOf(const RowKey &key) const
{
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? 0 : it->second.version;
}

void MemoryStore::applyWrite(const RowWrite &write)
{
    if (write.action == RowAction::Check) {
        return;
    }
    ++m_usage.writes;
    if (write.action == RowAction::Remove) {
        m_rows.erase(write.key);
        return;
    }
    RowVersion &last = m_lastVersions[write.key];
    ++last;
    m_rows[write.key] = {write.value, last};
}

} // namespace banyankeel::testing

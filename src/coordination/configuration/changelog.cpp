#include "coordination/configuration/changelog.h"

#include "protocol/statecodec.h"
#include "protocol/wirewriter.h"

#include <map>

namespace banyankeel
{

namespace
{
std::size_t encodedSize(const ConfigurationChange &change)
{
    WireWriter writer;
    writeChange(writer, change);
    return writer.take().size();
}
} // namespace

ConfigurationChange mergeChanges(const std::vector<ConfigurationChange> &changes)
{
    std::map<ObjectName, const ConfigurationObject *> latest;
    for (const ConfigurationChange &change : changes) {
        for (const ObjectName &name : change.removed) {
            latest[name] = nullptr;
        }
        for (const ConfigurationObject &object : change.put) {
            latest[nameOf(object)] = &object;
        }
    }
    ConfigurationChange merged;
    for (const auto &[name, object] : latest) {
        if (object == nullptr) {
            merged.removed.push_back(name);
        } else {
            merged.put.push_back(*object);
        }
    }
    return merged;
}

ChangeLog::ChangeLog(std::size_t maxChanges, std::size_t maxBytes)
    : m_maxChanges(maxChanges)
    , m_maxBytes(maxBytes)
{
}

void ChangeLog::reset(Revision base)
{
    m_changes.clear();
    m_bytes = 0;
    m_base = base;
}

void ChangeLog::append(const ConfigurationChange &change)
{
    const std::size_t bytes = encodedSize(change);
    m_changes.push_back({change, bytes});
    m_bytes += bytes;
    while (m_changes.size() > m_maxChanges || m_bytes > m_maxBytes) {
        m_bytes -= m_changes.front().bytes;
        m_changes.pop_front();
        ++m_base;
    }
}

std::optional<std::vector<ConfigurationChange>> ChangeLog::since(Revision base) const
{
    if (base < m_base || base > lastRevision()) {
        return std::nullopt;
    }
    std::vector<ConfigurationChange> changes;
    for (std::size_t n = base - m_base; n < m_changes.size(); ++n) {
        changes.push_back(m_changes[n].change);
    }
    return changes;
}

} // namespace banyankeel

#include "tools/targetstandin/executionlog.h"

#include "protocol/headernames.h"
#include "tools/common/keyvalue.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace banyankeel
{

namespace
{
std::string_view nameOf(ExecutionState state)
{
    switch (state) {
    case ExecutionState::Waiting:
        return "waiting";
    case ExecutionState::Running:
        return "running";
    case ExecutionState::Ended:
        return "ended";
    case ExecutionState::Refused:
        return "refused";
    case ExecutionState::Expired:
        return "expired";
    }
    return "unknown";
}

std::string_view rootOf(const HttpRequest &request)
{
    return findHeader(request.headers, headers::Request).value_or("none");
}
} // namespace

ExecutionNumber ExecutionLog::arrived(const HttpRequest &request, WallTime now)
{
    // The body's hash tells whether it came whole; the body itself is not kept.
    HttpRequest kept{.method = request.method, .target = request.target, .headers = request.headers, .body = {}};
    const std::uint64_t hash = XXH3_64bits(request.body.data(), request.body.size());
    const std::lock_guard lock(m_mutex);
    const ExecutionNumber number{++m_counts.arrived};
    m_entries.push_back({number, now, ExecutionState::Waiting, std::move(kept), hash, request.body.size()});
    if (m_entries.size() > MaxEntries) {
        m_entries.pop_front();
    }
    return number;
}

void ExecutionLog::changed(ExecutionNumber number, ExecutionState state)
{
    const std::lock_guard lock(m_mutex);
    if (state == ExecutionState::Running) {
        ++m_counts.began;
    }
    if (state == ExecutionState::Ended) {
        ++m_counts.ended;
    }
    if (m_entries.empty() || number < m_entries.front().number) {
        return;
    }
    const auto index = static_cast<std::size_t>(number) - static_cast<std::size_t>(m_entries.front().number);
    m_entries[index].state = state;
}

std::string ExecutionLog::lines(std::optional<std::string_view> request) const
{
    std::string text;
    const std::lock_guard lock(m_mutex);
    for (const Entry &entry : m_entries) {
        if (!request || rootOf(entry.request) == *request) {
            text += lineOf(entry) + '\n';
        }
    }
    return text;
}

ExecutionCounts ExecutionLog::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

std::string ExecutionLog::lineOf(const Entry &entry)
{
    KeyValueLine line;
    line.add("execution", static_cast<std::uint64_t>(entry.number));
    line.add("time_us", static_cast<std::uint64_t>(entry.arrived.time_since_epoch().count()));
    line.add("state", nameOf(entry.state));
    line.add("request", rootOf(entry.request));
    line.add("method", entry.request.method);
    line.add("path", entry.request.target);
    line.add("body_bytes", std::uint64_t{entry.bodyBytes});
    line.add("body_hash", fmt::format("{:016x}", entry.bodyHash));
    for (const HttpHeader &header : entry.request.headers) {
        line.add("header." + header.name, header.value);
    }
    return line.text();
}

} // namespace banyankeel

#include "node/contexttable.h"

#include "coordination/overload/completion.h"
#include "node/securerandom.h"

#include <fmt/format.h>

#include <algorithm>

namespace banyankeel
{

namespace
{
std::uint16_t remainingBudget(const CallContext &context, const DownstreamUsage &usage, std::uint16_t reserved)
{
    const unsigned taken = static_cast<unsigned>(usage.retriesSpent) + reserved;
    return static_cast<std::uint16_t>(context.retryBudget - std::min<unsigned>(context.retryBudget, taken));
}
} // namespace

std::string ContextTable::open(const CallContext &context, TimePoint deadline)
{
    std::string token = fmt::format("{:016x}{:016x}", secureRandomNumber(), secureRandomNumber());
    const std::lock_guard lock(m_mutex);
    m_entries.emplace(token, Entry{.context = context, .deadline = deadline, .usage = {}});
    return token;
}

void ContextTable::close(std::string_view token)
{
    const std::lock_guard lock(m_mutex);
    m_entries.erase(std::string(token));
}

std::optional<CallContext> ContextTable::child(std::string_view token, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(std::string(token));
    if (it == m_entries.end() || it->second.deadline <= now) {
        return std::nullopt;
    }
    const Entry &entry = it->second;
    CallContext context = entry.context;
    context.remaining = entry.deadline - now;
    context.retryBudget = remainingBudget(entry.context, entry.usage, entry.reserved);
    ++context.depth;
    return context;
}

std::uint16_t ContextTable::reserve(std::string_view token, std::uint16_t retries)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(std::string(token));
    if (it == m_entries.end()) {
        return 0;
    }
    Entry &entry = it->second;
    const std::uint16_t granted = std::min(retries, remainingBudget(entry.context, entry.usage, entry.reserved));
    entry.reserved = static_cast<std::uint16_t>(entry.reserved + granted);
    return granted;
}

void ContextTable::recordEnd(std::string_view token, std::uint16_t reserved, const DownstreamUsage &usage)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(std::string(token));
    if (it == m_entries.end()) {
        return;
    }
    Entry &entry = it->second;
    entry.reserved = static_cast<std::uint16_t>(entry.reserved - std::min(entry.reserved, reserved));
    entry.usage.retriesSpent = static_cast<std::uint16_t>(entry.usage.retriesSpent + usage.retriesSpent);
    entry.usage.waitTime += usage.waitTime;
    entry.usage.wasOverloaded = entry.usage.wasOverloaded || usage.wasOverloaded;
    if (usage.hint) {
        entry.usage.hint = entry.usage.hint ? combinedHint(*entry.usage.hint, *usage.hint) : usage.hint;
    }
}

DownstreamUsage ContextTable::usage(std::string_view token) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(std::string(token));
    return it == m_entries.end() ? DownstreamUsage{} : it->second.usage;
}

std::size_t ContextTable::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_entries.size();
}

} // namespace banyankeel

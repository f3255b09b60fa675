#include "node/answercache.h"

namespace banyankeel
{

namespace
{
constexpr std::size_t EntryOverheadBytes = 256;

std::size_t storedBytes(const HttpResponse &answer)
{
    std::size_t n = EntryOverheadBytes + answer.body.size();
    for (const HttpHeader &header : answer.headers) {
        n += header.name.size() + header.value.size();
    }
    return n;
}
} // namespace

AnswerCache::AnswerCache(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

void AnswerCache::put(const RequestId &claim, const HttpResponse &answer)
{
    const std::size_t bytes = storedBytes(answer);
    const std::lock_guard lock(m_mutex);
    if (bytes > m_maxBytes / 8 || m_byClaim.count(claim) != 0) {
        return;
    }
    while (m_bytes + bytes > m_maxBytes) {
        const Entry &oldest = m_entries.front();
        m_bytes -= oldest.bytes;
        m_byClaim.erase(oldest.claim);
        m_entries.pop_front();
    }
    m_entries.push_back({claim, answer, bytes});
    m_byClaim.emplace(claim, std::prev(m_entries.end()));
    m_bytes += bytes;
}

std::optional<HttpResponse> AnswerCache::find(const RequestId &claim) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_byClaim.find(claim);
    if (it == m_byClaim.end()) {
        return std::nullopt;
    }
    return it->second->answer;
}

} // namespace banyankeel

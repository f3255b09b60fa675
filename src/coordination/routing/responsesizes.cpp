#include "coordination/routing/responsesizes.h"

namespace banyankeel
{

namespace
{
constexpr double SmoothingFactor = 0.1;
} // namespace

void ResponseSizes::record(RequestKind kind, std::uint64_t bytes)
{
    const auto found = m_means.find(kind);
    if (found != m_means.end()) {
        found->second += SmoothingFactor * (static_cast<double>(bytes) - found->second);
    } else if (m_means.size() < MaxKinds) {
        m_means.emplace(kind, static_cast<double>(bytes));
    }
}

std::size_t ResponseSizes::expected(RequestKind kind) const
{
    const auto found = m_means.find(kind);
    return found == m_means.end() ? 0 : static_cast<std::size_t>(found->second);
}

} // namespace banyankeel

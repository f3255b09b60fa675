#include "tools/loadcaller/expectation.h"

#include "state/errors.h"

#include <array>
#include <charconv>

namespace banyankeel
{

namespace
{
constexpr double PerCent = 100;

/// The value of @p name, or zero.
double metricOf(const LoadMetrics &metrics, const std::string &name)
{
    const auto it = metrics.find(name);
    return it == metrics.end() ? 0 : it->second;
}

// The longer ones first, so that ">=" is not taken for ">".
constexpr std::array Comparisons{">=", "<=", "==", ">", "<"};
} // namespace

Expectation::Expectation(std::string text, std::string metric, std::string comparison, double bound, bool isShare)
    : m_text(std::move(text))
    , m_metric(std::move(metric))
    , m_comparison(std::move(comparison))
    , m_bound(bound)
    , m_isShare(isShare)
{
}

Expectation Expectation::parse(std::string_view text)
{
    for (const std::string_view comparison : Comparisons) {
        const std::size_t at = text.find(comparison);
        if (at == std::string_view::npos || at == 0) {
            continue;
        }
        std::string_view number = text.substr(at + comparison.size());
        const bool isShare = number.ends_with('%');
        number.remove_suffix(isShare ? 1 : 0);
        double bound = 0;
        const char *end = number.data() + number.size();
        const auto [rest, ec] = std::from_chars(number.data(), end, bound);
        if (ec == std::errc() && rest == end) {
            return {std::string(text), std::string(text.substr(0, at)), std::string(comparison), bound, isShare};
        }
    }
    throw SettingsError("--expect: \"" + std::string(text) + "\" found, <metric><comparison><number>[%] allowed, such as ran>=95%");
}

bool Expectation::holds(const LoadMetrics &metrics) const
{
    const double value = metricOf(metrics, m_metric);
    const double bound = m_isShare ? m_bound / PerCent * metricOf(metrics, "sent") : m_bound;
    if (m_comparison == ">=") {
        return value >= bound;
    }
    if (m_comparison == "<=") {
        return value <= bound;
    }
    if (m_comparison == ">") {
        return value > bound;
    }
    if (m_comparison == "<") {
        return value < bound;
    }
    return value == bound;
}

} // namespace banyankeel

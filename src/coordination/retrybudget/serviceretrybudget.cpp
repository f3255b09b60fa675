#include "coordination/retrybudget/serviceretrybudget.h"

#include "state/errors.h"

#include <algorithm>
#include <limits>

namespace banyankeel
{

ServiceRetryBudget::ServiceRetryBudget(const ServiceRetryBudgetSettings &settings)
    : m_settings(settings)
    , m_sliceLength(settings.window / SlicesPerWindow)
{
    if (settings.ratio < 0 || settings.slack < 0) {
        throw ValueError("retry budget: fields ratio and slack must not be negative");
    }
    if (m_sliceLength <= Duration::zero()) {
        throw ValueError("retry budget: field window must be greater than 0");
    }
}

void ServiceRetryBudget::setLimits(double ratio, double slack)
{
    m_settings.ratio = ratio;
    m_settings.slack = slack;
}

ServiceRetryBudget::Slice &ServiceRetryBudget::currentSlice()
{
    return m_slices[static_cast<std::size_t>(m_currentSlice % Slices)];
}

void ServiceRetryBudget::advance(TimePoint now)
{
    const std::int64_t slice = now.time_since_epoch() / m_sliceLength;
    const std::int64_t steps = std::min(slice - m_currentSlice, Slices);
    for (std::int64_t n = 0; n < steps; ++n) {
        m_slices[static_cast<std::size_t>((slice - n) % Slices)] = Slice{};
    }
    m_currentSlice = std::max(m_currentSlice, slice);
}

void ServiceRetryBudget::recordRequest(TimePoint now, double retryProbability)
{
    advance(now);
    currentSlice().requests += 1 - retryProbability;
    currentSlice().retries += retryProbability;
}

std::array<ServiceRetryBudget::Slice, ServiceRetryBudget::Slices + 1> ServiceRetryBudget::prefixSums() const
{
    std::array<Slice, Slices + 1> found{};
    for (std::int64_t n = 0; n < Slices; ++n) {
        const Slice &it = m_slices[static_cast<std::size_t>((m_currentSlice + 1 + n) % Slices)];
        const Slice &before = found[static_cast<std::size_t>(n)];
        found[static_cast<std::size_t>(n) + 1] = {before.requests + it.requests, before.retries + it.retries};
    }
    return found;
}

double ServiceRetryBudget::remaining(TimePoint now)
{
    advance(now);
    const std::array<Slice, Slices + 1> sums = prefixSums();
    // Requests of the slices [first, last), counted from the oldest. Slices outside the recorded range, such as future ones, are empty.
    const auto requests = [&sums](std::int64_t first, std::int64_t last) {
        const auto from = static_cast<std::size_t>(std::clamp<std::int64_t>(first, 0, Slices));
        const auto to = static_cast<std::size_t>(std::clamp<std::int64_t>(last, 0, Slices));
        return from < to ? sums[to].requests - sums[from].requests : 0;
    };
    double minRemaining = std::numeric_limits<double>::max();
    // Examines each window that has begun and not ended. A window begins somewhere within its first slice, so all retries of that slice
    // count, but requests count only in slices that lie entirely within the window.
    for (std::int64_t begin = Slices - SlicesPerWindow - 1; begin < Slices; ++begin) {
        const double retries = sums.back().retries - sums[static_cast<std::size_t>(begin)].retries;
        const double maxRequests = std::max({
            requests(begin + 1, begin + SlicesPerWindow),
            requests(begin + 1 - SlicesPerWindow / 2, begin + SlicesPerWindow / 2),
            requests(begin + 1 - SlicesPerWindow, begin),
        });
        minRemaining = std::min(minRemaining, m_settings.ratio * maxRequests + m_settings.slack - retries);
    }
    return minRemaining;
}

bool ServiceRetryBudget::take(TimePoint now)
{
    if (remaining(now) < 1) {
        return false;
    }
    currentSlice().retries += 1;
    return true;
}

} // namespace banyankeel

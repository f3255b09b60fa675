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
        throw ValueError("retry budget: fields ratio, slack: below zero found, zero or more allowed");
    }
    if (m_sliceLength <= Duration::zero()) {
        throw ValueError("retry budget: field window: must be above zero");
    }
}

ServiceRetryBudget::Slice &ServiceRetryBudget::present()
{
    return m_slices[static_cast<std::size_t>(m_current % Slices)];
}

void ServiceRetryBudget::advance(TimePoint now)
{
    const std::int64_t slice = now.time_since_epoch() / m_sliceLength;
    const std::int64_t steps = std::min(slice - m_current, Slices);
    for (std::int64_t n = 0; n < steps; ++n) {
        m_slices[static_cast<std::size_t>((slice - n) % Slices)] = Slice{};
    }
    m_current = std::max(m_current, slice);
}

void ServiceRetryBudget::noteRequest(TimePoint now, double repeatPart)
{
    advance(now);
    present().requests += 1 - repeatPart;
    present().repeats += repeatPart;
}

std::array<ServiceRetryBudget::Slice, ServiceRetryBudget::Slices + 1> ServiceRetryBudget::sums() const
{
    std::array<Slice, Slices + 1> found{};
    for (std::int64_t n = 0; n < Slices; ++n) {
        const Slice &it = m_slices[static_cast<std::size_t>((m_current + 1 + n) % Slices)];
        const Slice &before = found[static_cast<std::size_t>(n)];
        found[static_cast<std::size_t>(n) + 1] = {before.requests + it.requests, before.repeats + it.repeats};
    }
    return found;
}

double ServiceRetryBudget::left(TimePoint now)
{
    advance(now);
    const std::array<Slice, Slices + 1> all = sums();
    // Of whole slices from the first to before the last, counted from the oldest; what lies after the present is not there yet.
    const auto requests = [&all](std::int64_t first, std::int64_t last) {
        const auto from = static_cast<std::size_t>(std::clamp<std::int64_t>(first, 0, Slices));
        const auto to = static_cast<std::size_t>(std::clamp<std::int64_t>(last, 0, Slices));
        return from < to ? all[to].requests - all[from].requests : 0;
    };
    double least = std::numeric_limits<double>::max();
    // Each window that has begun and not ended. It begins somewhere within its first slice, so that all repeats of the slice count, and
    // requests only in slices that surely belong to the window meant.
    for (std::int64_t begin = Slices - SlicesPerWindow - 1; begin < Slices; ++begin) {
        const double repeats = all.back().repeats - all[static_cast<std::size_t>(begin)].repeats;
        const double most = std::max({
            requests(begin + 1, begin + SlicesPerWindow),
            requests(begin + 1 - SlicesPerWindow / 2, begin + SlicesPerWindow / 2),
            requests(begin + 1 - SlicesPerWindow, begin),
        });
        least = std::min(least, m_settings.ratio * most + m_settings.slack - repeats);
    }
    return least;
}

bool ServiceRetryBudget::take(TimePoint now)
{
    if (left(now) < 1) {
        return false;
    }
    present().repeats += 1;
    return true;
}

} // namespace banyankeel

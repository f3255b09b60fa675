#include "coordination/retrybudget/serviceretrybudget.h"

#include "state/errors.h"

#include <algorithm>

namespace banyankeel
{

ServiceRetryBudget::ServiceRetryBudget(const ServiceRetryBudgetSettings &settings)
    : m_settings(settings)
    // The oldest slice is still counted while the newest fills, so that a window that ends anywhere is covered whole.
    , m_sliceLength(settings.window / static_cast<std::int64_t>(Slices - 1))
{
    if (settings.ratio < 0 || settings.slack < 0) {
        throw ValueError("retry budget: fields ratio, slack: below zero found, zero or more allowed");
    }
    if (m_sliceLength <= Duration::zero()) {
        throw ValueError("retry budget: field window: must be above zero");
    }
}

void ServiceRetryBudget::advance(TimePoint now)
{
    const std::int64_t slice = now.time_since_epoch() / m_sliceLength;
    const std::int64_t steps = std::min<std::int64_t>(slice - m_current, Slices);
    for (std::int64_t n = 0; n < steps; ++n) {
        Slice &oldest = m_slices[static_cast<std::size_t>(slice - steps + 1 + n) % Slices];
        m_requests -= oldest.requests;
        m_repeats -= oldest.repeats;
        oldest = Slice{};
    }
    m_current = std::max(m_current, slice);
}

void ServiceRetryBudget::noteRequest(TimePoint now)
{
    advance(now);
    ++m_slices[static_cast<std::size_t>(m_current) % Slices].requests;
    ++m_requests;
}

double ServiceRetryBudget::left(TimePoint now)
{
    advance(now);
    return m_settings.ratio * static_cast<double>(m_requests) + m_settings.slack - m_repeats;
}

bool ServiceRetryBudget::take(TimePoint now)
{
    if (left(now) < 1) {
        return false;
    }
    addRepeats(1);
    return true;
}

void ServiceRetryBudget::noteInherited(double part, TimePoint now)
{
    advance(now);
    addRepeats(part);
}

void ServiceRetryBudget::addRepeats(double count)
{
    m_slices[static_cast<std::size_t>(m_current) % Slices].repeats += count;
    m_repeats += count;
}

} // namespace banyankeel

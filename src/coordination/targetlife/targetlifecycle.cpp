#include "coordination/targetlife/targetlifecycle.h"

#include <algorithm>

namespace banyankeel
{

namespace
{
/// Whether @p report comes from an earlier boot than @p current.
bool isOlderBoot(const TargetReport &report, const TargetReport &current)
{
    return report.boot.startedAt && current.boot.startedAt && *report.boot.startedAt < *current.boot.startedAt;
}
} // namespace

bool TargetLifecycle::isLeaving(const TargetBoot &boot) const
{
    return std::ranges::any_of(m_leavings.all(),
                               [&boot](const TargetDeparture &it) { return it.name == boot.name && (!boot.startedAt || *boot.startedAt <= it.startedUntil); });
}

TargetChange TargetLifecycle::mergeLeavings(const std::vector<TargetDeparture> &departures)
{
    const bool wasServing = serving() != nullptr;
    const bool isFirst = !m_hasLoadedLeavings;
    m_hasLoadedLeavings = true;
    m_leavings.merge(departures);
    if (wasServing && serving() == nullptr) {
        return TargetChange::Leaving;
    }
    return isFirst && serving() != nullptr ? TargetChange::NewBoot : TargetChange::None;
}

TargetChange TargetLifecycle::handleReport(const TargetReport &report)
{
    if (m_current && isOlderBoot(report, *m_current)) {
        return TargetChange::None;
    }
    const bool isNewBoot = !m_current || m_current->boot != report.boot;
    if (!isNewBoot && report.sequence <= m_current->sequence && !report.isLeaving) {
        // A later report of the same boot has already arrived.
        return TargetChange::None;
    }
    const bool wasLeaving = !isNewBoot && isLeaving();
    if (report.isLeaving) {
        m_leavings.add({report.boot.name, report.boot.startedAt.value_or(WallTime::max())});
    }
    m_current = report;
    if (isLeaving()) {
        return wasLeaving ? TargetChange::None : TargetChange::Leaving;
    }
    return isNewBoot ? TargetChange::NewBoot : TargetChange::None;
}

TargetChange TargetLifecycle::handleLeaving(const std::string &name, std::optional<WallTime> startedAt, WallTime now)
{
    const bool isCurrent = m_current && m_current->boot.name == name;
    if (isCurrent && m_current->boot.startedAt && startedAt && *startedAt < *m_current->boot.startedAt) {
        // A delayed leaving of an earlier boot.
        return TargetChange::None;
    }
    const bool wasServing = serving() != nullptr;
    const std::optional<WallTime> known = isCurrent ? m_current->boot.startedAt : startedAt;
    m_leavings.add({name, known.value_or(now)});
    return wasServing && serving() == nullptr ? TargetChange::Leaving : TargetChange::None;
}

bool TargetLifecycle::isLeaving() const
{
    return m_current && isLeaving(m_current->boot);
}

TargetChange TargetLifecycle::confirm(const TargetBoot &boot)
{
    const bool wasServing = serving() != nullptr;
    m_confirmed = boot;
    return !wasServing && serving() != nullptr ? TargetChange::NewBoot : TargetChange::None;
}

bool TargetLifecycle::isConfirmed() const
{
    if (!m_confirmUntil || m_current->boot == m_confirmed) {
        return true;
    }
    return m_current->boot.startedAt && *m_current->boot.startedAt > *m_confirmUntil;
}

const TargetReport *TargetLifecycle::unconfirmed() const
{
    return m_hasLoadedLeavings && m_current && !isLeaving() && !isConfirmed() ? &*m_current : nullptr;
}

const TargetReport *TargetLifecycle::serving() const
{
    return m_hasLoadedLeavings && m_current && !isLeaving() && isConfirmed() ? &*m_current : nullptr;
}

} // namespace banyankeel

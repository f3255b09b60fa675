#include "coordination/overload/crashquarantine.h"

#include "state/errors.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>

namespace banyankeel
{

namespace
{
/// Retry-after of a suspect that is refused while another one is running.
constexpr Duration SuspectRetryAfter = std::chrono::milliseconds(200);
} // namespace

CrashQuarantine::CrashQuarantine(const QuarantineSettings &settings, NodeId ownNode)
    : m_settings(settings)
    , m_ownNode(std::move(ownNode))
{
    if (settings.crashesToIsolate == 0 || settings.crashesToQuarantine == 0 || settings.maxEntries == 0) {
        throw ValueError("crash quarantine: fields crashesToIsolate, crashesToQuarantine and maxEntries must be greater than 0");
    }
}

bool CrashQuarantine::hasExpired(const Suspect &suspect, TimePoint now) const
{
    if (suspect.refusedUntil) {
        return now >= *suspect.refusedUntil;
    }
    return now - suspect.lastCrash >= m_settings.suspectRetention;
}

bool CrashQuarantine::isQuarantined(const RequestFingerprint &fingerprint, TimePoint now) const
{
    const auto it = m_suspects.find(fingerprint);
    return it != m_suspects.end() && it->second.refusedUntil && now < *it->second.refusedUntil;
}

std::optional<Verdict> CrashQuarantine::begin(const RequestFingerprint &fingerprint, TimePoint now, std::uint16_t suspectedCrashes)
{
    std::uint16_t crashes = suspectedCrashes;
    const auto it = m_suspects.find(fingerprint);
    if (it != m_suspects.end()) {
        if (hasExpired(it->second, now)) {
            m_suspects.erase(it);
        } else if (it->second.refusedUntil) {
            return Verdict::refused(Reason::Quarantined, *it->second.refusedUntil - now);
        } else {
            crashes = std::max(crashes, crashesOf(it->second));
        }
    }
    if (crashes >= m_settings.crashesToIsolate) {
        if (m_runningSuspect) {
            return Verdict::refused(Reason::Overloaded, SuspectRetryAfter);
        }
        m_runningSuspect = fingerprint;
    }
    Run &run = m_running[fingerprint];
    ++run.requests;
    run.crashesBefore = std::max(run.crashesBefore, crashes);
    return std::nullopt;
}

void CrashQuarantine::removeRun(const RequestFingerprint &fingerprint)
{
    if (m_runningSuspect == fingerprint) {
        m_runningSuspect.reset();
    }
    const auto run = m_running.find(fingerprint);
    if (run != m_running.end() && --run->second.requests == 0) {
        m_running.erase(run);
    }
}

void CrashQuarantine::recordEnd(const RequestFingerprint &fingerprint)
{
    removeRun(fingerprint);
}

void CrashQuarantine::recordSuccess(const RequestFingerprint &fingerprint, TimePoint now, std::vector<CrashReport> &reports)
{
    removeRun(fingerprint);
    const auto it = m_suspects.find(fingerprint);
    // A success does not lift a quarantine: it may come from an earlier run and arrive late.
    if (it == m_suspects.end() || isQuarantined(fingerprint, now)) {
        return;
    }
    m_suspects.erase(it);
    reports.push_back({fingerprint, CrashReportKind::Cleared, m_ownNode, Incarnation{}});
}

std::uint16_t CrashQuarantine::crashes(const RequestFingerprint &fingerprint, TimePoint now) const
{
    const auto it = m_suspects.find(fingerprint);
    return it == m_suspects.end() || hasExpired(it->second, now) ? std::uint16_t{0} : crashesOf(it->second);
}

std::uint16_t CrashQuarantine::crashesBefore(const RequestFingerprint &fingerprint) const
{
    const auto run = m_running.find(fingerprint);
    return run == m_running.end() ? std::uint16_t{0} : run->second.crashesBefore;
}

void CrashQuarantine::recordCrash(const std::vector<RequestFingerprint> &running, Incarnation incarnation, TimePoint now, std::vector<CrashReport> &reports)
{
    std::uint16_t before = 0;
    for (const RequestFingerprint &it : running) {
        before = std::max(before, crashesBefore(it));
    }
    // Suspects of earlier crashes explain this one as well, so the other running requests do not become suspects.
    std::set<RequestFingerprint> blamed;
    std::ranges::copy_if(running, std::inserter(blamed, blamed.end()), [&](const RequestFingerprint &it) { return crashesBefore(it) == before; });
    m_running.clear();
    m_runningSuspect.reset();
    for (const RequestFingerprint &it : blamed) {
        reports.push_back({it, CrashReportKind::Crashed, m_ownNode, incarnation, static_cast<std::uint16_t>(before + 1)});
        addCrash(reports.back(), now);
    }
}

std::uint16_t CrashQuarantine::crashesOf(const Suspect &suspect) const
{
    return std::max(suspect.crashesInRow, static_cast<std::uint16_t>(suspect.crashes.size()));
}

void CrashQuarantine::addCrash(const CrashReport &report, TimePoint now)
{
    if (!m_suspects.contains(report.fingerprint)) {
        evictIfFull(now);
    }
    Suspect &found = m_suspects[report.fingerprint];
    const std::uint16_t before = crashesOf(found);
    const Crash crash{std::hash<NodeId>{}(report.node), report.incarnation};
    if (found.refusedUntil || std::ranges::find(found.crashes, crash) != found.crashes.end()) {
        return;
    }
    if (m_settings.countsConcurrentCrashes) {
        found.crashes.push_back(crash);
    }
    found.crashesInRow = std::max(found.crashesInRow, report.crashes);
    if (crashesOf(found) == before) {
        return;
    }
    found.lastCrash = now;
    if (crashesOf(found) >= m_settings.crashesToQuarantine) {
        found.refusedUntil = now + report.remaining.value_or(m_settings.quarantine);
    }
}

void CrashQuarantine::evictIfFull(TimePoint now)
{
    if (m_suspects.size() < m_settings.maxEntries) {
        return;
    }
    std::erase_if(m_suspects, [&](const auto &it) { return hasExpired(it.second, now); });
    if (m_suspects.size() < m_settings.maxEntries) {
        return;
    }
    // Suspects are evicted before quarantined fingerprints, older ones before newer ones.
    const auto oldest = std::ranges::min_element(m_suspects, [](const auto &left, const auto &right) {
        const bool isLeftRefused = left.second.refusedUntil.has_value();
        const bool isRightRefused = right.second.refusedUntil.has_value();
        return isLeftRefused != isRightRefused ? isRightRefused : left.second.lastCrash < right.second.lastCrash;
    });
    m_suspects.erase(oldest);
}

bool CrashQuarantine::merge(const CrashReport &report, TimePoint now)
{
    const bool wasQuarantined = isQuarantined(report.fingerprint, now);
    if (report.kind == CrashReportKind::Crashed) {
        addCrash(report, now);
        return !wasQuarantined && isQuarantined(report.fingerprint, now);
    }
    if (report.kind != CrashReportKind::Cleared || !wasQuarantined) {
        m_suspects.erase(report.fingerprint);
    }
    return false;
}

void CrashQuarantine::release(const RequestFingerprint &fingerprint, TimePoint /*now*/, std::vector<CrashReport> &reports)
{
    if (m_suspects.erase(fingerprint) > 0) {
        reports.push_back({fingerprint, CrashReportKind::Released, m_ownNode, Incarnation{}});
    }
}

std::vector<RequestFingerprint> CrashQuarantine::running() const
{
    std::vector<RequestFingerprint> found;
    found.reserve(m_running.size());
    for (const auto &[fingerprint, run] : m_running) {
        found.push_back(fingerprint);
    }
    return found;
}

std::vector<CrashReport> CrashQuarantine::quarantined(TimePoint now, std::size_t max) const
{
    std::vector<CrashReport> found;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        if (suspect.refusedUntil && now < *suspect.refusedUntil) {
            found.push_back({fingerprint, CrashReportKind::Crashed, m_ownNode, Incarnation{}, crashesOf(suspect), *suspect.refusedUntil - now});
        }
    }
    std::ranges::sort(found, std::greater(), &CrashReport::remaining);
    found.erase(found.begin() + static_cast<std::ptrdiff_t>(std::min(found.size(), max)), found.end());
    return found;
}

std::vector<QuarantineEntry> CrashQuarantine::list(TimePoint now) const
{
    std::vector<QuarantineEntry> entries;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        if (!hasExpired(suspect, now)) {
            entries.push_back({fingerprint, crashesOf(suspect), suspect.refusedUntil});
        }
    }
    std::ranges::sort(entries);
    return entries;
}

} // namespace banyankeel

#include "coordination/overload/crashquarantine.h"

#include "state/errors.h"

#include <algorithm>

namespace banyankeel
{

namespace
{
/// Retry-after of a suspect that is refused while another one is running.
constexpr Duration SuspectRetryAfter = std::chrono::milliseconds(200);

std::uint64_t hashOf(const NodeId &node)
{
    return std::hash<NodeId>{}(node);
}
} // namespace

CrashQuarantine::CrashQuarantine(const QuarantineSettings &settings, NodeId ownNode)
    : m_settings(settings)
    , m_ownNode(std::move(ownNode))
{
    if (settings.crashesToQuarantine == 0 || settings.maxEntries == 0) {
        throw ValueError("crash quarantine: fields crashesToQuarantine and maxEntries must be greater than 0");
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

std::optional<Verdict> CrashQuarantine::begin(const RequestFingerprint &fingerprint, TimePoint now)
{
    const auto it = m_suspects.find(fingerprint);
    if (it == m_suspects.end()) {
        return std::nullopt;
    }
    if (hasExpired(it->second, now)) {
        m_suspects.erase(it);
        return std::nullopt;
    }
    if (it->second.refusedUntil) {
        return Verdict::refused(Reason::Quarantined, *it->second.refusedUntil - now);
    }
    if (m_runningSuspect) {
        return Verdict::refused(Reason::Overloaded, SuspectRetryAfter);
    }
    m_runningSuspect = fingerprint;
    return std::nullopt;
}

void CrashQuarantine::clearRunningSuspect(const RequestFingerprint &fingerprint)
{
    if (m_runningSuspect == fingerprint) {
        m_runningSuspect.reset();
    }
}

void CrashQuarantine::recordEnd(const RequestFingerprint &fingerprint)
{
    clearRunningSuspect(fingerprint);
}

void CrashQuarantine::recordSuccess(const RequestFingerprint &fingerprint, TimePoint now, std::vector<CrashReport> &reports)
{
    clearRunningSuspect(fingerprint);
    const auto it = m_suspects.find(fingerprint);
    // A success does not lift a quarantine: it may come from an earlier run and arrive late.
    if (it == m_suspects.end() || isQuarantined(fingerprint, now)) {
        return;
    }
    m_suspects.erase(it);
    reports.push_back({fingerprint, CrashReportKind::Cleared, m_ownNode, Incarnation{}});
}

void CrashQuarantine::recordCrash(const std::vector<RequestFingerprint> &running, Incarnation incarnation, TimePoint now, std::vector<CrashReport> &reports)
{
    const std::optional<RequestFingerprint> runningSuspect = m_runningSuspect;
    m_runningSuspect.reset();
    const Crash crash{hashOf(m_ownNode), incarnation};
    if (runningSuspect && std::ranges::find(running, *runningSuspect) != running.end()) {
        // The suspect of an earlier crash explains this one as well, so the other running requests do not become suspects.
        addCrash(*runningSuspect, crash, now);
        reports.push_back({*runningSuspect, CrashReportKind::Crashed, m_ownNode, incarnation});
        return;
    }
    for (const RequestFingerprint &it : running) {
        addCrash(it, crash, now);
        reports.push_back({it, CrashReportKind::Crashed, m_ownNode, incarnation});
    }
}

void CrashQuarantine::addCrash(const RequestFingerprint &fingerprint, const Crash &crash, TimePoint now)
{
    if (!m_suspects.contains(fingerprint)) {
        evictIfFull(now);
    }
    Suspect &found = m_suspects[fingerprint];
    if (std::ranges::find(found.crashes, crash) != found.crashes.end() || found.refusedUntil) {
        return;
    }
    found.crashes.push_back(crash);
    found.lastCrash = now;
    if (found.crashes.size() >= m_settings.crashesToQuarantine) {
        found.refusedUntil = now + m_settings.quarantine;
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

void CrashQuarantine::merge(const CrashReport &report, TimePoint now)
{
    if (report.kind == CrashReportKind::Crashed) {
        addCrash(report.fingerprint, {hashOf(report.node), report.incarnation}, now);
        return;
    }
    if (report.kind == CrashReportKind::Cleared && isQuarantined(report.fingerprint, now)) {
        return;
    }
    m_suspects.erase(report.fingerprint);
}

void CrashQuarantine::release(const RequestFingerprint &fingerprint, TimePoint /*now*/, std::vector<CrashReport> &reports)
{
    if (m_suspects.erase(fingerprint) > 0) {
        reports.push_back({fingerprint, CrashReportKind::Released, m_ownNode, Incarnation{}});
    }
}

std::vector<QuarantineEntry> CrashQuarantine::list(TimePoint now) const
{
    std::vector<QuarantineEntry> entries;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        if (!hasExpired(suspect, now)) {
            entries.push_back({fingerprint, static_cast<std::uint16_t>(suspect.crashes.size()), suspect.refusedUntil});
        }
    }
    std::ranges::sort(entries);
    return entries;
}

} // namespace banyankeel

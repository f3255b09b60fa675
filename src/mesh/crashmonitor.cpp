#include "mesh/crashmonitor.h"

#include "telemetry/logging.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace banyankeel
{

namespace
{
// A process that crashes closes its connections and its port within a few milliseconds; the later checks are for one that dies slowly.
constexpr std::array<Duration, 3> CheckDelays{std::chrono::milliseconds(20), std::chrono::milliseconds(80), std::chrono::milliseconds(200)};

// The request that crashed a target may have run on it together with many others, so that two crashes say little. From the second one on a target runs
// one such request at a time, and the third one is its own.
QuarantineSettings quarantineSettings()
{
    QuarantineSettings settings;
    settings.crashesToIsolate = 2;
    settings.countsConcurrentCrashes = false;
    settings.crashesToQuarantine = CrashMonitor::CrashesToQuarantine;
    return settings;
}
} // namespace

CrashMonitor::CrashMonitor(const NodeId &node, CrashMonitorHooks hooks)
    : m_hooks(std::move(hooks))
    , m_quarantine(quarantineSettings(), node)
{
}

std::optional<Verdict> CrashMonitor::begin(const RequestFingerprint &fingerprint, std::uint16_t suspectedCrashes, TimePoint began)
{
    std::optional<Verdict> refusal = m_quarantine.begin(fingerprint, began, suspectedCrashes);
    if (!refusal) {
        m_running.insert(began);
    }
    return refusal;
}

void CrashMonitor::endRun(TimePoint began)
{
    const auto it = m_running.find(began);
    if (it != m_running.end()) {
        m_running.erase(it);
    }
}

void CrashMonitor::recordAnswer(const RequestFingerprint &fingerprint, TimePoint began, bool hasRun)
{
    endRun(began);
    if (!m_lost.empty() && began > m_firstLossAt) {
        discardLosses();
    }
    if (!hasRun) {
        m_quarantine.recordEnd(fingerprint);
        return;
    }
    std::vector<CrashReport> reports;
    m_quarantine.recordSuccess(fingerprint, m_hooks.now(), reports);
    if (!reports.empty()) {
        m_hooks.reported(reports);
    }
}

void CrashMonitor::recordEnd(const RequestFingerprint &fingerprint, TimePoint began)
{
    endRun(began);
    m_quarantine.recordEnd(fingerprint);
}

void CrashMonitor::recordLost(const RequestFingerprint &fingerprint, TimePoint began)
{
    endRun(began);
    if (began <= m_crashedAt) {
        // One of the requests that the crash has ended.
        return;
    }
    if (m_lost.empty()) {
        m_firstLossAt = m_hooks.now();
        m_checks = 0;
        scheduleCheck(CheckDelays.front());
    }
    m_lost.push_back(fingerprint);
}

void CrashMonitor::scheduleCheck(Duration delay)
{
    if (!std::exchange(m_isCheckScheduled, true)) {
        m_hooks.runAfter(delay, [this] { check(); });
    }
}

void CrashMonitor::check()
{
    m_isCheckScheduled = false;
    if (m_lost.empty()) {
        return;
    }
    if (!m_running.empty() && *m_running.begin() <= m_firstLossAt) {
        // The target has other connections that live.
        discardLosses();
        return;
    }
    m_isCheckScheduled = true;
    m_hooks.checkPort([this, firstLossAt = m_firstLossAt](PortState state) {
        m_isCheckScheduled = false;
        if (m_lost.empty()) {
            return;
        }
        if (m_firstLossAt != firstLossAt) {
            // Those losses were settled meanwhile; these are later ones.
            scheduleCheck(CheckDelays.front());
        } else if (state == PortState::Refused) {
            confirmCrash();
        } else if (state == PortState::Unknown || ++m_checks == CheckDelays.size()) {
            discardLosses();
        } else {
            scheduleCheck(CheckDelays.at(m_checks));
        }
    });
}

void CrashMonitor::confirmCrash()
{
    const TimePoint now = m_hooks.now();
    ++m_crashes;
    m_crashedAt = now;
    m_lost.clear();
    m_running.clear();
    std::vector<CrashReport> reports;
    // Those whose lost connection has not been noticed yet were running as well.
    m_quarantine.recordCrash(m_quarantine.running(), static_cast<Incarnation>(m_crashes), now, reports);
    logEvent(LogLevel::Warning, "target-crashed", {{"requests", std::to_string(reports.size())}, {"crashes", std::to_string(m_crashes)}});
    log(reports);
    m_hooks.reported(reports);
}

void CrashMonitor::discardLosses()
{
    for (const RequestFingerprint &it : std::exchange(m_lost, {})) {
        m_quarantine.recordEnd(it);
    }
}

void CrashMonitor::recordNewBoot(bool hasLeft)
{
    if (hasLeft) {
        discardLosses();
    } else if (!m_lost.empty()) {
        confirmCrash();
    }
}

std::uint16_t CrashMonitor::crashesOf(const RequestFingerprint &fingerprint) const
{
    return m_quarantine.crashes(fingerprint, m_hooks.now());
}

bool CrashMonitor::isQuarantined(const RequestFingerprint &fingerprint) const
{
    return m_quarantine.isQuarantined(fingerprint, m_hooks.now());
}

void CrashMonitor::merge(const std::vector<CrashReport> &reports)
{
    std::vector<CrashReport> quarantined;
    std::ranges::copy_if(reports, std::back_inserter(quarantined), [this](const CrashReport &it) { return m_quarantine.merge(it, m_hooks.now()); });
    log(quarantined);
}

std::vector<CrashReport> CrashMonitor::quarantined() const
{
    return m_quarantine.quarantined(m_hooks.now(), MaxPassedOn);
}

void CrashMonitor::log(const std::vector<CrashReport> &reports) const
{
    for (const CrashReport &it : reports) {
        if (m_quarantine.isQuarantined(it.fingerprint, m_hooks.now())) {
            logEvent(LogLevel::Warning,
                     "request-quarantined",
                     {{"route", it.fingerprint.route.text()},
                      {"organisation", it.fingerprint.organisation.text()},
                      {"hash", fmt::format("{:016x}", it.fingerprint.requestHash)},
                      {"crashes", std::to_string(it.crashes)},
                      {"found-by", it.node.text()}});
        }
    }
}

} // namespace banyankeel

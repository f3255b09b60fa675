#include "node/quarantinecoordinator.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace banyankeel
{

namespace
{
// Limit on the reports remembered so that each one is forwarded only once.
constexpr std::size_t MaxSeenReports = 8192;

std::string fingerprintText(const RequestFingerprint &fingerprint)
{
    return fmt::format("{}:{}:{:016x}", fingerprint.organisation.text(), fingerprint.route.text(), fingerprint.requestHash);
}
} // namespace

QuarantineCoordinator::QuarantineCoordinator(QuarantineHooks hooks, const Peer &self)
    : m_hooks(std::move(hooks))
    , m_targetIncarnation(self.incarnation)
    , m_quarantine(QuarantineSettings{}, self.node)
{
}

std::optional<Verdict> QuarantineCoordinator::begin(const RequestFingerprint &fingerprint, std::uint16_t suspectedCrashes)
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.begin(fingerprint, m_hooks.now(), suspectedCrashes);
}

bool QuarantineCoordinator::isQuarantined(const RequestFingerprint &fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.isQuarantined(fingerprint, m_hooks.now());
}

void QuarantineCoordinator::recordSuccess(const RequestFingerprint &fingerprint)
{
    std::vector<CrashReport> reports;
    {
        const std::lock_guard lock(m_mutex);
        m_quarantine.recordSuccess(fingerprint, m_hooks.now(), reports);
    }
    broadcast(reports);
}

void QuarantineCoordinator::recordEnd(const RequestFingerprint &fingerprint)
{
    const std::lock_guard lock(m_mutex);
    m_quarantine.recordEnd(fingerprint);
}

void QuarantineCoordinator::recordConnectionLost(const RequestFingerprint &fingerprint)
{
    const std::lock_guard lock(m_mutex);
    m_lostRequests.push_back(fingerprint);
}

void QuarantineCoordinator::handleProbe(bool isReachable, const std::vector<RequestFingerprint> &running)
{
    std::vector<CrashReport> reports;
    {
        const std::lock_guard lock(m_mutex);
        if (isReachable) {
            // The connection broke, but the target is still running: this is no evidence against the requests.
            for (const RequestFingerprint &it : m_lostRequests) {
                m_quarantine.recordEnd(it);
            }
        } else if (m_wasReachable || !m_lostRequests.empty()) {
            m_lostRequests.insert(m_lostRequests.end(), running.begin(), running.end());
            m_targetIncarnation = Incarnation{static_cast<std::uint64_t>(m_targetIncarnation) + 1};
            m_quarantine.recordCrash(m_lostRequests, m_targetIncarnation, m_hooks.now(), reports);
        }
        m_lostRequests.clear();
        m_wasReachable = isReachable;
    }
    broadcast(reports);
}

void QuarantineCoordinator::handleReport(const CrashReport &report)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_seenReports.count(report) != 0) {
            return;
        }
        m_quarantine.merge(report, m_hooks.now());
    }
    broadcast({report});
}

std::string QuarantineCoordinator::listAsJson() const
{
    const TimePoint now = m_hooks.now();
    nlohmann::json list = nlohmann::json::array();
    const std::lock_guard lock(m_mutex);
    for (const QuarantineEntry &entry : m_quarantine.list(now)) {
        nlohmann::json it;
        it["fingerprint"] = fingerprintText(entry.fingerprint);
        it["organisation"] = entry.fingerprint.organisation.text();
        it["route"] = entry.fingerprint.route.text();
        it["crashes"] = entry.crashes;
        if (entry.refusedUntil) {
            it["refusedForMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(*entry.refusedUntil - now).count();
        }
        list.push_back(it);
    }
    return list.dump();
}

bool QuarantineCoordinator::release(std::string_view text)
{
    std::vector<CrashReport> reports;
    {
        const std::lock_guard lock(m_mutex);
        for (const QuarantineEntry &entry : m_quarantine.list(m_hooks.now())) {
            if (fingerprintText(entry.fingerprint) == text) {
                m_quarantine.release(entry.fingerprint, m_hooks.now(), reports);
                break;
            }
        }
    }
    broadcast(reports);
    return !reports.empty();
}

void QuarantineCoordinator::broadcast(const std::vector<CrashReport> &reports)
{
    for (const CrashReport &report : reports) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_seenReports.size() >= MaxSeenReports) {
                m_seenReports.clear();
            }
            m_seenReports.insert(report);
        }
        m_hooks.record({
            .kind = TimelineKind::Quarantined,
            .root = std::nullopt,
            .detail = fmt::format("fingerprint={} report={} node={}", fingerprintText(report.fingerprint), static_cast<int>(report.kind), report.node.text()),
        });
        m_hooks.sendToPeers(report);
    }
}

} // namespace banyankeel

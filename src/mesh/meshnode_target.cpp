#include "mesh/meshnodeimpl.h"

#include "state/errors.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace banyankeel
{

namespace
{
using namespace std::chrono_literals;

// The acknowledgement of a departure waits this long for the store; by then peers have been told.
constexpr Duration DepartureAckTimeout = 600ms;
constexpr Duration ConfirmRetryInterval = 300ms;
constexpr std::uint32_t MaxConfirmRetries = 4;
} // namespace

void MeshNode::Impl::probeTarget(const TargetBoot &boot, std::function<void(bool isServing)> done)
{
    const MeshConfigurationPointer configuration = m_feed.current();
    const MeshService *service = configuration ? configuration->findService(m_settings.service) : nullptr;
    if (service == nullptr) {
        return;
    }
    m_target.probe(service->healthPath, [this, boot, done = std::move(done)](const std::optional<HttpResponse> &response) {
        constexpr int Ok = 200;
        const bool isServing = response && response->status == Ok && findHeader(response->headers, m_adapter.headers.targetName) == boot.name;
        logEvent(LogLevel::Info,
                 "target-probe",
                 {{"name", boot.name}, {"status", response ? std::to_string(response->status) : "none"}, {"serving", isServing ? "yes" : "no"}});
        done(isServing);
    });
}

// The next heartbeat may be 1.5 s away, and after a restart of all nodes every target would be unavailable until then. A healthy target that identifies
// itself as the one served before the restart is served at once.
void MeshNode::Impl::probeStoredTarget()
{
    if (!m_storedTarget || !m_feed.current() || m_life.current() != nullptr) {
        return;
    }
    const StoredTarget stored = *std::exchange(m_storedTarget, std::nullopt);
    probeTarget(stored.boot, [this, stored](bool isServing) {
        if (isServing && m_life.current() == nullptr) {
            m_life.confirm(stored.boot);
            applyTargetChange(m_life.handleReport({stored.boot, m_settings.service, m_settings.target, stored.slots, false, 0, Duration::zero()}));
        }
    });
}

void MeshNode::Impl::confirmTarget()
{
    const TargetReport *target = m_life.unconfirmed();
    if (target == nullptr || m_isConfirming || !m_feed.current() || m_feed.current()->findService(m_settings.service) == nullptr) {
        return;
    }
    m_isConfirming = true;
    probeTarget(target->boot, [this, boot = target->boot](bool isServing) {
        m_isConfirming = false;
        if (isServing) {
            applyTargetChange(m_life.confirm(boot));
        } else if (m_confirmRetries < MaxConfirmRetries) {
            // It may be full, or its connections may be those of the boot before. After that, each heartbeat tries again.
            ++m_confirmRetries;
            runAfter(ConfirmRetryInterval, [this] { confirmTarget(); });
        }
    });
}

void MeshNode::Impl::handleReadinessProbe(const HttpRequest &request, const HttpResponder &respond)
{
    constexpr int Ok = 200;
    constexpr int NotFound = 404;
    constexpr int Unavailable = 503;
    if (!m_adapter.isReadinessProbe(request)) {
        respond({.status = NotFound, .headers = {}, .body = {}});
        return;
    }
    const bool isReady = m_self && m_feed.current() && !m_isStopping;
    respond({.status = isReady ? Ok : Unavailable, .headers = {}, .body = {}});
}

void MeshNode::Impl::handleTargetNotification(const HttpRequest &request, const HttpResponder &respond)
{
    constexpr int NotFound = 404;
    constexpr int BadRequest = 400;
    try {
        const TargetNotification notification = m_adapter.decodeTargetNotification(request);
        if (const auto *report = std::get_if<TargetReport>(&notification)) {
            handleTargetReport(*report, respond);
        } else if (const auto *deregistration = std::get_if<TargetDeregistration>(&notification)) {
            applyTargetChange(m_life.handleLeaving(deregistration->name, deregistration->startedAt, wallNow()));
            acknowledgeDeparture(respond);
        } else {
            respond({.status = NotFound, .headers = {}, .body = {}});
        }
    } catch (const Error &it) {
        logEvent(LogLevel::Warning, "target-report-refused", {{"detail", it.what()}});
        respond({.status = BadRequest, .headers = {}, .body = it.what()});
    }
}

void MeshNode::Impl::handleTargetReport(const TargetReport &report, const HttpResponder &respond)
{
    if (report.service != m_settings.service || report.address != m_settings.target) {
        throw ValueError(fmt::format("target report {}: fields service, address: {} at {} found, {} at {} expected",
                                     report.boot.name,
                                     report.service.text(),
                                     report.address.text(),
                                     m_settings.service.text(),
                                     m_settings.target.text()));
    }
    applyTargetChange(m_life.handleReport(report));
    m_confirmRetries = 0;
    confirmTarget();
    if (report.isLeaving) {
        acknowledgeDeparture(respond);
    } else {
        respond(m_adapter.reportResponse);
    }
}

void MeshNode::Impl::applyTargetChange(TargetChange change)
{
    if (change == TargetChange::None) {
        return;
    }
    const TargetReport *serving = m_life.serving();
    logEvent(LogLevel::Info,
             "target",
             {{"change", change == TargetChange::Leaving ? "leaving" : "boot"},
              {"name", m_life.current() == nullptr ? "unknown" : m_life.current()->boot.name},
              {"serving", serving == nullptr ? "no" : "yes"}});
    if (serving != nullptr) {
        m_target.serve(*serving, m_rateLimits.limitOf(serving->boot));
        persistOwnRow(nullptr);
        publishTargetRecord(serving->warmUpRemaining > Duration::zero() ? TargetState::Starting : TargetState::Serving);
        return;
    }
    m_target.stopServing();
    // A boot that has not been confirmed is news to nobody unless the one before it was served.
    if (change == TargetChange::Leaving || (m_record && m_record->state != TargetState::Draining)) {
        publishTargetRecord(TargetState::Draining);
        persistOwnRow(nullptr);
    }
}

void MeshNode::Impl::handleTargetNotice(const TargetBoot &boot, const TargetNotice &notice)
{
    // Reports to peers are sent before the answer that contained the notice, so that its entry node has the report first.
    if (notice.isLeaving) {
        applyTargetChange(m_life.handleLeaving(boot.name, boot.startedAt, wallNow()));
    }
    if (m_rateLimits.recordAnswer(boot, notice.ratePerSecond, bootTime())) {
        logRateLimit(*m_rateLimits.last(), "answer");
        m_target.setRateLimit(m_rateLimits.limitOf(boot));
        announceState();
        persistOwnRow(nullptr);
    }
}

void MeshNode::Impl::reportCrashes(const std::vector<CrashReport> &reports)
{
    m_unsentCrashReports.insert(m_unsentCrashReports.end(), reports.begin(), reports.end());
    const bool hasCrashed = std::ranges::any_of(reports, [](const CrashReport &it) { return it.kind == CrashReportKind::Crashed; });
    const bool isQuarantined = std::ranges::any_of(reports, [this](const CrashReport &it) { return m_crashes.isQuarantined(it.fingerprint); });
    if (isQuarantined) {
        // Must not depend on a relay.
        announceState();
        persistOwnRow(nullptr);
    } else if (hasCrashed) {
        sendToRelays(ReportScope::Urgent, true);
    }
}

void MeshNode::Impl::restoreQuarantines(const std::vector<StoredQuarantine> &quarantines)
{
    std::vector<CrashReport> reports;
    for (const StoredQuarantine &it : quarantines) {
        const Duration remaining = it.until - wallNow();
        if (remaining > Duration::zero()) {
            reports.push_back({it.fingerprint, CrashReportKind::Crashed, m_settings.node, Incarnation{}, CrashMonitor::CrashesToQuarantine, remaining});
        }
    }
    m_crashes.merge(reports);
}

std::vector<StoredQuarantine> MeshNode::Impl::storedQuarantines() const
{
    std::vector<StoredQuarantine> stored;
    for (const CrashReport &it : m_crashes.quarantined()) {
        stored.push_back({it.fingerprint, wallNow() + std::chrono::duration_cast<std::chrono::microseconds>(it.remaining.value_or(Duration::zero()))});
    }
    return stored;
}

void MeshNode::Impl::restoreRateLimit(const TargetRateLimit &limit)
{
    if (!m_rateLimits.restore(limit, bootTime())) {
        return;
    }
    logRateLimit(limit, "earlier-process");
    if (const TargetReport *current = m_life.current()) {
        m_target.setRateLimit(m_rateLimits.limitOf(current->boot));
    }
}

void MeshNode::Impl::logRateLimit(const TargetRateLimit &limit, std::string_view source) const
{
    logEvent(LogLevel::Info,
             "target-rate-limit",
             {{"name", limit.boot.name},
              {"per-second", limit.ratePerSecond ? fmt::format("{:.1f}", *limit.ratePerSecond) : "none"},
              {"source", std::string(source)}});
}

void MeshNode::Impl::publishTargetRecord(TargetState state)
{
    if (!m_self || m_life.current() == nullptr) {
        return;
    }
    const std::uint32_t slots = m_life.current()->slots;
    m_record = TargetRecord{*m_self, m_settings.service, state, slots, slots, ++m_recordVersion};
    m_router.update(*m_record, bootTime());
    if (state == TargetState::Draining) {
        announceState();
    } else {
        sendToRelays(ReportScope::Changed, true);
    }
}

void MeshNode::Impl::acknowledgeDeparture(const HttpResponder &respond)
{
    // The departure must be recorded outside this process before it is acknowledged. If the store is unavailable, the peers hold it.
    if (!m_self) {
        respond(m_adapter.reportResponse);
        return;
    }
    runAfter(DepartureAckTimeout, [this, respond] { respond(m_adapter.reportResponse); });
    persistOwnRow([this, respond] { respond(m_adapter.reportResponse); });
}

} // namespace banyankeel

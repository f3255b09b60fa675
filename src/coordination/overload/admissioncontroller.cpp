#include "coordination/overload/admissioncontroller.h"

#include "coordination/common/roothash.h"
#include "state/errors.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace banyankeel
{

namespace
{
/// Fraction of the limit. Service time estimates are used only while more requests than this are running and keep them up to date.
constexpr double MinTrustedUtilization = 0.25;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MaxRetryAfter = std::chrono::seconds(5);
/// How long a request may wait for the rate limit. Other targets of the service may have no limit, so that a longer queue would only cost time.
constexpr double RateLimitedQueueSeconds = 0.2;

std::size_t poolSize(const AdmissionSettings &settings)
{
    return std::size_t(std::max(settings.connections, settings.minLimit)) + settings.maxQueueLength + 1;
}
} // namespace

AdmissionController::AdmissionController(const AdmissionSettings &settings, TimePoint now)
    : m_settings(settings)
    , m_limit(settings, now)
    , m_queue(settings.queueOrder, settings.shedChoice, poolSize(settings), settings.maxFlows)
    , m_tickets(poolSize(settings))
    , m_entries(poolSize(settings))
{
    m_freeEntries.reserve(m_entries.size());
    for (std::size_t i = m_entries.size(); i > 0; --i) {
        m_freeEntries.push_back(static_cast<EntryIndex>(i - 1));
    }
}

void AdmissionController::offer(const Offer &offer, TimePoint now, AdmissionActions &out)
{
    if (m_tickets.find(static_cast<std::uint64_t>(offer.ticket))) {
        throw ValueError("admission: ticket " + std::to_string(static_cast<std::uint64_t>(offer.ticket)) + " is already in use");
    }
    if (m_isDraining) {
        out.refused.push_back({offer.ticket, Verdict::refused(Reason::Draining)});
        return;
    }
    if (wouldMissDeadline(offer.deadline, offer.kind, now)) {
        out.refused.push_back({offer.ticket, Verdict::refused(Reason::DeadlineExpired)});
        return;
    }
    const FlowIndex flow = m_queue.flowOf(offer.organisation, offer.priority, offer.weight, now);
    m_queue.share(flow).offered(rootShare(offer.root), now);
    m_downstream.offered(offer.depth);
    enqueue(offer, flow, now);
    startWaiting(now, out);
    shedExcess(now, out);
}

void AdmissionController::enqueue(const Offer &offer, FlowIndex flow, TimePoint now)
{
    const EntryIndex entry = m_freeEntries.back();
    m_freeEntries.pop_back();
    m_entries[entry] = {offer.ticket, offer.deadline, flow, false, offer.kind};
    m_tickets.insert(static_cast<std::uint64_t>(offer.ticket), entry);
    m_queue.push(entry, flow, rootHash(offer.root), now);
}

void AdmissionController::release(EntryIndex entry)
{
    m_tickets.erase(static_cast<std::uint64_t>(m_entries[entry].ticket));
    m_freeEntries.push_back(entry);
}

void AdmissionController::refuse(EntryIndex entry, Reason reason, TimePoint now, AdmissionActions &out)
{
    if (reason == Reason::Overloaded) {
        m_queue.share(m_entries[entry].flow).refused();
    }
    out.refused.push_back({m_entries[entry].ticket, Verdict::refused(reason, retryAfter(now))});
    release(entry);
}

void AdmissionController::complete(AttemptTicket ticket, const Completion &completion, TimePoint now, AdmissionActions &out)
{
    const std::optional<std::uint32_t> entry = m_tickets.find(static_cast<std::uint64_t>(ticket));
    if (!entry || !m_entries[*entry].isRunning) {
        return;
    }
    if (completion.kind == CompletionKind::TargetOverloaded) {
        m_queue.share(m_entries[*entry].flow).refused();
    }
    if (completion.downstream && m_settings.usesDownstreamWindow) {
        m_downstream.completed(*completion.downstream, m_running, now);
    }
    m_queue.settle(*entry, completion.serviceTime);
    m_limit.completed(completion, m_running, m_queue.size() > 0, now);
    recordServiceTime(m_entries[*entry].kind, completion, now);
    release(*entry);
    --m_running;
    startWaiting(now, out);
    shedExcess(now, out);
}

void AdmissionController::recordServiceTime(RequestKind kind, const Completion &completion, TimePoint now)
{
    if (completion.kind == CompletionKind::Succeeded || completion.kind == CompletionKind::TimedOut) {
        m_serviceTimes.record(kind, completion.serviceTime, now);
    } else if (completion.kind == CompletionKind::Cancelled) {
        // Leaving out cancelled requests would bias the estimate towards fast ones.
        m_serviceTimes.recordAbandoned(kind, completion.serviceTime, now);
    }
}

bool AdmissionController::cancel(AttemptTicket ticket, TimePoint now, AdmissionActions &out)
{
    const std::optional<std::uint32_t> entry = m_tickets.find(static_cast<std::uint64_t>(ticket));
    if (!entry || m_entries[*entry].isRunning) {
        return false;
    }
    m_queue.remove(*entry);
    release(*entry);
    startWaiting(now, out);
    return true;
}

void AdmissionController::tick(TimePoint now, AdmissionActions &out)
{
    startWaiting(now, out);
    shedExcess(now, out);
    m_queue.dropIdle(now - m_settings.idleRetention);
}

void AdmissionController::startWaiting(TimePoint now, AdmissionActions &out)
{
    while (m_running < limit(now) && !isHeldByRateLimit(now)) {
        const std::optional<EntryIndex> next = m_queue.popNext();
        if (!next) {
            return;
        }
        if (wouldMissDeadline(m_entries[*next].deadline, m_entries[*next].kind, now)) {
            m_queue.refund(*next);
            refuse(*next, Reason::DeadlineExpired, now, out);
            continue;
        }
        if (m_rateLimit) {
            m_rateLimit->tryTake(now);
        }
        m_queue.share(m_entries[*next].flow).admitted();
        m_entries[*next].isRunning = true;
        ++m_running;
        out.run.push_back(m_entries[*next].ticket);
    }
}

void AdmissionController::shedExcess(TimePoint now, AdmissionActions &out)
{
    while (m_queue.size() > queueLimit(now)) {
        refuse(*m_queue.popNextToShed(), Reason::Overloaded, now, out);
    }
    // Queue delay sheds the request that ranks last and not the oldest one, which may have a higher priority or belong to an
    // organisation below its fair share.
    const std::optional<TimePoint> oldest = m_queue.oldestEnqueuedAt();
    if (oldest && now - *oldest > std::max(m_settings.queueDelay, m_serviceTimes.expected(now))) {
        refuse(*m_queue.popNextToShed(), Reason::Overloaded, now, out);
    }
}

bool AdmissionController::wouldMissDeadline(TimePoint deadline, RequestKind kind, TimePoint now) const
{
    // With few requests running the estimate is rarely updated, and an outdated high one must not keep requests out.
    const bool isTrusted = static_cast<double>(m_running) > limit(now) * MinTrustedUtilization;
    return deadline - now <= (isTrusted ? m_serviceTimes.highEstimate(kind, now) : Duration::zero());
}

std::uint32_t AdmissionController::limit(TimePoint now) const
{
    return std::min(m_downstream.value(m_limit.value(), now), concurrencyAtRateLimit(now));
}

std::uint32_t AdmissionController::concurrencyAtRateLimit(TimePoint now) const
{
    const double serviceTime = std::chrono::duration<double>(m_serviceTimes.expected(now)).count();
    if (!m_rateLimit || serviceTime <= 0) {
        return m_limit.value();
    }
    return static_cast<std::uint32_t>(std::clamp(std::ceil(m_rateLimit->ratePerSecond() * serviceTime), 1.0, static_cast<double>(m_limit.value())));
}

bool AdmissionController::isHeldByRateLimit(TimePoint now) const
{
    return m_rateLimit && m_rateLimit->nextTokenAt(now) > now;
}

void AdmissionController::setRateLimit(std::optional<double> ratePerSecond, TimePoint now, AdmissionActions &out)
{
    if (!ratePerSecond) {
        m_rateLimit.reset();
    } else if (!std::isfinite(*ratePerSecond) || *ratePerSecond < 0) {
        throw ValueError("admission: field rate limit: " + std::to_string(*ratePerSecond) + " found, a number of at least 0 expected");
    } else if (m_rateLimit) {
        m_rateLimit->setRate(std::max(*ratePerSecond, MinRateLimit), now);
    } else {
        m_rateLimit.emplace(std::max(*ratePerSecond, MinRateLimit), now);
    }
    startWaiting(now, out);
    shedExcess(now, out);
}

std::optional<TimePoint> AdmissionController::nextStartAt(TimePoint now) const
{
    const bool isWaiting = m_queue.size() > 0 && m_running < limit(now) && isHeldByRateLimit(now);
    return isWaiting ? std::optional(m_rateLimit->nextTokenAt(now)) : std::nullopt;
}

std::size_t AdmissionController::queueLimit(TimePoint now) const
{
    const std::uint32_t allowed = limit(now);
    if (m_rateLimit) {
        return static_cast<std::size_t>(std::clamp<double>(m_rateLimit->ratePerSecond() * RateLimitedQueueSeconds, 1, m_settings.maxQueueLength));
    }
    const double perSlot = allowed < m_limit.value() ? m_settings.queuePerWindowSlot : m_settings.queuePerSlot;
    const double wanted = std::ceil(allowed * perSlot);
    return static_cast<std::size_t>(std::clamp<double>(wanted, m_settings.minQueueLength, m_settings.maxQueueLength));
}

Duration AdmissionController::retryAfter(TimePoint now) const
{
    return std::clamp(m_serviceTimes.expected(now) * 2, MinRetryAfter, MaxRetryAfter);
}

AdmissionHint AdmissionController::hint(TimePoint now) const
{
    constexpr auto LowestPriority = static_cast<PriorityLevel>(UINT8_MAX);
    const auto load = static_cast<std::uint32_t>(m_running + m_queue.size());
    return {LowestPriority, m_isDraining ? 0.0 : 1.0, load, limit(now)};
}

AdmissionHint AdmissionController::hintFor(const OrganisationId &organisation, PriorityLevel priority, TimePoint now) const
{
    AdmissionHint found = hint(now);
    // With a free slot and an empty queue every request is admitted, regardless of recent refusals.
    const bool hasFreeSlot = m_queue.size() == 0 && m_running < limit(now) && !isHeldByRateLimit(now);
    const std::optional<FlowIndex> flow = m_queue.findFlow(organisation, priority);
    if (flow && !m_isDraining && !hasFreeSlot) {
        found.admittedLevel = priority;
        found.admittedFraction = m_queue.share(*flow).admittedFraction(now);
    }
    return found;
}

void AdmissionController::startDraining(TimePoint now, AdmissionActions &out)
{
    m_isDraining = true;
    while (const std::optional<EntryIndex> entry = m_queue.popNextToShed()) {
        refuse(*entry, Reason::Draining, now, out);
    }
}

void AdmissionController::restart(TimePoint now)
{
    m_isDraining = false;
    m_limit.restart(now);
}

bool AdmissionController::isIdle() const
{
    return m_running == 0 && m_queue.size() == 0;
}

} // namespace banyankeel

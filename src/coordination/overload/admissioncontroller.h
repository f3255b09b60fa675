#pragma once

// Admission control of one target, on the target's own node: which requests run, which are queued and which are refused.
//
//   AdmissionController admission(settings, now);
//   AdmissionActions actions;
//   admission.offer(offer, now, actions);
//   for (AttemptTicket it : actions.run) ... // send it to the target, then complete()

#include "coordination/overload/admissionsettings.h"
#include "coordination/overload/completion.h"
#include "coordination/overload/concurrencylimit.h"
#include "coordination/overload/downstreamwindow.h"
#include "coordination/overload/fairqueue.h"
#include "coordination/overload/servicetimes.h"
#include "coordination/overload/ticketindex.h"
#include "coordination/overload/tokenbucket.h"
#include "protocol/callmessages.h"
#include "state/callcontext.h"
#include "state/identifier.h"
#include "state/requestid.h"
#include "state/time.h"
#include "state/verdict.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace banyankeel
{

/// Identifies one attempt at the target. Chosen by the caller of the controller; may be reused once the attempt has ended.
enum class AttemptTicket : std::uint64_t {};

/// A request that is to run at the target.
struct Offer {
    AttemptTicket ticket;
    RequestId root;
    OrganisationId organisation;
    PriorityLevel priority;
    /// Fair-share weight of the organisation, from its configuration object.
    std::uint16_t weight;
    /// After this time nobody waits for the answer.
    TimePoint deadline;
    /// Number of hops from the entry node; 0 at the first service.
    std::uint8_t depth = 0;
    /// Requests of one kind have similar service times.
    RequestKind kind{};
};

/// An offer that will not run. Its verdict is always not-run.
struct RefusedOffer {
    AttemptTicket ticket;
    Verdict verdict;

    friend auto operator<=>(const RefusedOffer &, const RefusedOffer &) = default;
};

/// What the caller has to do after a step. Clearing and reusing one object avoids allocations.
struct AdmissionActions {
    /// To be started at the target now.
    std::vector<AttemptTicket> run;
    std::vector<RefusedOffer> refused;

    void clear()
    {
        run.clear();
        refused.clear();
    }
};

/// Admission at one target. Not thread-safe; callers serialise access with a lock.
///
/// Every offered ticket appears exactly once in AdmissionActions::run or AdmissionActions::refused, unless cancel() removes it
/// from the queue. A ticket in run holds a slot until complete(). No request is shed while one of a lower priority is queued.
/// Each step appends to the actions. It takes time logarithmic in the number of queued organisations and linear in the requests
/// of one organisation, and allocates only for an organisation's first request.
class AdmissionController
{
public:
    /// @throws SettingsError if the settings are out of range.
    AdmissionController(const AdmissionSettings &settings, TimePoint now);

    /// @throws ValueError if the ticket is in use.
    void offer(const Offer &offer, TimePoint now, AdmissionActions &out);
    /// Ends a running ticket. Unknown tickets are ignored.
    void complete(AttemptTicket ticket, const Completion &completion, TimePoint now, AdmissionActions &out);
    /// The caller no longer waits for the ticket. Returns true if it was queued and has been removed without running; a running one
    /// holds its slot until complete().
    bool cancel(AttemptTicket ticket, TimePoint now, AdmissionActions &out);
    /// Refuses requests that were queued for too long and drops idle state. To be called at least every 100 ms.
    void tick(TimePoint now, AdmissionActions &out);

    /// Sets how many requests may start in a second; absent for no limit. Lower limits than MinRateLimit are raised to it, so that it is noticed when the
    /// target accepts more again.
    /// @throws ValueError if the limit is negative or not finite.
    void setRateLimit(std::optional<double> ratePerSecond, TimePoint now, AdmissionActions &out);
    /// When the next queued request may start under the rate limit; tick() is to be called then. Absent if no request waits for the rate limit.
    [[nodiscard]] std::optional<TimePoint> nextStartAt(TimePoint now) const;
    static constexpr double MinRateLimit = 0.5;

    /// The load of the target over all organisations.
    [[nodiscard]] AdmissionHint hint(TimePoint now) const;
    /// The load as seen by one organisation's requests of one priority; sent with the answers to these requests.
    [[nodiscard]] AdmissionHint hintFor(const OrganisationId &organisation, PriorityLevel priority, TimePoint now) const;

    /// Refuses all queued requests and all further offers; running requests continue.
    void startDraining(TimePoint now, AdmissionActions &out);
    /// The target has restarted: it is cold and no longer draining.
    void restart(TimePoint now);
    [[nodiscard]] bool isDraining() const
    {
        return m_isDraining;
    }
    /// Whether nothing is running or queued.
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] std::size_t runningCount() const
    {
        return m_running;
    }
    [[nodiscard]] std::size_t waitingCount() const
    {
        return m_queue.size();
    }
    /// Number of requests that may currently run concurrently.
    [[nodiscard]] std::uint32_t limit(TimePoint now) const;
    /// Number of (priority, organisation) pairs that have state.
    [[nodiscard]] std::size_t flowCount() const
    {
        return m_queue.flowCount();
    }

private:
    struct Entry {
        AttemptTicket ticket;
        TimePoint deadline;
        FlowIndex flow;
        bool isRunning;
        RequestKind kind;
    };

    void enqueue(const Offer &offer, FlowIndex flow, TimePoint now);
    void refuse(EntryIndex entry, Reason reason, TimePoint now, AdmissionActions &out);
    void release(EntryIndex entry);
    void shedExcess(TimePoint now, AdmissionActions &out);
    void startWaiting(TimePoint now, AdmissionActions &out);
    [[nodiscard]] bool wouldMissDeadline(TimePoint deadline, RequestKind kind, TimePoint now) const;
    void recordServiceTime(RequestKind kind, const Completion &completion, TimePoint now);
    [[nodiscard]] std::size_t queueLimit(TimePoint now) const;
    [[nodiscard]] bool isHeldByRateLimit(TimePoint now) const;
    /// The number of requests that run at once if they start at the rate limit.
    [[nodiscard]] std::uint32_t concurrencyAtRateLimit(TimePoint now) const;
    [[nodiscard]] Duration retryAfter(TimePoint now) const;

    AdmissionSettings m_settings;
    ConcurrencyLimit m_limit;
    ServiceTimes m_serviceTimes;
    DownstreamWindow m_downstream;
    std::optional<TokenBucket> m_rateLimit;
    FairQueue m_queue;
    TicketIndex m_tickets;
    std::vector<Entry> m_entries;
    std::vector<EntryIndex> m_freeEntries;
    std::size_t m_running = 0;
    bool m_isDraining = false;
};

} // namespace banyankeel

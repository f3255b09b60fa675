#pragma once

// Decides at a target's own node which requests run at the target, which wait and which are refused.
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
#include "protocol/callmessages.h"
#include "state/callcontext.h"
#include "state/identifier.h"
#include "state/requestid.h"
#include "state/time.h"
#include "state/verdict.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace banyankeel
{

/// Names one attempt at the target. Chosen by the caller of the controller; may be used again after it has ended.
enum class AttemptTicket : std::uint64_t {};

/// A request that asks to run at the target.
struct Offer {
    AttemptTicket ticket;
    RequestId root;
    OrganisationId organisation;
    PriorityLevel priority;
    /// Of the organisation, from its configuration object.
    std::uint16_t weight;
    /// When nobody waits for the answer any more.
    TimePoint deadline;
    /// Hops from the entry node; 0 at the first service.
    std::uint8_t depth = 0;
    /// Requests of one kind take about as long.
    RequestKind kind{};
};

/// An offer that is not going to run. Its verdict is always not-run.
struct RefusedOffer {
    AttemptTicket ticket;
    Verdict verdict;

    friend auto operator<=>(const RefusedOffer &, const RefusedOffer &) = default;
};

/// What the caller has to do after a step. May be cleared and used again, which saves allocations.
struct AdmissionActions {
    /// Start these at the target now.
    std::vector<AttemptTicket> run;
    std::vector<RefusedOffer> refused;

    void clear()
    {
        run.clear();
        refused.clear();
    }
};

/// Admission at one target. Not thread-safe: callers hold one lock around it.
///
/// Every offered ticket ends up exactly once in the actions' run or refused, unless cancel() takes it out while it waits.
/// A ticket in run holds a slot until complete(). A higher priority is never shed while a lower one waits.
/// Steps append to the actions, take time logarithmic in the organisations that wait and linear in the requests of one
/// organisation, and allocate only for an organisation's first request.
class AdmissionController
{
public:
    /// @throws SettingsError if the settings are out of range.
    AdmissionController(const AdmissionSettings &settings, TimePoint now);

    /// @throws ValueError if the ticket is in use.
    void offer(const Offer &offer, TimePoint now, AdmissionActions &out);
    /// A ticket that was in run has ended. Unknown tickets are ignored.
    void complete(AttemptTicket ticket, const Completion &completion, TimePoint now, AdmissionActions &out);
    /// Nobody waits for the ticket any more. Returns true if it was waiting and is gone without having run; a running one holds its slot until complete().
    bool cancel(AttemptTicket ticket, TimePoint now, AdmissionActions &out);
    /// Refuses what waited for too long and drops idle state. Due every 100 ms or oftener.
    void tick(TimePoint now, AdmissionActions &out);

    /// The load at the target over all organisations.
    [[nodiscard]] AdmissionHint hint(TimePoint now) const;
    /// The load as one organisation's requests of one priority meet it; this is what answers to them carry.
    [[nodiscard]] AdmissionHint hintFor(const OrganisationId &organisation, PriorityLevel priority, TimePoint now) const;

    /// Refuses all that waits and all further offers; running requests go on.
    void startDraining(TimePoint now, AdmissionActions &out);
    /// The target came back after it went away: it is cold and no longer draining.
    void restart(TimePoint now);
    [[nodiscard]] bool isDraining() const
    {
        return m_isDraining;
    }
    /// Nothing runs and nothing waits.
    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] std::size_t runningCount() const
    {
        return m_running;
    }
    [[nodiscard]] std::size_t waitingCount() const
    {
        return m_queue.size();
    }
    /// Requests that may run at once at present.
    [[nodiscard]] std::uint32_t limit(TimePoint now) const;
    /// (Priority, organisation) pairs that have state.
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
    [[nodiscard]] bool isHopeless(TimePoint deadline, RequestKind kind, TimePoint now) const;
    void noteServiceTime(RequestKind kind, const Completion &completion, TimePoint now);
    [[nodiscard]] std::size_t queueLimit(TimePoint now) const;
    [[nodiscard]] Duration retryAfter(TimePoint now) const;

    AdmissionSettings m_settings;
    ConcurrencyLimit m_limit;
    ServiceTimes m_times;
    DownstreamWindow m_downstream;
    FairQueue m_queue;
    TicketIndex m_tickets;
    std::vector<Entry> m_entries;
    std::vector<EntryIndex> m_freeEntries;
    std::size_t m_running = 0;
    bool m_isDraining = false;
};

} // namespace banyankeel

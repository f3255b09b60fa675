// Measures time, allocations and memory per decision, and the scaling of a single lock around the controller.

#include "coordination/common/random.h"
#include "coordination/overload/admissioncontroller.h"
#include "coordination/overload/crashquarantine.h"
#include "coordination/overload/executionledger.h"
#include "coordination/routing/targetrouter.h"

#include <fmt/core.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <mutex>
#include <new>
#include <thread>
#include <vector>

namespace
{
std::atomic<std::uint64_t> allocationCount = 0;
} // namespace

void *operator new(std::size_t size)
{
    ++allocationCount;
    if (void *found = std::malloc(size)) {
        return found;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace
{
using namespace banyankeel;
using Clock = std::chrono::steady_clock;

constexpr std::uint32_t Slots = 90;
constexpr std::uint64_t Rounds = 400'000;
constexpr Duration Step = std::chrono::microseconds(50);

/// Mean cost of one call.
struct Cost {
    double nanoseconds;
    double allocations;
};

/// Calls @p work @p n times.
template<typename Work>
Cost measure(std::uint64_t n, Work work)
{
    const std::uint64_t allocationsBefore = allocationCount;
    const auto begin = Clock::now();
    for (std::uint64_t i = 0; i < n; ++i) {
        work(i);
    }
    const double elapsed = std::chrono::duration<double, std::nano>(Clock::now() - begin).count();
    return {elapsed / static_cast<double>(n), static_cast<double>(allocationCount - allocationsBefore) / static_cast<double>(n)};
}

std::vector<OrganisationId> organisationsOf(std::size_t n)
{
    std::vector<OrganisationId> organisations;
    for (std::size_t i = 0; i < n; ++i) {
        organisations.emplace_back("org" + std::to_string(i));
    }
    return organisations;
}

AdmissionSettings settingsOf()
{
    AdmissionSettings settings;
    settings.announcedSlots = Slots;
    settings.connections = 630;
    settings.isCold = false;
    return settings;
}

/// A target at or above capacity: each round offers @p offersEach requests and completes one.
class LoadedTarget
{
public:
    LoadedTarget(std::size_t organisations, std::uint64_t offersEach)
        : m_organisations(organisationsOf(organisations))
        , m_admission(settingsOf(), m_now)
        , m_offersEach(offersEach)
    {
        m_running.reserve(1024);
        m_out.run.reserve(1024);
        m_out.refused.reserve(1024);
    }

    void round()
    {
        m_now += Step;
        m_out.clear();
        for (std::uint64_t i = 0; i < m_offersEach; ++i) {
            offerNext();
        }
        m_running.insert(m_running.end(), m_out.run.begin(), m_out.run.end());
        if (!m_running.empty()) {
            const AttemptTicket ended = m_running[m_first++ % m_running.size()];
            complete(ended);
        }
    }
    AdmissionController &admission()
    {
        return m_admission;
    }

private:
    void offerNext()
    {
        ++m_ticket;
        const OrganisationId &organisation = m_organisations[m_random() % m_organisations.size()];
        m_admission.offer(
            {AttemptTicket{m_ticket}, RequestId(m_random(), m_ticket), organisation, PriorityLevel{1}, 1, m_now + std::chrono::seconds(5)}, m_now, m_out);
    }
    void complete(AttemptTicket ticket)
    {
        std::erase(m_running, ticket);
        m_out.clear();
        m_admission.complete(ticket, {std::chrono::milliseconds(5), CompletionKind::Succeeded}, m_now, m_out);
        m_running.insert(m_running.end(), m_out.run.begin(), m_out.run.end());
    }

    TimePoint m_now{std::chrono::seconds(100)};
    std::vector<OrganisationId> m_organisations;
    AdmissionController m_admission;
    std::uint64_t m_offersEach;
    std::uint64_t m_ticket = 0;
    std::size_t m_first = 0;
    RandomSource m_random = seededRandom(1);
    std::vector<AttemptTicket> m_running;
    AdmissionActions m_out;
};

void benchAdmission(std::size_t organisations)
{
    // One offer per completion keeps the target full without refusals; with four offers, three are shed.
    for (const std::uint64_t offersEach : {1U, 4U}) {
        LoadedTarget load(organisations, offersEach);
        measure(Rounds / 4, [&](std::uint64_t) { load.round(); });
        const Cost cost = measure(Rounds, [&](std::uint64_t) { load.round(); });
        const double decisions = static_cast<double>(offersEach) + 1;
        fmt::print("bench case=admit-and-complete organisations={} offers_per_completion={} ns_per_decision={:.0f} allocations_per_decision={:.5f} flows={}\n",
                   organisations,
                   offersEach,
                   cost.nanoseconds / decisions,
                   cost.allocations / decisions,
                   load.admission().flowCount());
    }
}

TargetRecord recordOf(std::uint64_t service, std::uint64_t target)
{
    const std::string region = target % 4 < 2 ? "r1" : "r2";
    const Peer peer{NodeId("s" + std::to_string(service) + "t" + std::to_string(target)),
                    Incarnation{1},
                    {RegionName(region), FailureDomainName("d" + std::to_string(target % 4))},
                    Endpoint("127.0.0.1", 7000)};
    return {peer, ServiceName("s" + std::to_string(service)), TargetState::Serving, Slots, 630, 1};
}

void benchRouting(std::size_t organisations, std::uint64_t services, std::uint64_t targetsEach, bool isRestricted)
{
    const TimePoint start(std::chrono::seconds(100));
    TargetRouter router({NodeId("own"), {RegionName("r1"), FailureDomainName("d0")}}, seededRandom(1), start);
    std::vector<ServiceName> names;
    for (std::uint64_t service = 0; service < services; ++service) {
        names.emplace_back("s" + std::to_string(service));
        for (std::uint64_t target = 0; target < targetsEach; ++target) {
            router.update(recordOf(service, target), start);
        }
    }
    const std::vector<OrganisationId> ids = organisationsOf(organisations);
    const RandomSource random = seededRandom(2);
    const auto decide = [&](std::uint64_t i) {
        const TimePoint now = start + Step * i;
        const RoutingRequest request{names[random() % names.size()], PriorityLevel{1}, RequestId(i, i), ids[random() % ids.size()], 800, isRestricted};
        const RoutingDecision decision = router.choose(request, now);
        if (decision.choice) {
            router.recordAttemptStart(*decision.choice, now);
            router.recordAttemptEnd(
                *decision.choice, {Verdict::ran(), std::chrono::milliseconds(5), 2'000}, AdmissionHint{PriorityLevel{1}, 0.99, 40, 90}, now);
        }
    };
    measure(Rounds / 4, decide);
    const Cost cost = measure(Rounds, decide);
    fmt::print("bench case=choose-and-complete organisations={} services={} targets={} restricted={} ns={:.0f} allocations={:.5f}\n",
               organisations,
               services,
               services * targetsEach,
               isRestricted ? 1 : 0,
               cost.nanoseconds,
               cost.allocations);
}

void benchLedger()
{
    const TimePoint start(std::chrono::seconds(100));
    ExecutionLedger ledger({}, start);
    const RandomSource random = seededRandom(3);
    // 1,000 requests with an idempotency key per second for twenty minutes.
    const Cost cost = measure(1'200'000, [&](std::uint64_t i) { ledger.begin(RequestId(random(), i), 1, start + std::chrono::milliseconds(1) * i); });
    fmt::print("bench case=ledger-begin ns={:.0f} allocations={:.5f} roots={} bytes_per_root={:.1f}\n",
               cost.nanoseconds,
               cost.allocations,
               ledger.size(),
               static_cast<double>(ledger.bytes()) / static_cast<double>(ledger.size()));
}

void benchQuarantine()
{
    const TimePoint start(std::chrono::seconds(100));
    CrashQuarantine quarantine({}, NodeId("own"));
    const OrganisationId organisation("carrier");
    const RouteName route("route");
    for (std::uint64_t i = 0; i < 4096; ++i) {
        quarantine.merge({{organisation, route, i}, CrashReportKind::Crashed, NodeId("other"), Incarnation{1}}, start);
    }
    bool isAny = false;
    const Cost cost = measure(Rounds, [&](std::uint64_t i) { isAny = isAny || quarantine.isQuarantined({organisation, route, i}, start); });
    fmt::print(
        "bench case=quarantine-check entries={} ns={:.0f} allocations={:.5f}\n", quarantine.size(), cost.nanoseconds, cost.allocations + (isAny ? 1 : 0));
}

void benchLock(unsigned workers)
{
    LoadedTarget load(8, 1);
    std::mutex mutex;
    constexpr std::uint64_t RoundsEach = 100'000;
    const auto begin = Clock::now();
    {
        std::vector<std::jthread> threads;
        for (unsigned i = 0; i < workers; ++i) {
            threads.emplace_back([&] {
                for (std::uint64_t n = 0; n < RoundsEach; ++n) {
                    const std::scoped_lock lock(mutex);
                    load.round();
                }
            });
        }
    }
    const double elapsed = std::chrono::duration<double>(Clock::now() - begin).count();
    const double decisions = 2.0 * RoundsEach * workers;
    fmt::print(
        "bench case=admission-lock workers={} decisions_per_second={:.0f} ns_per_decision={:.0f}\n", workers, decisions / elapsed, elapsed / decisions * 1e9);
}
} // namespace

int main()
{
    benchAdmission(8);
    benchAdmission(10'000);
    benchRouting(8, 4, 4, false);
    benchRouting(8, 4, 4, true);
    benchRouting(10'000, 3'400, 10, false);
    benchRouting(10'000, 3'400, 10, true);
    benchRouting(10'000, 4, 2'000, false);
    benchRouting(10'000, 4, 2'000, true);
    benchLedger();
    benchQuarantine();
    for (const unsigned workers : {1U, 2U, 4U, 8U}) {
        benchLock(workers);
    }
    fmt::print("bench case=overload-state bytes_per_flow={} bytes_per_entry={} bytes_per_target={}\n",
               banyankeel::FairQueue::bytesPerFlow(),
               banyankeel::FairQueue::bytesPerEntry(),
               banyankeel::TargetRouter::bytesPerTarget());
    return 0;
}

#include "coordination/common/random.h"
#include "coordination/common/roothash.h"
#include "coordination/demand/loadmeter.h"
#include "coordination/demand/rootadmission.h"
#include "state/errors.h"
#include "testing/randomrequestid.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
// Orders and histories reach the monitor service through another service, a status request directly; an upload does not need it.
constexpr auto History = RequestKind{1};
constexpr auto Order = RequestKind{2};
constexpr auto Upload = RequestKind{3};
constexpr auto Status = RequestKind{4};
constexpr auto Roster = RequestKind{5};
constexpr auto Telemetry = RequestKind{6};
const ServiceName Archive("archive");
const ServiceName Dispatch("dispatch");
const ServiceName Monitor("monitor");
constexpr RootClass HistoryClass{PriorityLevel{2}, History};
constexpr RootClass OrderClass{PriorityLevel{0}, Order};
constexpr RootClass UploadClass{PriorityLevel{1}, Upload};
constexpr RootClass StatusClass{PriorityLevel{2}, Status};
constexpr double Ratio = 0.2;

/// A telemetry call takes 60 ms, and a history or an order makes four of them; a status takes 950 ms. At rate 1, 631 slots are in use.
FleetLoad usualLoad(double rate)
{
    FleetLoad load;
    load.offeredPerSecond = {{HistoryClass, 1004 * rate}, {OrderClass, 563 * rate}, {UploadClass, 164 * rate}, {StatusClass, 269 * rate}};
    load.calls = {{History, {{Roster, 1}}}, {Order, {{Roster, 1}}}, {Roster, {{Telemetry, 4}}}};
    load.runSeconds = {{History, 0.24}, {Order, 0.31}, {Upload, 0.29}, {Status, 0.95}, {Roster, 0.1}, {Telemetry, 0.06}};
    load.services = {{History, {{Archive, 1}}},
                     {Order, {{Archive, 1}}},
                     {Upload, {{Dispatch, 1}}},
                     {Status, {{Monitor, 1}}},
                     {Roster, {{Dispatch, 1}}},
                     {Telemetry, {{Monitor, 1}}}};
    load.serviceLoads = {{Archive, {5000, 500, 0, 0, 0}}, {Dispatch, {2500, 250, 1567 * rate, 0, 1000}}, {Monitor, {1650, 631 * rate, 6268 * rate, 0, 10'000}}};
    return load;
}

double fractionOf(const RootFractions &fractions, const RootClass &rootClass)
{
    const auto found = fractions.find(rootClass);
    return found == fractions.end() ? 1 : found->second;
}

double slotsUsed(const FleetLoad &load, const RootFractions &fractions)
{
    double used = 0;
    for (const auto &[rootClass, perSecond] : load.offeredPerSecond) {
        const double each = rootClass.kind == Status ? 0.95 : rootClass.kind == Upload ? 0 : 0.24;
        used += perSecond * each * fractionOf(fractions, rootClass);
    }
    return used;
}
} // namespace

BOOST_AUTO_TEST_SUITE(rootadmission)

BOOST_AUTO_TEST_CASE(NothingIsRefusedWithoutAShortage)
{
    BOOST_CHECK(admittedFractions(usualLoad(1)).empty());
    BOOST_CHECK(admittedFractions(usualLoad(2)).empty());
}

BOOST_AUTO_TEST_CASE(ASurgeIsLimitedToTheCapacityOfTheLastService)
{
    FleetLoad load = usualLoad(4);
    load.serviceLoads[Monitor].load = 3'000;
    const RootFractions fractions = admittedFractions(load);
    BOOST_TEST(slotsUsed(load, fractions) <= 1650);
    // Slots must not be left unused.
    BOOST_TEST(slotsUsed(load, fractions) >= 1650 * 0.85);
    BOOST_TEST(fractionOf(fractions, UploadClass) == 1);
    BOOST_TEST(fractionOf(fractions, OrderClass) == 1);
    // Within one priority, the cheaper class gets the larger fraction.
    BOOST_TEST(fractionOf(fractions, HistoryClass) > fractionOf(fractions, StatusClass));
    BOOST_TEST(fractionOf(fractions, StatusClass) > 0);
}

BOOST_AUTO_TEST_CASE(ALowerPriorityNeverGetsALargerFractionOfAShortService)
{
    FleetLoad load = usualLoad(20);
    load.serviceLoads[Monitor].load = 3'000;
    const RootFractions fractions = admittedFractions(load);
    BOOST_TEST(fractionOf(fractions, OrderClass) < 1);
    BOOST_TEST(fractionOf(fractions, HistoryClass) <= fractionOf(fractions, OrderClass));
    BOOST_TEST(fractionOf(fractions, StatusClass) <= fractionOf(fractions, OrderClass));
    BOOST_TEST(fractionOf(fractions, UploadClass) == 1);
}

// Targets reject more than half of their calls: slots are free, but retries are scarce.
BOOST_AUTO_TEST_CASE(RetriedFractionsStayWithinTheAvailableRetries)
{
    FleetLoad load = usualLoad(1.7);
    load.serviceLoads[Monitor].rejectedShare = 0.55;
    load.serviceLoads[Monitor].repeatsLeft = 4'000;
    BOOST_CHECK(admittedFractions(load).empty());
    const RootFractions fractions = retriedFractions(load, Ratio);
    const double retriesPerRoot = 4 * 0.55 / 0.45;
    const double retries = retriesPerRoot * (fractionOf(fractions, OrderClass) * 563 * 1.7 + fractionOf(fractions, HistoryClass) * 1004 * 1.7);
    // The calls of each second add retries to those available.
    const double earned = Ratio * load.serviceLoads[Monitor].callsPerSecond + 1'000;
    BOOST_TEST(retries <= earned + 1);
    BOOST_TEST(retries >= 0.9 * earned);
    BOOST_TEST(fractionOf(fractions, OrderClass) > fractionOf(fractions, HistoryClass));
    // A rejected status request has no upstream work to waste; uploads do not reach the service.
    BOOST_TEST(fractionOf(fractions, StatusClass) == 1);
    BOOST_TEST(fractionOf(fractions, UploadClass) == 1);
}

// Simulates one second of load: retries concentrated on a fraction of the requests complete more of them than the same number of retries
// spread over all.
BOOST_AUTO_TEST_CASE(ConcentratedRetriesCompleteMoreRequestsThanSpreadOnes)
{
    constexpr double Rejected = 0.55;
    constexpr int Calls = 4;
    constexpr int Requests = 2'600;
    FleetLoad load = usualLoad(1.7);
    load.serviceLoads[Monitor].rejectedShare = Rejected;
    load.serviceLoads[Monitor].repeatsLeft = 0;
    load.offeredPerSecond = {{HistoryClass, Requests}};
    load.serviceLoads[Monitor].callsPerSecond = Requests * Calls;
    const double fraction = fractionOf(retriedFractions(load, Ratio), HistoryClass);
    // All requests are in flight together, so their calls interleave; each call adds a fraction of a retry to the budget.
    const auto completedCount = [&](bool isConcentrated) {
        RandomSource random = seededRandom(11);
        double retryBudget = 0;
        std::vector<double> complete;
        complete.reserve(Requests);
        for (int n = 0; n < Requests; ++n) {
            complete.push_back(rootShare(testing::randomRequestId(random)));
        }
        for (int call = 0; call < Calls; ++call) {
            std::erase_if(complete, [&](double share) {
                retryBudget += Ratio;
                const bool mayRetry = !isConcentrated || share < fraction;
                bool isAccepted = uniformReal(random) >= Rejected;
                while (!isAccepted && mayRetry && retryBudget >= 1) {
                    retryBudget -= 1;
                    isAccepted = uniformReal(random) >= Rejected;
                }
                return !isAccepted;
            });
        }
        return complete.size();
    };
    BOOST_TEST(completedCount(true) > completedCount(false));
}

// Reported figures vary a little from second to second. A small cost difference must not deprive a class whose calls are being retried of
// its fraction.
BOOST_AUTO_TEST_CASE(ClassesOfSimilarCostGetSimilarFractions)
{
    constexpr RootClass LateHistory{PriorityLevel{0}, History};
    for (const double difference : {0.95, 1.05}) {
        FleetLoad load = usualLoad(1.7);
        load.offeredPerSecond = {{OrderClass, 563}, {LateHistory, 1004}};
        load.calls[Order][Roster] = difference;
        load.serviceLoads[Monitor].rejectedShare = 0.55;
        load.serviceLoads[Monitor].repeatsLeft = 4'000;
        const RootFractions fractions = retriedFractions(load, Ratio);
        BOOST_TEST(fractionOf(fractions, OrderClass) > 0.8 * fractionOf(fractions, LateHistory));
        BOOST_TEST(fractionOf(fractions, LateHistory) > 0.8 * fractionOf(fractions, OrderClass));
    }
}

BOOST_AUTO_TEST_CASE(AServiceWithoutReportedTargetsIsNotShort)
{
    FleetLoad load = usualLoad(1);
    load.serviceLoads[Monitor].slots = 0;
    load.serviceLoads[Monitor].load = 0;
    BOOST_CHECK(admittedFractions(load).empty());
}

BOOST_AUTO_TEST_CASE(CyclicCallsTerminate)
{
    FleetLoad load = usualLoad(4);
    load.serviceLoads[Monitor].load = 3'000;
    load.calls[Telemetry][Roster] = 0.1;
    BOOST_TEST(!admittedFractions(load).empty());
}

BOOST_AUTO_TEST_CASE(NodesWithTheSameReportsDecideAlike)
{
    const RouteName order("order");
    const RouteName telemetry("telemetry");
    MeshObjects objects{.version = {}, .routes = {}, .services = {}, .organisations = {}, .limits = {}};
    for (const auto &[name, service] : {std::pair(order, Archive), std::pair(telemetry, Monitor)}) {
        objects.routes.push_back({.name = name,
                                  .host = "h",
                                  .pathPrefix = "/",
                                  .repeatability = Repeatability::AtMostOnce,
                                  .timeLimit = 2s,
                                  .targetLatency = 1s,
                                  .priority = PriorityLevel{0},
                                  .services = {{service, 1}},
                                  .maxAttempts = 2,
                                  .isAnonymous = false});
    }
    const RootClass rootClass{PriorityLevel{0}, requestKindOf(order)};
    LoadMeter archive(Archive);
    LoadMeter monitor(Monitor);
    RootAdmission first({.retryRatio = Ratio});
    RootAdmission second({.retryRatio = Ratio});
    first.configure(objects);
    second.configure(objects);
    TimePoint now{1'000s};
    for (int n = 0; n < 4'000; ++n, now += 1ms) {
        archive.rootOffered(rootClass, now);
        archive.runBegan(rootClass.kind, now);
        archive.called(requestKindOf(telemetry), std::nullopt, Monitor, now);
        archive.callArrived(Monitor, false, now);
        archive.runEnded(rootClass.kind, 100ms, true, now);
        monitor.runBegan(requestKindOf(telemetry), now);
        monitor.runEnded(requestKindOf(telemetry), 50ms, true, now);
        monitor.recordLoad(20, now);
    }
    const auto repeatsLeft = [](const ServiceName &) { return 100.0; };
    for (RootAdmission *it : {&first, &second}) {
        it->noteReport(NodeId("a"), archive.report(50, repeatsLeft, now), now);
        it->noteReport(NodeId("m"), monitor.report(20, repeatsLeft, now), now);
    }
    // 1,000 requests per second of 50 ms each need 50 slots; 20 slots can run 0.4 of them.
    int admitted = 0;
    for (std::uint64_t n = 0; n < 1'000; ++n) {
        const RequestId root(n, 7);
        BOOST_CHECK(first.admits(rootClass, root, now) == second.admits(rootClass, root, now));
        admitted += first.admits(rootClass, root, now) ? 1 : 0;
    }
    BOOST_TEST(admitted > 300);
    BOOST_TEST(admitted < 500);
    BOOST_TEST(fractionOf(first.admitted(), rootClass) == fractionOf(second.admitted(), rootClass));
    // Reports that are too old are ignored.
    BOOST_CHECK(first.admits(rootClass, RequestId(1, 1), now + 10s));
    BOOST_CHECK(first.admitted().empty());
}

BOOST_AUTO_TEST_CASE(AChangedRejectedFractionMakesAReportUrgent)
{
    LoadMeter meter(Archive);
    TimePoint now{1'000s};
    const auto call = [&](bool isRejected) {
        meter.called(Telemetry, std::nullopt, Monitor, now);
        meter.callArrived(Monitor, isRejected, now);
        now += 2ms;
    };
    for (int n = 0; n < 200; ++n) {
        call(false);
    }
    const LoadReport before = meter.report(
        10, [](const ServiceName &) { return 0.0; }, now);
    BOOST_TEST(!meter.isReportUrgent(before, now));
    for (int n = 0; n < 200; ++n) {
        call(n % 2 == 0);
    }
    BOOST_TEST(meter.isReportUrgent(before, now));
}

BOOST_AUTO_TEST_CASE(AReportSurvivesEncodingAndDecoding)
{
    const LoadReport report{
        Monitor, 20, 12.5, {{Order, PriorityLevel{3}, 7.25}}, {{Order, Telemetry, 4, 100}}, {{Telemetry, 8, 0.0625}}, {{Monitor, 16, 0.5, 12}}};
    WireWriter writer;
    writeLoadReport(writer, report);
    const std::string bytes = writer.take();
    WireReader reader(bytes, "load");
    BOOST_CHECK(readLoadReport(reader) == report);
    reader.finish();
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        const std::string prefix = bytes.substr(0, n);
        WireReader truncated(prefix, "load");
        BOOST_CHECK_THROW(readLoadReport(truncated), Error);
    }
}

BOOST_AUTO_TEST_SUITE_END()

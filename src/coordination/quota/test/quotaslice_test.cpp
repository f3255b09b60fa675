// Fixed schedules of one lender and its borrowers. Each also runs with a broken rule, which the check must detect.

#include "coordination/quota/quotashare.h"
#include "coordination/quota/test/quotafleet.h"

#include <boost/test/unit_test.hpp>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
constexpr double Rate = 50.0;
constexpr double Burst = 40.0;
constexpr Fence FirstFence{1};
constexpr Fence SecondFence{2};
const OrganisationId Caller("lufthafen");

TimePoint at(Duration time)
{
    return TimePoint(time);
}

// A borrower that takes all available tokens when drained.
struct Borrower {
    explicit Borrower(const char *name)
        : id{NodeId(name), Incarnation{1}}
    {
    }
    QuotaRequestItem ask(TimePoint now, const QuotaSettings &settings)
    {
        return slice.createRequest(Caller, static_cast<QuotaRequestId>(++requestCount), {Rate, Burst}, now, settings);
    }
    void drain(TimePoint now, const QuotaSettings &settings, BoundChecker &checker)
    {
        while (slice.tryTake(now, settings)) {
            checker.granted(now);
        }
    }

    QuotaBorrower id;
    QuotaSlice slice;
    std::uint64_t requestCount = 0;
};

QuotaSettings fullLendingSettings()
{
    QuotaSettings settings;
    settings.rateReserve = 0.0;
    settings.burstReserve = 0.0;
    settings.rateHeadroom = 2.0;
    return settings;
}

QuotaAccount fullAccount()
{
    QuotaAccount account(at(0s), at(0s), true);
    account.setTotal({Rate, Burst});
    return account;
}

// Drains both borrowers at short intervals until @p end.
void drainBothUntil(Borrower &one, Borrower &other, TimePoint begin, TimePoint end, const QuotaSettings &settings, BoundChecker &checker)
{
    for (TimePoint now = begin; now <= end; now += 10ms) {
        one.drain(now, settings, checker);
        other.drain(now, settings, checker);
    }
}

bool boundHoldsWithDuplicateGrant(const QuotaSettings &settings)
{
    BoundChecker checker(Rate, Burst);
    QuotaAccount account = fullAccount();
    Borrower borrower("a");
    const auto grant = account.lend(borrower.id, borrower.ask(at(1s), settings), FirstFence, at(1s), settings);
    borrower.slice.applyGrant(*grant, FirstFence, at(1s), settings);
    borrower.drain(at(1s), settings, checker);
    borrower.slice.applyGrant(*grant, FirstFence, at(1s), settings);
    borrower.drain(at(1s), settings, checker);
    return checker.isHeld();
}

bool boundHoldsWithPausedBorrower(const QuotaSettings &settings)
{
    BoundChecker checker(Rate, Burst);
    QuotaAccount account = fullAccount();
    Borrower paused("a");
    Borrower other("b");
    const auto grant = account.lend(paused.id, paused.ask(at(1s), settings), FirstFence, at(1s), settings);
    const auto later = account.lend(other.id, other.ask(at(5s), settings), FirstFence, at(5s), settings);
    other.slice.applyGrant(*later, FirstFence, at(5s), settings);
    paused.slice.applyGrant(*grant, FirstFence, at(5s), settings);
    drainBothUntil(paused, other, at(5s), at(8s), settings, checker);
    return checker.isHeld();
}

bool boundHoldsWithLateGrant(const QuotaSettings &settings)
{
    BoundChecker checker(Rate, Burst);
    QuotaAccount account = fullAccount();
    Borrower late("a");
    Borrower other("b");
    const auto first = account.lend(late.id, late.ask(at(1s), settings), FirstFence, at(1s), settings);
    QuotaRequestItem second = late.ask(at(1s), settings);
    second.demand = MilliTokens{};
    second.wanted = MilliTokens{};
    account.lend(late.id, second, FirstFence, at(1s), settings);
    const auto next = account.lend(other.id, other.ask(at(2s), settings), FirstFence, at(2s), settings);
    other.slice.applyGrant(*next, FirstFence, at(2s), settings);
    late.slice.applyGrant(*first, FirstFence, at(2s), settings);
    drainBothUntil(late, other, at(2s), at(3s), settings, checker);
    return checker.isHeld();
}

bool boundHoldsThroughHolderChange(const QuotaSettings &settings)
{
    BoundChecker checker(Rate, Burst);
    QuotaAccount former = fullAccount();
    Borrower old("a");
    Borrower fresh("b");
    const auto grant = former.lend(old.id, old.ask(at(1s), settings), FirstFence, at(1s), settings);
    old.slice.applyGrant(*grant, FirstFence, at(1s), settings);
    const TimePoint heldSince = at(2s);
    QuotaAccount successor(heldSince, heldSince + settings.recoveryTime(settings.withDriftMargin(settings.sliceTerm)), false);
    successor.setTotal({Rate, Burst});
    const auto next = successor.lend(fresh.id, fresh.ask(heldSince, settings), SecondFence, heldSince, settings);
    fresh.slice.applyGrant(*next, SecondFence, heldSince, settings);
    drainBothUntil(old, fresh, heldSince, at(4s), settings, checker);
    return checker.isHeld();
}
} // namespace

BOOST_AUTO_TEST_SUITE(quotaslices)

BOOST_AUTO_TEST_CASE(DuplicateGrantIsAppliedOnce)
{
    QuotaSettings settings = fullLendingSettings();
    BOOST_CHECK(boundHoldsWithDuplicateGrant(settings));
    settings.acceptsGrant = [](std::uint64_t answered, std::uint64_t pending) { return pending == 0 || answered == pending; };
    BOOST_CHECK_MESSAGE(!boundHoldsWithDuplicateGrant(settings), "the check must detect a grant that is applied twice");
}

BOOST_AUTO_TEST_CASE(GrantForAnEarlierRequestIsIgnored)
{
    QuotaSettings settings = fullLendingSettings();
    BOOST_CHECK(boundHoldsWithLateGrant(settings));
    settings.acceptsGrant = [](std::uint64_t, std::uint64_t pending) { return pending != 0; };
    BOOST_CHECK_MESSAGE(!boundHoldsWithLateGrant(settings), "the check must detect a grant for an earlier request");
}

BOOST_AUTO_TEST_CASE(SliceTermStartsWhenTheRequestIsSent)
{
    QuotaSettings settings = fullLendingSettings();
    BOOST_CHECK(boundHoldsWithPausedBorrower(settings));
    settings.sliceStart = [](TimePoint, TimePoint received) { return received; };
    BOOST_CHECK_MESSAGE(!boundHoldsWithPausedBorrower(settings), "the check must detect a slice term that is counted from receipt");
}

BOOST_AUTO_TEST_CASE(NewHolderWaitsForSlicesOfItsPredecessorToEnd)
{
    QuotaSettings settings = fullLendingSettings();
    BOOST_CHECK(boundHoldsThroughHolderChange(settings));
    settings.recoveryTime = [](Duration) { return Duration(0); };
    BOOST_CHECK_MESSAGE(!boundHoldsThroughHolderChange(settings), "the check must detect a new holder that does not wait");
}

BOOST_AUTO_TEST_CASE(NewHolderAdoptsSlicesOfItsPredecessor)
{
    const QuotaSettings settings = fullLendingSettings();
    Borrower borrower("a");
    QuotaAccount former = fullAccount();
    borrower.slice.applyGrant(*former.lend(borrower.id, borrower.ask(at(1s), settings), FirstFence, at(1s), settings), FirstFence, at(1s), settings);
    const double rate = borrower.slice.rate();
    QuotaAccount successor(at(2s), at(6s), false);
    successor.setTotal({Rate, Burst});
    const auto grant = successor.lend(borrower.id, borrower.ask(at(2s), settings), SecondFence, at(2s), settings);
    BOOST_CHECK_CLOSE(toTokens(grant->rate), rate, 0.1);
    BOOST_CHECK(grant->tokens == MilliTokens{});
}

BOOST_AUTO_TEST_CASE(NextRequestReleasesTheAmountOfALostGrant)
{
    const QuotaSettings settings = fullLendingSettings();
    Borrower borrower("a");
    QuotaAccount account = fullAccount();
    const auto lost = account.lend(borrower.id, borrower.ask(at(1s), settings), FirstFence, at(1s), settings);
    const auto grant = account.lend(borrower.id, borrower.ask(at(2s), settings), FirstFence, at(2s), settings);
    BOOST_CHECK(grant->capacity == lost->capacity);
    BOOST_CHECK_LE(account.lent().burst, Burst);
}

BOOST_AUTO_TEST_CASE(RegionSharesAddUpToTheLimit)
{
    for (const double burst : {1.0, 3.0, 4.0, 500.0}) {
        const Limit limit{LimitName("common"), 100.0, burst};
        QuotaAmount sum;
        for (std::size_t region = 0; region < 2; ++region) {
            const QuotaAmount share = quotaShare(Caller, limit, region, 2);
            sum = {sum.rate + share.rate, sum.burst + share.burst};
        }
        BOOST_CHECK_EQUAL(sum.rate, limit.ratePerSecond);
        BOOST_CHECK_EQUAL(sum.burst, limit.burst);
    }
}

BOOST_AUTO_TEST_SUITE_END()

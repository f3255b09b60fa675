#include "coordination/demand/callestimator.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
constexpr auto Upload = RequestKind{1};
constexpr auto Read = RequestKind{2};
constexpr auto Lookup = RequestKind{3};

/// Simulates runs with random arrivals that make their calls in the middle of the run. Seeded, on a virtual clock.
class Target
{
public:
    /// @param calls number of calls that a run of each kind makes.
    explicit Target(std::map<RequestKind, int> calls)
        : m_calls(std::move(calls))
    {
    }

    void run(Duration length, const std::map<RequestKind, double> &perSecond)
    {
        std::multimap<TimePoint, std::function<void(TimePoint)>> events;
        for (const auto &[kind, rate] : perSecond) {
            std::exponential_distribution<double> gap(rate);
            for (TimePoint at = m_now + seconds(gap(m_random)); at < m_now + length; at += seconds(gap(m_random))) {
                const Duration time = seconds(std::uniform_real_distribution<double>(0.1, 0.3)(m_random));
                events.emplace(at, [this, kind = kind](TimePoint now) { estimator.runBegan(kind, now); });
                for (int n = 0; n < m_calls[kind]; ++n) {
                    events.emplace(at + time / 2, [this](TimePoint now) { estimator.called(Lookup, std::nullopt, now); });
                }
                events.emplace(at + time, [this, kind = kind](TimePoint now) { estimator.runEnded(kind, now); });
            }
        }
        for (const auto &[at, event] : events) {
            event(at);
        }
        m_now += length;
    }

    [[nodiscard]] double callsOf(RequestKind kind) const
    {
        for (const CallsPerRun &it : estimator.estimates(m_now)) {
            if (it.parent == kind && it.child == Lookup) {
                return it.calls;
            }
        }
        return 0;
    }

    CallEstimator estimator;

private:
    static Duration seconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

    std::map<RequestKind, int> m_calls;
    std::mt19937_64 m_random{3};
    TimePoint m_now{1'000s};
};
} // namespace

BOOST_AUTO_TEST_SUITE(callestimator)

BOOST_AUTO_TEST_CASE(ASingleKindGetsAllCalls)
{
    Target target({{Read, 4}});
    target.run(10s, {{Read, 20}});
    BOOST_TEST(std::abs(target.callsOf(Read) - 4) < 0.4);
}

// Uploads make no calls but always run concurrently with reads that do. Attributing calls to them would refuse uploads without relieving the
// downstream service.
BOOST_AUTO_TEST_CASE(AKindWithoutCallsIsSeparatedFromAConcurrentOne)
{
    Target target({{Read, 4}, {Upload, 0}});
    target.run(10s, {{Read, 20}, {Upload, 5}});
    BOOST_TEST(target.callsOf(Upload) < 1);
    BOOST_TEST(std::abs(target.callsOf(Read) - 4) < 0.8);
}

BOOST_AUTO_TEST_CASE(ACallWithAKnownRunIsAttributedToItsKind)
{
    CallEstimator estimator;
    const TimePoint now{1'000s};
    for (int n = 0; n < 10; ++n) {
        estimator.runBegan(Read, now);
        estimator.runBegan(Upload, now);
        estimator.called(Lookup, Read, now);
        estimator.runEnded(Read, now);
        estimator.runEnded(Upload, now);
    }
    const std::vector<CallsPerRun> estimates = estimator.estimates(now);
    BOOST_REQUIRE(estimates.size() == 1);
    BOOST_CHECK(estimates[0].parent == Read);
    BOOST_TEST(estimates[0].calls == 1);
}

BOOST_AUTO_TEST_CASE(ACallWithoutAnyRunIsIgnored)
{
    CallEstimator estimator;
    estimator.called(Lookup, std::nullopt, TimePoint{1s});
    BOOST_CHECK(estimator.estimates(TimePoint{2s}).empty());
}

BOOST_AUTO_TEST_CASE(AnEndWithoutABeginIsIgnored)
{
    CallEstimator estimator;
    estimator.runEnded(Read, TimePoint{1s});
    estimator.called(Lookup, std::nullopt, TimePoint{1s});
    BOOST_CHECK(estimator.estimates(TimePoint{2s}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

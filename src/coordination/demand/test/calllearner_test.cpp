#include "coordination/demand/calllearner.h"

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

/// Runs of two kinds come by chance and make their calls at chosen moments of the run. Seeded, on a virtual clock.
class Target
{
public:
    /// @param calls that one run of each kind makes.
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
                events.emplace(at, [this, kind = kind](TimePoint now) { learner.runBegan(kind, now); });
                for (int n = 0; n < m_calls[kind]; ++n) {
                    events.emplace(at + time / 2, [this](TimePoint now) { learner.called(Lookup, std::nullopt, now); });
                }
                events.emplace(at + time, [this, kind = kind](TimePoint now) { learner.runEnded(kind, now); });
            }
        }
        for (const auto &[at, event] : events) {
            event(at);
        }
        m_now += length;
    }

    [[nodiscard]] double callsOf(RequestKind kind) const
    {
        for (const CallsPerRun &it : learner.learnt(m_now)) {
            if (it.parent == kind && it.child == Lookup) {
                return it.calls;
            }
        }
        return 0;
    }

    CallLearner learner;

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

BOOST_AUTO_TEST_SUITE(calllearner)

BOOST_AUTO_TEST_CASE(OneKindHasAllCalls)
{
    Target target({{Read, 4}});
    target.run(10s, {{Read, 20}});
    BOOST_TEST(std::abs(target.callsOf(Read) - 4) < 0.4);
}

// Uploads make no calls although they always run beside reads that do: refusing them would not help the service below.
BOOST_AUTO_TEST_CASE(AKindThatMakesNoCallsIsToldFromOneThatRunsBesideIt)
{
    Target target({{Read, 4}, {Upload, 0}});
    target.run(10s, {{Read, 20}, {Upload, 5}});
    BOOST_TEST(target.callsOf(Upload) < 1);
    BOOST_TEST(std::abs(target.callsOf(Read) - 4) < 0.8);
}

BOOST_AUTO_TEST_CASE(ACallThatNamesItsRunIsThatKinds)
{
    CallLearner learner;
    const TimePoint now{1'000s};
    for (int n = 0; n < 10; ++n) {
        learner.runBegan(Read, now);
        learner.runBegan(Upload, now);
        learner.called(Lookup, Read, now);
        learner.runEnded(Read, now);
        learner.runEnded(Upload, now);
    }
    const std::vector<CallsPerRun> learnt = learner.learnt(now);
    BOOST_REQUIRE(learnt.size() == 1);
    BOOST_CHECK(learnt[0].parent == Read);
    BOOST_TEST(learnt[0].calls == 1);
}

BOOST_AUTO_TEST_CASE(ACallWithoutAnyRunIsNobodys)
{
    CallLearner learner;
    learner.called(Lookup, std::nullopt, TimePoint{1s});
    BOOST_CHECK(learner.learnt(TimePoint{2s}).empty());
}

BOOST_AUTO_TEST_CASE(AnEndWithoutABeginIsPassedOver)
{
    CallLearner learner;
    learner.runEnded(Read, TimePoint{1s});
    learner.called(Lookup, std::nullopt, TimePoint{1s});
    BOOST_CHECK(learner.learnt(TimePoint{2s}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

#include "coordination/feed/configurationfeed.h"

#include "state/errors.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <string>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
/// Documents are version numbers in these tests.
MeshConfigurationPointer decodeNumber(const std::string &document)
{
    if (document.empty() || document.find_first_not_of("0123456789") != std::string::npos) {
        throw ValueError("configuration: no number");
    }
    MeshObjects objects{};
    objects.version = static_cast<ConfigurationVersion>(std::stoull(document));
    return std::make_shared<const MeshConfiguration>(std::move(objects));
}

/// A store whose answers the test gives by hand.
class FeedRig
{
public:
    FeedRig()
        : m_feed({.row = {"op", "config"}},
                 {
                     .ask = [this](const StoreRequest &, std::function<void(StoreReply)> reply) { m_asked = std::move(reply); },
                     .follow =
                         [this](const FollowRows &request, std::function<void(FollowReply)> reply) {
                             m_after = request.after;
                             m_wait = request.wait;
                             m_followed = std::move(reply);
                         },
                     .runAfter = [this](Duration, std::function<void()> task) { m_task = std::move(task); },
                     .decode = decodeNumber,
                     .changed = [this](const MeshConfigurationPointer &it) { m_versions.push_back(static_cast<int>(it->version())); },
                     .noteProblem = [this](const std::string &event, const std::string &) { m_problems.push_back(event); },
                     .storeRegained = [this] { ++m_regained; },
                 })
    {
        m_feed.start();
    }

    static std::vector<Row> rowsOf(const std::string &document, RowVersion version)
    {
        return {{{"op", "config"}, document, version}};
    }
    void answerRead(const std::string &document, RowVersion version)
    {
        std::exchange(m_asked, nullptr)(RowsRead{rowsOf(document, version), version});
    }
    void answerFollow(const FollowReply &reply)
    {
        std::exchange(m_followed, nullptr)(reply);
    }
    void runTask()
    {
        std::exchange(m_task, nullptr)();
    }

    std::function<void(StoreReply)> m_asked;
    std::function<void(FollowReply)> m_followed;
    std::function<void()> m_task;
    RowVersion m_after = 0;
    Duration m_wait{};
    std::vector<int> m_versions;
    std::vector<std::string> m_problems;
    int m_regained = 0;
    ConfigurationFeed m_feed;
};

const StoreFailure Unavailable{RunState::NotRun, "503"};
} // namespace

BOOST_AUTO_TEST_SUITE(feed)

BOOST_AUTO_TEST_CASE(ChangesAreFollowedFromTheVersionThatWasRead)
{
    FeedRig rig;
    rig.answerRead("3", 40);
    BOOST_CHECK_EQUAL(rig.m_after, 40);
    rig.answerFollow(RowsChanged{FeedRig::rowsOf("5", 44), 44});
    BOOST_CHECK_EQUAL(rig.m_after, 44);
    BOOST_CHECK((rig.m_versions == std::vector<int>{3, 5}));
}

BOOST_AUTO_TEST_CASE(AConfigurationNeverGoesBack)
{
    FeedRig rig;
    rig.answerRead("7", 40);
    rig.m_feed.offered("6");
    rig.answerFollow(RowsChanged{FeedRig::rowsOf("5", 44), 44});
    rig.answerFollow(HistoryLost{});
    rig.answerRead("4", 45);
    BOOST_CHECK((rig.m_versions == std::vector<int>{7}));
}

BOOST_AUTO_TEST_CASE(LostHistoryIsReadAnew)
{
    FeedRig rig;
    rig.answerRead("3", 40);
    rig.answerFollow(HistoryLost{});
    BOOST_REQUIRE(rig.m_asked);
    rig.answerRead("9", 90);
    BOOST_CHECK_EQUAL(rig.m_after, 90);
    BOOST_CHECK((rig.m_versions == std::vector<int>{3, 9}));
}

BOOST_AUTO_TEST_CASE(AnUnreadableDocumentLeavesTheLastOneInForce)
{
    FeedRig rig;
    rig.answerRead("3", 40);
    rig.answerFollow(RowsChanged{FeedRig::rowsOf("{cut", 41), 41});
    BOOST_CHECK_EQUAL(static_cast<int>(rig.m_feed.version()), 3);
    BOOST_CHECK_EQUAL(rig.m_after, 41);
    BOOST_CHECK((rig.m_problems == std::vector<std::string>{"configuration-unreadable"}));
}

BOOST_AUTO_TEST_CASE(AStoreThatIsAwayIsAskedAgainFromWhereItWasLeft)
{
    FeedRig rig;
    rig.answerRead("3", 40);
    rig.answerFollow(Unavailable);
    BOOST_CHECK(!rig.m_feed.isStoreReachable());
    rig.runTask();
    BOOST_CHECK_EQUAL(rig.m_after, 40);
    rig.answerFollow(Unavailable);
    rig.runTask();
    rig.answerFollow(RowsChanged{FeedRig::rowsOf("4", 50), 50});
    BOOST_CHECK_EQUAL(rig.m_regained, 1);
    BOOST_CHECK((rig.m_problems == std::vector<std::string>{"store-lost"}));
    BOOST_CHECK((rig.m_versions == std::vector<int>{3, 4}));
}

BOOST_AUTO_TEST_CASE(APeersConfigurationCountsWhileTheStoreIsAway)
{
    FeedRig rig;
    std::exchange(rig.m_asked, nullptr)(Unavailable);
    rig.m_feed.offered("8");
    BOOST_CHECK((rig.m_versions == std::vector<int>{8}));
}

BOOST_AUTO_TEST_CASE(ALongerWaitHoldsFromTheNextQuestionOn)
{
    FeedRig rig;
    rig.answerRead("1", 5);
    const Duration first = rig.m_wait;
    rig.m_feed.setWait(10s);
    rig.answerFollow(RowsChanged{{}, 5});
    BOOST_CHECK(rig.m_wait == 10s);
    BOOST_CHECK(first < rig.m_wait);
}

BOOST_AUTO_TEST_SUITE_END()

#include "coordination/configuration/publishoperation.h"
#include "coordination/configuration/snapshotoperation.h"
#include "testing/memorystore.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

using namespace banyankeel;
using namespace banyankeel::testing;

namespace
{
const ConfigurationCheck AcceptAll = [](const ConfigurationSet & /*set*/) { return std::vector<std::string>(); };

ConfigurationChange levelOf(const std::string &priority, unsigned level)
{
    return {.put = {Priority{PriorityName(priority), static_cast<PriorityLevel>(level)}}, .removed = {}};
}

PublishOperation operation(const std::string &id,
                           const ConfigurationSet &edited,
                           const ConfigurationChange &change,
                           const PublishRules &rules = {},
                           const ConfigurationCheck &check = AcceptAll)
{
    PublishSettings settings{.operation = OperationId(id), .author = "eleni", .time = {}};
    settings.rules = rules;
    return {settings, edited, change, check};
}

/// What becomes of the n-th request of an operation, counted from zero.
enum class Fate { Applied, ReplyLost, Lost, LostNotRun };

PublishOutcome drive(PublishOperation &publish, MemoryStore &store, const std::vector<Fate> &fates = {})
{
    std::size_t n = 0;
    std::optional<StoreRequest> request = publish.start();
    while (request) {
        const Fate fate = n < fates.size() ? fates[n] : Fate::Applied;
        ++n;
        StoreReply reply = StoreFailure{fate == Fate::LostNotRun ? RunState::NotRun : RunState::MayHaveRun, "time limit"};
        if (fate == Fate::Applied || fate == Fate::ReplyLost) {
            const StoreReply applied = store.apply(*request);
            reply = fate == Fate::Applied ? applied : reply;
        }
        request = publish.advance(reply);
    }
    return publish.outcome();
}

std::vector<ChangeRow> historyIn(MemoryStore &store)
{
    return historyOf(std::get<RowsRead>(store.apply(historyRequest(0, 1000))));
}

ConfigurationSet publishedSet(MemoryStore &store, unsigned count)
{
    ConfigurationSet set;
    for (unsigned n = 0; n < count; ++n) {
        PublishOperation publish = operation(fmt::format("seed{}", n), set, levelOf(fmt::format("s{}", n), n));
        drive(publish, store);
        set = publish.set();
    }
    return set;
}

/// Two operators that read the same head before either writes. Returns how many of them were told that they won.
unsigned raceWinners(MemoryStore &store, const ConfigurationChange &left, const ConfigurationChange &right, const PublishRules &rules)
{
    PublishOperation first = operation("first", {}, left, rules);
    PublishOperation second = operation("second", {}, right, rules);
    const auto firstWrite = first.advance(store.apply(first.start()));
    const auto secondWrite = second.advance(store.apply(second.start()));
    unsigned winners = 0;
    for (auto [publish, request] : {std::pair(&first, firstWrite), std::pair(&second, secondWrite)}) {
        while (request) {
            request = publish->advance(store.apply(*request));
        }
        winners += std::holds_alternative<PublishAccepted>(publish->outcome()) ? 1 : 0;
    }
    return winners;
}
} // namespace

BOOST_AUTO_TEST_SUITE(publishoperation)

BOOST_AUTO_TEST_CASE(RacingOperatorsGetOneWinnerAndOneConflictThatNamesTheObject)
{
    MemoryStore store;
    PublishOperation first = operation("first", {}, levelOf("high", 1));
    PublishOperation second = operation("second", {}, levelOf("high", 2));
    const auto firstWrite = first.advance(store.apply(first.start()));
    const auto secondWrite = second.advance(store.apply(second.start()));
    BOOST_CHECK(!first.advance(store.apply(*firstWrite)));
    BOOST_CHECK(first.outcome() == PublishOutcome(PublishAccepted{1}));
    auto request = second.advance(store.apply(*secondWrite));
    while (request) {
        request = second.advance(store.apply(*request));
    }
    const auto *conflict = std::get_if<PublishConflict>(&second.outcome());
    BOOST_REQUIRE(conflict != nullptr);
    BOOST_CHECK(conflict->objects == (std::vector<ObjectName>{{ObjectKind::Priority, "high"}}));
    BOOST_CHECK(conflict->others == (std::vector<std::string>{"revision=1 operation=first author=eleni"}));
}

BOOST_AUTO_TEST_CASE(RacingChangesOfOtherObjectsBothWin)
{
    MemoryStore store;
    BOOST_CHECK_EQUAL(raceWinners(store, levelOf("high", 1), levelOf("low", 2), {}), 2U);
    BOOST_CHECK_EQUAL(historyIn(store).size(), 2U);
}

BOOST_AUTO_TEST_CASE(CheckerCatchesWritesThatExpectNoVersion)
{
    PublishRules rules;
    rules.expectedVersion = [](RowVersion) { return std::optional<RowVersion>(); };
    MemoryStore store;
    BOOST_CHECK_EQUAL(raceWinners(store, levelOf("high", 1), levelOf("high", 2), rules), 2U);
    MemoryStore intact;
    BOOST_CHECK_EQUAL(raceWinners(intact, levelOf("high", 1), levelOf("high", 2), {}), 1U);
}

BOOST_AUTO_TEST_CASE(RebasedChangeIsCheckedOnTheMergedSet)
{
    MemoryStore store;
    const ConfigurationSet edited = publishedSet(store, 2);
    PublishOperation other = operation("other", edited, {.put = {}, .removed = {{ObjectKind::Priority, "s0"}}});
    drive(other, store);
    const ConfigurationCheck needsFirst = [](const ConfigurationSet &set) {
        return set.find({ObjectKind::Priority, "s0"}) == nullptr ? std::vector<std::string>{"s0 is missing"} : std::vector<std::string>();
    };
    PublishOperation publish = operation("mine", edited, levelOf("s1", 9), {}, needsFirst);
    BOOST_CHECK(drive(publish, store) == PublishOutcome(PublishRefused{3, {"s0 is missing"}}));
    BOOST_CHECK_EQUAL(historyIn(store).size(), 3U);
}

BOOST_AUTO_TEST_CASE(AcknowledgementLostAfterTheWriteIsResolvedByReadingBack)
{
    MemoryStore store;
    PublishOperation publish = operation("mine", {}, levelOf("high", 1));
    BOOST_CHECK(drive(publish, store, {Fate::Applied, Fate::ReplyLost}) == PublishOutcome(PublishAccepted{1}));
    BOOST_CHECK_EQUAL(historyIn(store).size(), 1U);
    BOOST_REQUIRE(publish.delta().has_value());
    BOOST_CHECK(publish.delta()->digest == digestOf(publish.set()));
}

BOOST_AUTO_TEST_CASE(CheckerCatchesThatTheOwnWriteIsNotRecognised)
{
    PublishRules rules;
    rules.isOwnChange = [](const ChangeRow &, const OperationId &) { return false; };
    MemoryStore store;
    PublishOperation publish = operation("mine", {}, levelOf("high", 1), rules);
    BOOST_CHECK(drive(publish, store, {Fate::Applied, Fate::ReplyLost}) != PublishOutcome(PublishAccepted{1}));
}

BOOST_AUTO_TEST_CASE(StoreThatStaysDownAfterTheWriteLeavesTheOutcomeUnknownAndTheSameOperationFindsIt)
{
    MemoryStore store;
    const std::vector<Fate> fates = {Fate::Applied, Fate::ReplyLost, Fate::Lost, Fate::Lost, Fate::Lost, Fate::Lost, Fate::Lost, Fate::Lost, Fate::Lost};
    PublishOperation publish = operation("mine", {}, levelOf("high", 1));
    const PublishOutcome outcome = drive(publish, store, fates);
    const auto *unknown = std::get_if<PublishUnknown>(&outcome);
    BOOST_REQUIRE(unknown != nullptr);
    BOOST_CHECK(unknown->operation == OperationId("mine"));
    PublishOperation again = operation("mine", {}, levelOf("high", 1));
    BOOST_CHECK(drive(again, store) == PublishOutcome(PublishAccepted{1}));
    BOOST_CHECK_EQUAL(historyIn(store).size(), 1U);
}

BOOST_AUTO_TEST_CASE(StoreThatIsDownBeforeAnyWriteMeansNotPublished)
{
    MemoryStore store;
    PublishOperation unread = operation("mine", {}, levelOf("high", 1));
    BOOST_CHECK(std::holds_alternative<PublishUnavailable>(drive(unread, store, std::vector<Fate>(8, Fate::Lost))));
    std::vector<Fate> refused;
    for (int n = 0; n < 8; ++n) {
        refused.insert(refused.end(), {Fate::Applied, Fate::LostNotRun});
    }
    PublishOperation unwritten = operation("mine", {}, levelOf("high", 1));
    BOOST_CHECK(std::holds_alternative<PublishUnavailable>(drive(unwritten, store, refused)));
    BOOST_CHECK(historyIn(store).empty());
}

BOOST_AUTO_TEST_CASE(SnapshotCoversRemovedChangeRows)
{
    MemoryStore store;
    const ConfigurationSet set = publishedSet(store, 20);
    SnapshotOperation snapshot({.interval = 10, .keptChanges = 5}, set, digestOf(set));
    std::optional<StoreRequest> request = snapshot.start();
    while (request) {
        request = snapshot.advance(store.apply(*request));
    }
    BOOST_CHECK_EQUAL(historyIn(store).size(), 6U);

    ConfigurationLoad load({}, {});
    StoreRequest read = load.first();
    while (load.advance(store.apply(read)) == ConfigurationLoad::Step::Ask) {
        read = load.next();
    }
    BOOST_CHECK(load.set() == set);
    BOOST_CHECK(load.usedSnapshot());
}

BOOST_AUTO_TEST_SUITE_END()

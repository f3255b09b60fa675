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

ConfigurationChange priorityChange(const std::string &priority, unsigned level)
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

/// What happens to one store request and its reply.
enum class Delivery { Applied, ReplyLost, Lost, LostNotRun };

PublishOutcome runPublish(PublishOperation &publish, MemoryStore &store, const std::vector<Delivery> &deliveries = {})
{
    std::size_t n = 0;
    std::optional<StoreRequest> request = publish.start();
    while (request) {
        const Delivery delivery = n < deliveries.size() ? deliveries[n] : Delivery::Applied;
        ++n;
        StoreReply reply = StoreFailure{delivery == Delivery::LostNotRun ? RunState::NotRun : RunState::MayHaveRun, "time limit"};
        if (delivery == Delivery::Applied || delivery == Delivery::ReplyLost) {
            const StoreReply applied = store.apply(*request);
            reply = delivery == Delivery::Applied ? applied : reply;
        }
        request = publish.advance(reply);
    }
    return publish.outcome();
}

std::vector<ChangeRow> readHistory(MemoryStore &store)
{
    return decodeHistory(std::get<RowsRead>(store.apply(historyRequest(0, 1000))));
}

ConfigurationSet publishedSet(MemoryStore &store, unsigned count)
{
    ConfigurationSet set;
    for (unsigned n = 0; n < count; ++n) {
        PublishOperation publish = operation(fmt::format("seed{}", n), set, priorityChange(fmt::format("s{}", n), n));
        runPublish(publish, store);
        set = publish.set();
    }
    return set;
}

/// Runs two publishes that both read the head before either writes. Returns how many of them report acceptance.
unsigned countAcceptedPublishes(MemoryStore &store, const ConfigurationChange &left, const ConfigurationChange &right, const PublishRules &rules)
{
    PublishOperation first = operation("first", {}, left, rules);
    PublishOperation second = operation("second", {}, right, rules);
    const auto firstWrite = first.advance(store.apply(first.start()));
    const auto secondWrite = second.advance(store.apply(second.start()));
    unsigned acceptedCount = 0;
    for (auto [publish, request] : {std::pair(&first, firstWrite), std::pair(&second, secondWrite)}) {
        while (request) {
            request = publish->advance(store.apply(*request));
        }
        acceptedCount += std::holds_alternative<PublishAccepted>(publish->outcome()) ? 1 : 0;
    }
    return acceptedCount;
}
} // namespace

BOOST_AUTO_TEST_SUITE(publishoperation)

BOOST_AUTO_TEST_CASE(ConcurrentPublishesOfOneObjectGiveOneAcceptanceAndOneConflictNamingTheObject)
{
    MemoryStore store;
    PublishOperation first = operation("first", {}, priorityChange("high", 1));
    PublishOperation second = operation("second", {}, priorityChange("high", 2));
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

BOOST_AUTO_TEST_CASE(ConcurrentPublishesOfDifferentObjectsAreBothAccepted)
{
    MemoryStore store;
    BOOST_CHECK_EQUAL(countAcceptedPublishes(store, priorityChange("high", 1), priorityChange("low", 2), {}), 2U);
    BOOST_CHECK_EQUAL(readHistory(store).size(), 2U);
}

BOOST_AUTO_TEST_CASE(CheckerDetectsWritesWithoutExpectedVersion)
{
    PublishRules rules;
    rules.expectedVersion = [](RowVersion) { return std::optional<RowVersion>(); };
    MemoryStore store;
    BOOST_CHECK_EQUAL(countAcceptedPublishes(store, priorityChange("high", 1), priorityChange("high", 2), rules), 2U);
    MemoryStore defaultRulesStore;
    BOOST_CHECK_EQUAL(countAcceptedPublishes(defaultRulesStore, priorityChange("high", 1), priorityChange("high", 2), {}), 1U);
}

BOOST_AUTO_TEST_CASE(RebasedChangeIsValidatedOnTheMergedSet)
{
    MemoryStore store;
    const ConfigurationSet edited = publishedSet(store, 2);
    PublishOperation other = operation("other", edited, {.put = {}, .removed = {{ObjectKind::Priority, "s0"}}});
    runPublish(other, store);
    const ConfigurationCheck needsFirst = [](const ConfigurationSet &set) {
        return set.find({ObjectKind::Priority, "s0"}) == nullptr ? std::vector<std::string>{"s0 is missing"} : std::vector<std::string>();
    };
    PublishOperation publish = operation("mine", edited, priorityChange("s1", 9), {}, needsFirst);
    BOOST_CHECK(runPublish(publish, store) == PublishOutcome(PublishRefused{3, {"s0 is missing"}}));
    BOOST_CHECK_EQUAL(readHistory(store).size(), 3U);
}

BOOST_AUTO_TEST_CASE(LostWriteAcknowledgementIsResolvedByReadingBack)
{
    MemoryStore store;
    PublishOperation publish = operation("mine", {}, priorityChange("high", 1));
    BOOST_CHECK(runPublish(publish, store, {Delivery::Applied, Delivery::ReplyLost}) == PublishOutcome(PublishAccepted{1}));
    BOOST_CHECK_EQUAL(readHistory(store).size(), 1U);
    BOOST_REQUIRE(publish.delta().has_value());
    BOOST_CHECK(publish.delta()->digest == digestOf(publish.set()));
}

BOOST_AUTO_TEST_CASE(CheckerDetectsUnrecognisedOwnWrite)
{
    PublishRules rules;
    rules.isOwnChange = [](const ChangeRow &, const OperationId &) { return false; };
    MemoryStore store;
    PublishOperation publish = operation("mine", {}, priorityChange("high", 1), rules);
    BOOST_CHECK(runPublish(publish, store, {Delivery::Applied, Delivery::ReplyLost}) != PublishOutcome(PublishAccepted{1}));
}

BOOST_AUTO_TEST_CASE(OutcomeIsUnknownWhenStoreFailsAfterWriteAndRerunFindsTheChange)
{
    MemoryStore store;
    const std::vector<Delivery> deliveries = {
        Delivery::Applied, Delivery::ReplyLost, Delivery::Lost, Delivery::Lost, Delivery::Lost, Delivery::Lost, Delivery::Lost, Delivery::Lost, Delivery::Lost};
    PublishOperation publish = operation("mine", {}, priorityChange("high", 1));
    const PublishOutcome outcome = runPublish(publish, store, deliveries);
    const auto *unknown = std::get_if<PublishUnknown>(&outcome);
    BOOST_REQUIRE(unknown != nullptr);
    BOOST_CHECK(unknown->operation == OperationId("mine"));
    PublishOperation again = operation("mine", {}, priorityChange("high", 1));
    BOOST_CHECK(runPublish(again, store) == PublishOutcome(PublishAccepted{1}));
    BOOST_CHECK_EQUAL(readHistory(store).size(), 1U);
}

BOOST_AUTO_TEST_CASE(StoreFailureBeforeAnyWriteMeansNotPublished)
{
    MemoryStore store;
    PublishOperation unread = operation("mine", {}, priorityChange("high", 1));
    BOOST_CHECK(std::holds_alternative<PublishUnavailable>(runPublish(unread, store, std::vector<Delivery>(8, Delivery::Lost))));
    std::vector<Delivery> refused;
    for (int n = 0; n < 8; ++n) {
        refused.insert(refused.end(), {Delivery::Applied, Delivery::LostNotRun});
    }
    PublishOperation unwritten = operation("mine", {}, priorityChange("high", 1));
    BOOST_CHECK(std::holds_alternative<PublishUnavailable>(runPublish(unwritten, store, refused)));
    BOOST_CHECK(readHistory(store).empty());
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
    BOOST_CHECK_EQUAL(readHistory(store).size(), 6U);

    ConfigurationLoader load({}, {});
    StoreRequest read = load.firstRequest();
    while (load.advance(store.apply(read)) == ConfigurationLoader::Step::Continue) {
        read = load.nextRequest();
    }
    BOOST_CHECK(load.set() == set);
    BOOST_CHECK(load.usedSnapshot());
}

BOOST_AUTO_TEST_SUITE_END()

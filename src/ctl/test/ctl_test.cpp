#include "ctl/changetext.h"
#include "ctl/configurationclient.h"
#include "ctl/ctlerror.h"
#include "ctl/ctlsettings.h"
#include "ctl/fleetview.h"
#include "ctl/publisher.h"
#include "ctl/statustext.h"
#include "ctl/timeargument.h"
#include "testing/memorystore.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <sstream>

using namespace banyankeel;
using namespace banyankeel::testing;
using namespace std::chrono_literals;

namespace
{
/// Outcome of writes to the store.
enum class WriteBehaviour { Applied, ReplyLost, Lost };

/// In-memory store, nodes with a configuration revision, and a clock that advances on each sleep.
struct TestEnvironment {
    MemoryStore store;
    WriteBehaviour writes = WriteBehaviour::Applied;
    /// Revision of each node by address; empty if the node does not respond.
    std::map<Endpoint, std::optional<Revision>> nodes;
    TimePoint now{};
    /// Called at each sleep.
    std::function<void()> onSleep = [] {};
    std::ostringstream results;
    std::ostringstream messages;
    CtlOutput output{OutputFormat::Text, false, results, messages};
    ConfigurationClient client{[this](const StoreRequest &request) { return apply(request); }};

    StoreReply apply(const StoreRequest &request)
    {
        if (!std::holds_alternative<WriteRows>(request) || writes == WriteBehaviour::Applied) {
            return store.apply(request);
        }
        if (writes == WriteBehaviour::ReplyLost) {
            store.apply(request);
        }
        return StoreFailure{RunState::MayHaveRun, "time limit"};
    }

    CtlClock clock()
    {
        return {
            .now = [this] { return now; },
            .wallNow = [] { return WallTime(std::chrono::hours(1)); },
            .sleep =
                [this](Duration duration) {
                    now += duration;
                    onSleep();
                },
        };
    }

    std::string statusJson(const Endpoint &address)
    {
        nlohmann::json json{{"node", "node-" + address.address()}, {"region", "muc"}, {"failureDomain", "muc-a"}, {"state", "serving"}};
        json["revision"] = *nodes.at(address);
        json["stalenessMs"] = 120;
        for (const auto &[peer, revision] : nodes) {
            json["peers"].push_back({{"node", "x"}, {"endpoint", peer.address() + ":7001"}});
        }
        return json.dump();
    }

    NodeCalls nodeCalls()
    {
        return [this](const std::vector<Endpoint> &addresses, const std::string & /*method*/, const std::string & /*target*/) {
            std::vector<HttpResult> answers;
            for (const Endpoint &address : addresses) {
                HttpResult result{.response = std::nullopt, .runState = RunState::NotRun, .reason = Reason::ConnectionLost, .detail = "refused"};
                const auto it = nodes.find(address);
                if (it != nodes.end() && it->second) {
                    result = {.response = HttpResponse{200, {}, statusJson(address)}, .runState = RunState::Ran, .reason = Reason::None, .detail = ""};
                }
                answers.push_back(result);
            }
            return answers;
        };
    }
};

CtlSettings settingsWith(const Endpoint &node)
{
    CtlSettings settings;
    settings.nodes = {node};
    return settings;
}

ConfigurationChange limitChange(double rate)
{
    return {.put = {Limit{LimitName("large"), rate, 10}}, .removed = {}};
}

PublishOptions optionsFor(const char *operation, bool wait)
{
    return {.operation = OperationId(operation), .author = "eleni", .expectedRevision = std::nullopt, .wait = wait, .waitTimeout = 10s};
}

ExitStatus exitStatusOf(const std::function<void()> &command)
{
    try {
        command();
    } catch (const CtlError &error) {
        BOOST_TEST_MESSAGE(error.what());
        return error.status();
    }
    return ExitStatus::Success;
}
} // namespace

BOOST_AUTO_TEST_SUITE(ctl)

BOOST_AUTO_TEST_CASE(PublishReportsUnknownAfterLostWriteAndCanBeRepeated)
{
    TestEnvironment env;
    Publisher publisher(env.client, nullptr, env.output, env.clock());
    env.writes = WriteBehaviour::Lost;
    BOOST_CHECK(exitStatusOf([&] { publisher.publish(optionsFor("op1", false), {}, limitChange(5)); }) == ExitStatus::Unknown);
    env.writes = WriteBehaviour::Applied;
    BOOST_CHECK_EQUAL(publisher.publish(optionsFor("op1", false), env.client.load(), limitChange(5)), 1U);
    // A repeated operation ID returns the recorded revision even if the change differs.
    BOOST_CHECK_EQUAL(publisher.publish(optionsFor("op1", false), env.client.load(), limitChange(6)), 1U);
    BOOST_CHECK_EQUAL(env.client.history(10).size(), 1U);
    BOOST_CHECK_EQUAL(env.client.findOperation(OperationId("op1"))->revision, 1U);
}

BOOST_AUTO_TEST_CASE(RepeatAfterLostReplyDoesNotPublishTwice)
{
    TestEnvironment env;
    env.writes = WriteBehaviour::ReplyLost;
    Publisher publisher(env.client, nullptr, env.output, env.clock());
    exitStatusOf([&] { publisher.publish(optionsFor("op1", false), {}, limitChange(5)); });
    env.writes = WriteBehaviour::Applied;
    BOOST_CHECK_EQUAL(publisher.publish(optionsFor("op1", false), env.client.load(), limitChange(5)), 1U);
    BOOST_CHECK_EQUAL(env.client.history(10).size(), 1U);
}

BOOST_AUTO_TEST_CASE(InvalidConfigurationAndUnexpectedRevisionAreRefused)
{
    TestEnvironment env;
    Publisher publisher(env.client, nullptr, env.output, env.clock());
    BOOST_CHECK(exitStatusOf([&] { publisher.publish(optionsFor("op1", false), {}, limitChange(0)); }) == ExitStatus::Invalid);
    PublishOptions options = optionsFor("op2", false);
    options.expectedRevision = 4;
    BOOST_CHECK(exitStatusOf([&] { publisher.publish(options, {}, limitChange(5)); }) == ExitStatus::Conflict);
    BOOST_CHECK(env.client.history(10).empty());
}

BOOST_AUTO_TEST_CASE(PublishWaitsUntilAllReachableNodesHaveTheRevision)
{
    TestEnvironment env;
    const Endpoint first("127.0.0.1", 9090);
    const Endpoint second("127.0.0.2", 9090);
    const Endpoint unreachable("127.0.0.3", 9090);
    env.nodes = {{first, Revision{0}}, {second, Revision{0}}, {unreachable, std::nullopt}};
    FleetView fleet(settingsWith(first), env.nodeCalls());
    int sleeps = 0;
    env.onSleep = [&] { env.nodes[++sleeps == 1 ? first : second] = Revision{1}; };
    Publisher publisher(env.client, &fleet, env.output, env.clock());
    publisher.publish(optionsFor("op1", true), {}, limitChange(5));
    BOOST_CHECK_EQUAL(sleeps, 2);
    BOOST_CHECK(env.messages.str().find("revision 1 in force on 1 of 2 nodes, 1 without answer") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(PublishTimesOutAfterAcceptedRevisionIsNotActive)
{
    TestEnvironment env;
    const Endpoint node("127.0.0.1", 9090);
    env.nodes = {{node, Revision{0}}};
    FleetView fleet(settingsWith(node), env.nodeCalls());
    Publisher publisher(env.client, &fleet, env.output, env.clock());
    BOOST_CHECK(exitStatusOf([&] { publisher.publish(optionsFor("op1", true), {}, limitChange(5)); }) == ExitStatus::TimedOut);
    BOOST_CHECK_EQUAL(env.client.load().revision(), 1U);
}

BOOST_AUTO_TEST_CASE(StatusListsNodesByZoneAndUnreachableNodes)
{
    TestEnvironment env;
    const Endpoint first("127.0.0.1", 9090);
    env.nodes = {{first, Revision{3}}, {Endpoint("127.0.0.2", 9090), std::nullopt}};
    FleetView fleet(settingsWith(first), env.nodeCalls());
    const std::string text = statusText(fleet.queryNodes(), env.output);
    BOOST_CHECK(text.starts_with("muc muc-a\n  node-127.0.0.1 "));
    BOOST_CHECK(text.find("127.0.0.2:9090 no answer") != std::string::npos);
    BOOST_CHECK(text.find("revision 3 in force on 1") != std::string::npos);
    BOOST_CHECK(fleet.find("node-127.0.0.1") == first);
    BOOST_CHECK(exitStatusOf([&] { fleet.find("other"); }) == ExitStatus::Failed);
    BOOST_CHECK(exitStatusOf([&] { FleetView({}, env.nodeCalls()); }) == ExitStatus::UsageError);
}

BOOST_AUTO_TEST_CASE(FileWithoutKeysKeepsExistingKeys)
{
    const Key key{KeyId("k"), OrganisationId("o1"), std::string(16, 's'), std::string(32, 'h')};
    const ConfigurationSet current = ConfigurationSet().with({.put = {key, Priority{PriorityName("p"), PriorityLevel{0}}}, .removed = {}}, 4);
    const ConfigurationSet file = ConfigurationSet().with(limitChange(5), 0);
    const ConfigurationChange kept = changeToFile(current, file, false);
    BOOST_CHECK(kept.removed == (std::vector<ObjectName>{{ObjectKind::Priority, "p"}}));
    BOOST_CHECK_EQUAL(changeToFile(current, file, true).removed.size(), 2U);
    std::ostringstream sink;
    const CtlOutput terminal(OutputFormat::Text, true, sink, sink);
    const CtlOutput piped(OutputFormat::Text, false, sink, sink);
    BOOST_CHECK_EQUAL(changeText(kept, current, piped), "+ limit large\n- priority p\n");
    BOOST_CHECK(changeText(kept, current, terminal).find('\x1b') != std::string::npos);
    BOOST_CHECK(withoutKeys(current).find({ObjectKind::Key, "k"}) == nullptr);
}

BOOST_AUTO_TEST_CASE(SettingsAndTimesAreValidated)
{
    const CtlSettings settings = readCtlSettings("store: {address: 127.0.0.1:6000, token: t}\noperator_token: o\nnodes: [127.0.0.1:9090]\n", "ctl.yaml");
    BOOST_CHECK_EQUAL(settings.store->address.port(), 6000);
    BOOST_CHECK_EQUAL(settings.nodes.size(), 1U);
    BOOST_CHECK_EXCEPTION(readCtlSettings("store: {address: here}\nnodes: [9090]\ncolour: red\n", "ctl.yaml"), SettingsError, [](const SettingsError &error) {
        const std::string text = error.what();
        return std::count(text.begin(), text.end(), '\n') == 3 && text.find("ctl.yaml:2: settings: field nodes") != std::string::npos;
    });
    const WallTime now(std::chrono::hours(100));
    BOOST_CHECK(parseTime("10m", now) == now - 10min);
    BOOST_CHECK(parseTime("1970-01-02T00:00:01Z", now) == WallTime(24h + 1s));
    BOOST_CHECK(exitStatusOf([&] { parseTime("yesterday", now); }) == ExitStatus::UsageError);
}

BOOST_AUTO_TEST_SUITE_END()

#include "state/errors.h"
#include "timeline/mergedtimeline.h"
#include "timeline/timelinecodec.h"
#include "timeline/timelinefilter.h"
#include "timeline/timelinepage.h"
#include "timeline/timelinering.h"
#include "timeline/timelinetext.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>

using namespace banyankeel;
using namespace std::chrono_literals;

namespace
{
/// Records events of a process whose wall clock is ahead of the reference time by a fixed offset. The monotonic clock has an epoch of its own.
class SkewedProcess
{
public:
    SkewedProcess(const char *name, std::chrono::microseconds clockOffset)
        : m_node(name)
        , m_clockOffset(clockOffset)
    {
    }

    void at(std::chrono::microseconds time, TimelineKind kind, std::uint64_t link = 0, std::string detail = {}, std::optional<RequestId> root = {})
    {
        const WallTime wall(std::chrono::hours(1000) + time + m_clockOffset);
        m_events.push_back({wall, TimePoint(time + 77s), m_node, Incarnation{1}, m_events.size(), {kind, root, link, std::move(detail)}});
    }
    std::vector<TimelineEvent> &events()
    {
        return m_events;
    }

private:
    NodeId m_node;
    std::chrono::microseconds m_clockOffset;
    std::vector<TimelineEvent> m_events;
};

std::vector<TimelineEvent> concatenateEvents(std::initializer_list<SkewedProcess *> processes)
{
    std::vector<TimelineEvent> events;
    for (SkewedProcess *it : processes) {
        events.insert(events.end(), it->events().begin(), it->events().end());
    }
    return events;
}

std::string eventOrder(const MergedTimeline &timeline)
{
    std::string order;
    for (const MergedEvent &it : timeline.events) {
        order += it.event.node.text() + std::to_string(it.event.sequence) + ' ';
    }
    return order;
}

const RequestId Root(1, 2);
const RequestId OtherRoot(3, 4);
} // namespace

BOOST_AUTO_TEST_SUITE(timelines)

BOOST_AUTO_TEST_CASE(RingKeepsLatestEventsAndTruncatesLongDetails)
{
    TimelineRing ring({.node = NodeId("a"), .incarnation = Incarnation{1}, .capacity = 300});
    for (int i = 0; i < 1000; ++i) {
        ring.record({.kind = TimelineKind::Received, .root = Root, .link = 0, .detail = std::string(1000, 'x')});
    }
    const std::vector<TimelineEvent> events = ring.events();
    BOOST_REQUIRE_EQUAL(events.size(), 300U);
    BOOST_CHECK_EQUAL(events.front().sequence, 700U);
    BOOST_CHECK_EQUAL(events.back().sequence, 999U);
    BOOST_CHECK_EQUAL(events.back().note.detail.size(), TimelineRing::MaxDetailBytes);
    BOOST_CHECK_THROW(TimelineRing({.node = NodeId("a"), .incarnation = Incarnation{1}, .capacity = 0}), ValueError);
}

BOOST_AUTO_TEST_CASE(RingReturnsEventsInOrderDuringConcurrentRecording)
{
    TimelineRing ring({.node = NodeId("a"), .incarnation = Incarnation{1}, .capacity = 1000});
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&ring] {
            for (int i = 0; i < 5000; ++i) {
                ring.record({.kind = TimelineKind::Admitted, .root = Root, .link = 0, .detail = "service=archiv"});
            }
        });
    }
    for (int i = 0; i < 20; ++i) {
        const std::vector<TimelineEvent> events = ring.events();
        BOOST_CHECK(std::is_sorted(events.begin(), events.end(), [](const auto &a, const auto &b) { return a.sequence < b.sequence; }));
    }
    threads.clear();
    BOOST_CHECK_EQUAL(ring.recordedCount(), 20000U);
}

BOOST_AUTO_TEST_CASE(EncodingRoundTripsAndMalformedLineIsReported)
{
    SkewedProcess a("a", 0us);
    a.at(5us, TimelineKind::Forwarded, 0xFFFFFFFFFFFFFFFFU, "to=b note=\"x\"", Root);
    a.at(6us, TimelineKind::PeerLost);
    const std::string text = encodeTimeline(a.events());
    BOOST_CHECK(decodeTimeline(text + "\n" + text).size() == 4);
    BOOST_CHECK(decodeTimeline(text) == a.events());
    BOOST_CHECK_EXCEPTION(decodeTimeline(text + "{\"kind\":1}\n"), ProtocolError, [](const ProtocolError &e) {
        return std::string_view(e.what()).find("line 3") != std::string_view::npos;
    });
    BOOST_CHECK_THROW(decodeTimeline("no json"), ProtocolError);
}

BOOST_AUTO_TEST_CASE(MergePreservesCausalOrderDespiteClockSkew)
{
    SkewedProcess entry("entry", -90s);
    SkewedProcess target("target", 120s);
    entry.at(0us, TimelineKind::Received, 0, "organisation=o1", Root);
    entry.at(10us, TimelineKind::Forwarded, 7, "to=target", Root);
    target.at(1010us, TimelineKind::MessageReceived, 7, "", Root);
    target.at(1500us, TimelineKind::MessageSent, 8, "", Root);
    entry.at(2500us, TimelineKind::MessageReceived, 8, "", Root);
    entry.at(2600us, TimelineKind::Answered, 0, "", Root);

    const MergedTimeline merged = mergeTimelines(concatenateEvents({&target, &entry}));
    BOOST_CHECK_EQUAL(eventOrder(merged), "entry0 entry1 target0 target1 entry2 entry3 ");
    BOOST_CHECK(merged.events[2].cause == std::size_t{1});
    BOOST_CHECK(merged.events[4].cause == std::size_t{3});
    BOOST_REQUIRE_EQUAL(merged.processes.size(), 2U);
    BOOST_CHECK(merged.processes[1].clockOffset == 210s);
    BOOST_CHECK(merged.events[5].time - merged.events[0].time == 2600us);
}

BOOST_AUTO_TEST_CASE(OneWayMessageIsNeverReceivedBeforeItWasSent)
{
    SkewedProcess a("a", 50ms);
    SkewedProcess b("b", 0us);
    SkewedProcess c("c", -1h);
    a.at(0us, TimelineKind::MessageSent, 1);
    b.at(100us, TimelineKind::MessageReceived, 1);
    b.at(200us, TimelineKind::MessageSent, 2);
    c.at(300us, TimelineKind::MessageReceived, 2);
    const MergedTimeline merged = mergeTimelines(concatenateEvents({&c, &b, &a}));
    BOOST_CHECK_EQUAL(eventOrder(merged), "a0 b0 b1 c0 ");
    BOOST_CHECK(std::is_sorted(merged.events.begin(), merged.events.end(), [](const auto &l, const auto &r) { return l.time < r.time; }));
}

BOOST_AUTO_TEST_CASE(DuplicateLinkIsResolvedByNodeNamesInDetails)
{
    SkewedProcess a("a", 0us);
    SkewedProcess b("b", 0us);
    SkewedProcess c("c", 0us);
    a.at(0us, TimelineKind::Forwarded, 5, "to=b");
    b.at(10us, TimelineKind::MessageReceived, 5);
    b.at(20us, TimelineKind::Forwarded, 5, "to=c");
    c.at(30us, TimelineKind::MessageReceived, 5);
    const MergedTimeline merged = mergeTimelines(concatenateEvents({&a, &b, &c}));
    BOOST_CHECK(merged.events[1].cause == std::size_t{0});
    BOOST_CHECK(merged.events[3].cause == std::size_t{2});
}

BOOST_AUTO_TEST_CASE(CyclicLinksLoseNoEvents)
{
    SkewedProcess a("a", 0us);
    SkewedProcess b("b", 0us);
    a.at(0us, TimelineKind::MessageReceived, 2);
    a.at(10us, TimelineKind::MessageSent, 1);
    b.at(5us, TimelineKind::MessageReceived, 1);
    b.at(15us, TimelineKind::MessageSent, 2);
    BOOST_CHECK_EQUAL(mergeTimelines(concatenateEvents({&a, &b})).events.size(), 4U);
}

BOOST_AUTO_TEST_CASE(FiltersKeepWholeRequestsAndTheirCauses)
{
    SkewedProcess a("a", 0us);
    SkewedProcess b("b", 0us);
    a.at(0us, TimelineKind::Received, 0, "organisation=o1 service=x", Root);
    a.at(1us, TimelineKind::Received, 0, "organisation=o2 service=y", OtherRoot);
    a.at(2us, TimelineKind::Forwarded, 1, "to=b", Root);
    b.at(3us, TimelineKind::MessageReceived, 1, "", Root);
    b.at(4us, TimelineKind::PeerLost);
    const MergedTimeline merged = mergeTimelines(concatenateEvents({&a, &b}));

    const MergedTimeline byOrganisation =
        TimelineFilter{.root = {}, .organisation = OrganisationId("o1"), .service = {}, .node = {}, .from = {}, .until = {}}.apply(merged);
    BOOST_CHECK_EQUAL(eventOrder(byOrganisation), "a0 a2 b0 ");
    BOOST_CHECK(byOrganisation.events[2].cause == std::size_t{1});
    const MergedTimeline byService =
        TimelineFilter{.root = {}, .organisation = {}, .service = ServiceName("y"), .node = {}, .from = {}, .until = {}}.apply(merged);
    BOOST_CHECK_EQUAL(eventOrder(byService), "a1 ");
    BOOST_CHECK_EQUAL(byService.processes.size(), 1U);
    const MergedTimeline byRootAndNode =
        TimelineFilter{.root = Root, .organisation = {}, .service = {}, .node = NodeId("b"), .from = {}, .until = {}}.apply(merged);
    BOOST_CHECK_EQUAL(eventOrder(byRootAndNode), "b0 ");
    const WallTime begin = merged.events.front().time;
    const MergedTimeline byTime =
        TimelineFilter{.root = {}, .organisation = {}, .service = {}, .node = {}, .from = begin + 1us, .until = begin + 3us}.apply(merged);
    BOOST_CHECK_EQUAL(eventOrder(byTime), "a1 a2 ");
}

BOOST_AUTO_TEST_CASE(PageEscapesEventTextAndTextOutputShowsMessageSender)
{
    SkewedProcess a("a", 0us);
    SkewedProcess b("b", 0us);
    a.at(0us, TimelineKind::Forwarded, 1, "to=b path=<script>&\x01", Root);
    b.at(3us, TimelineKind::MessageReceived, 1, "", Root);
    const MergedTimeline merged = mergeTimelines(concatenateEvents({&a, &b}));
    const std::string page = timelinePage(merged, "a <title>");
    BOOST_CHECK(page.find("<script>") == std::string::npos);
    BOOST_CHECK(page.find("path=&lt;script&gt;&amp; ") != std::string::npos);
    BOOST_CHECK(page.find("class=\"arrow\"") != std::string::npos);
    BOOST_CHECK(timelineText(merged).find("message-received      00000000  <- a") != std::string::npos);
    BOOST_CHECK(timelinePage(MergedTimeline{}, "empty").find("0 events") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

// Measures the time to record an event with one thread and under contention, and the time to encode, decode and merge a full ring.

#include "timeline/mergedtimeline.h"
#include "timeline/timelinecodec.h"
#include "timeline/timelinering.h"

#include <fmt/format.h>

#include <thread>

using namespace banyankeel;

namespace
{
constexpr int EventsPerThread = 1'000'000;
constexpr std::size_t Capacity = 20'000;

double secondsSince(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

TimelineRing makeRing()
{
    return TimelineRing({.node = NodeId("node"), .incarnation = Incarnation{1}, .capacity = Capacity});
}

void recordEvents(TimelineRing &ring)
{
    for (int i = 0; i < EventsPerThread; ++i) {
        ring.record({.kind = TimelineKind::Admitted, .root = RequestId(1, 2), .link = 3, .detail = "service=zertifikat organisation=kranich"});
    }
}

void measureRecording(unsigned threads)
{
    TimelineRing ring = makeRing();
    const auto begin = std::chrono::steady_clock::now();
    {
        std::vector<std::jthread> workers;
        for (unsigned t = 0; t < threads; ++t) {
            workers.emplace_back([&ring] { recordEvents(ring); });
        }
    }
    // Wall time for each event of a thread; all threads record the same number.
    fmt::print("bench case=timeline_record threads={} ns={:.1f}\n", threads, secondsSince(begin) * 1e9 / EventsPerThread);
}

void measureCollecting()
{
    TimelineRing ring = makeRing();
    recordEvents(ring);
    const auto begin = std::chrono::steady_clock::now();
    const std::string text = encodeTimeline(ring.events());
    const double encodeSeconds = secondsSince(begin);
    const MergedTimeline merged = mergeTimelines(decodeTimeline(text));
    fmt::print("bench case=timeline_collect events={} encode_ms={:.1f} bytes_per_event={:.0f} merge_ms={:.1f}\n",
               merged.events.size(),
               encodeSeconds * 1e3,
               static_cast<double>(text.size()) / Capacity,
               (secondsSince(begin) - encodeSeconds) * 1e3);
}
} // namespace

int main()
{
    measureRecording(1);
    measureRecording(4);
    measureCollecting();
    return 0;
}

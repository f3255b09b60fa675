#pragma once

// Settings of the admission control at one target.
//
//   AdmissionSettings settings;
//   settings.announcedSlots = 90;
//   settings.connections = 630;

#include "state/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace banyankeel
{

/// How the concurrency limit adapts to the target.
enum class LimitRule : std::uint8_t {
    /// Stays at the number of slots that the target announced.
    Fixed,
    /// Shrinks with the ratio of unloaded to current latency.
    Gradient,
    /// Additive increase, and multiplicative decrease when latency exceeds its tolerance.
    Aimd,
    /// Shrinks to the highest concurrency that was observed without queueing inside the target. At or below that concurrency,
    /// higher latency is attributed to the target itself and the limit stays.
    KnownGood,
};

/// Order in which the queued requests of one organisation are served.
enum class QueueOrder : std::uint8_t {
    OldestFirst,
    NewestFirst,
};

/// Which request of the organisation furthest above its fair share is shed.
enum class ShedChoice : std::uint8_t {
    /// The one whose root has the highest hash, so that all nodes shed the same roots.
    HighestRootHash,
    Newest,
};

/// Settings of one target. The defaults suit targets with tens to hundreds of slots and service times from milliseconds to a second.
struct AdmissionSettings {
    /// Slots that the target announced; the initial limit of a warm target.
    std::uint32_t announcedSlots = 16;
    /// Connections that the target accepts; each request in flight uses one.
    std::uint32_t connections = 256;
    /// Lower bound of the concurrency limit.
    std::uint32_t minLimit = 1;
    /// Queue length per request that may run.
    double queuePerSlot = 2.0;
    /// Queue length per request that may run, while the downstream services bound the concurrency. Shorter, because requests that
    /// are shed here have not caused any work yet.
    double queuePerWindowSlot = 1.0;
    /// Bounds of the queue length.
    std::uint32_t minQueueLength = 16;
    std::uint32_t maxQueueLength = 512;
    /// While the oldest request has been queued for longer than this and than the expected service time, each event sheds one request.
    Duration queueDelay = std::chrono::seconds(2);
    /// A cold target starts with a fraction of its slots and doubles it while latency does not rise.
    bool isCold = true;
    /// Whether the load of the downstream services bounds the concurrency.
    bool usesDownstreamWindow = true;
    LimitRule limitRule = LimitRule::KnownGood;
    QueueOrder queueOrder = QueueOrder::OldestFirst;
    ShedChoice shedChoice = ShedChoice::HighestRootHash;
    /// The state of an organisation without requests is dropped after this time.
    Duration idleRetention = std::chrono::seconds(30);
    /// Maximum number of (priority, organisation) pairs with state. Has to exceed the number of requests that can be queued or
    /// running, so that an idle pair can always be evicted for a new one.
    std::uint32_t maxFlows = 65'536;

    friend auto operator<=>(const AdmissionSettings &, const AdmissionSettings &) = default;
};

/// @throws SettingsError naming the field that is out of range.
void checkSettings(const AdmissionSettings &settings);

} // namespace banyankeel

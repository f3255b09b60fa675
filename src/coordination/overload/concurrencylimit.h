#pragma once

// Adaptive concurrency limit of one target, derived from the latencies that the target's node measures.
//
//   ConcurrencyLimit limit(settings, now);
//   limit.completed(completion, running, isWaiting, now);
//   if (running < limit.value()) ...

#include "coordination/overload/admissionsettings.h"
#include "coordination/overload/completion.h"
#include "state/time.h"

#include <cstddef>
#include <cstdint>

namespace banyankeel
{

/// The concurrency limit of one target. The announced slots are only its initial value. Not thread-safe. Constant time; allocates nothing.
class ConcurrencyLimit
{
public:
    /// @throws SettingsError if the settings are out of range.
    ConcurrencyLimit(const AdmissionSettings &settings, TimePoint now);

    /// Number of requests that may run concurrently, from AdmissionSettings::minLimit to AdmissionSettings::connections.
    [[nodiscard]] std::uint32_t value() const;

    /// Records the end of a request. @param running number of requests running, including this one; @param isWaiting whether others
    /// were queued.
    void completed(const Completion &completion, std::size_t running, bool isWaiting, TimePoint now);

    /// The target has restarted and is cold.
    void restart(TimePoint now);

private:
    struct Window {
        TimePoint begin;
        double sumOwnSeconds = 0;
        double sumTotalSeconds = 0;
        std::uint32_t count = 0;
        std::uint32_t overloaded = 0;
        std::uint32_t maxRunning = 0;
        bool wasSaturated = false;
    };
    /// Mean latencies of one window of completions, in seconds.
    struct Sample {
        double own;
        double total;
    };

    void closeWindow(TimePoint now);
    /// Total latency relative to the latency of the unloaded target.
    [[nodiscard]] double latencyRatioOf(const Sample &sample) const;
    void updateBaseline(double latency);
    void rampUp(double latencyRatio);
    void shrink(const Sample &sample, std::uint32_t maxRunning);
    void grow();
    void clamp();

    LimitRule m_rule;
    double m_minLimit;
    double m_maxLimit;
    double m_announcedSlots;
    double m_limit;
    bool m_isCold;
    double m_baseline = 0;
    /// Highest concurrency observed without queueing inside the target.
    double m_knownGood = 0;
    Window m_window;
};

} // namespace banyankeel

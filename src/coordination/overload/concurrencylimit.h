#pragma once

// How many requests may run at a target at once, found from the latencies that its node measures.
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

/// The limit of one target. Announced slots are a first hint only. Not thread-safe; constant time; holds no memory of its own.
class ConcurrencyLimit
{
public:
    /// @throws SettingsError if the settings are out of range.
    ConcurrencyLimit(const AdmissionSettings &settings, TimePoint now);

    /// Requests that may run at once, at least AdmissionSettings::lowestLimit and at most the connections.
    [[nodiscard]] std::uint32_t value() const;

    /// A request ended. @param running how many ran, it included; @param isWaiting whether others waited.
    void completed(const Completion &completion, std::size_t running, bool isWaiting, TimePoint now);

    /// The target went away and comes back cold.
    void restart(TimePoint now);

private:
    struct Window {
        TimePoint begin;
        double sumOwn = 0;
        double sumTotal = 0;
        std::uint32_t count = 0;
        std::uint32_t overloaded = 0;
        std::uint32_t mostRunning = 0;
        bool wasSaturated = false;
    };
    /// The means of one window of completions, in seconds.
    struct Sample {
        double own;
        double total;
    };

    void closeWindow(TimePoint now);
    /// The total time as a multiple of what it would be if the target were unloaded.
    [[nodiscard]] double slownessOf(const Sample &sample) const;
    void learnBaseline(double latency);
    void stepCold(double slowness);
    void shrink(const Sample &sample, std::uint32_t mostRunning);
    void grow();
    void clamp();

    LimitRule m_rule;
    double m_lowest;
    double m_highest;
    double m_announced;
    double m_limit;
    bool m_isCold;
    double m_baseline = 0;
    /// The most requests that ran at once without waiting inside the target.
    double m_proven = 0;
    Window m_window;
};

} // namespace banyankeel

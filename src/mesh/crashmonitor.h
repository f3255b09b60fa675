#pragma once

// Finds out that the host's target has crashed, and which requests may have crashed it. Decides only; connections and timers are handed in.
//
//   CrashMonitor crashes(node, hooks);
//   if (const auto refusal = crashes.begin(fingerprint, suspectedCrashes, now)) ... // the request must not run
//   crashes.recordLost(fingerprint, now);                                      // its connection to the target was lost
//
// A lost connection is no crash: targets also close single connections. A crash ends all of them and leaves nobody listening.

#include "coordination/overload/crashquarantine.h"
#include "edge/portcheck.h"
#include "protocol/quarantinemessages.h"
#include "state/requestfingerprint.h"
#include "state/time.h"
#include "state/verdict.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace banyankeel
{

/// All must be set.
struct CrashMonitorHooks {
    std::function<TimePoint()> now;
    std::function<void(Duration delay, std::function<void()> task)> runAfter;
    /// Tries to connect to the target.
    std::function<void(std::function<void(PortState state)> result)> checkPort;
    /// Evidence for or against requests, to be told to all nodes.
    std::function<void(const std::vector<CrashReport> &reports)> reported;
};

/// Not thread-safe.
class CrashMonitor
{
public:
    /// At most as many quarantined requests are told to nodes that start, and kept for later processes; the newest.
    static constexpr std::size_t MaxPassedOn = 64;
    static constexpr std::uint16_t CrashesToQuarantine = 3;

    CrashMonitor(const NodeId &node, CrashMonitorHooks hooks);

    /// To be called before a request runs on the target. Returns a verdict if it must not; otherwise it runs until one of the record functions is called.
    /// @param suspectedCrashes what the sender of the request suspects; reports of crashes may still be under way. @param began names the run to the record
    /// functions.
    std::optional<Verdict> begin(const RequestFingerprint &fingerprint, std::uint16_t suspectedCrashes, TimePoint began);
    /// The target has answered a request that began at @p began. @param hasRun whether the request has run, or was rejected.
    void recordAnswer(const RequestFingerprint &fingerprint, TimePoint began, bool hasRun);
    /// A request has ended without an answer of the target, for another reason than a lost connection.
    void recordEnd(const RequestFingerprint &fingerprint, TimePoint began);
    /// The connection was lost while the request was running.
    void recordLost(const RequestFingerprint &fingerprint, TimePoint began);
    /// Another process has taken the place of the target. @param hasLeft whether the target had announced that it leaves.
    void recordNewBoot(bool hasLeft);

    /// Crashes that speak against @p fingerprint, as far as is known.
    [[nodiscard]] std::uint16_t crashesOf(const RequestFingerprint &fingerprint) const;
    /// Whether requests with @p fingerprint are refused.
    [[nodiscard]] bool isQuarantined(const RequestFingerprint &fingerprint) const;
    /// Applies what another node, or an earlier process of any node, has found.
    void merge(const std::vector<CrashReport> &reports);
    /// The quarantined requests, to be passed on; at most MaxPassedOn.
    [[nodiscard]] std::vector<CrashReport> quarantined() const;
    /// Crashes of the target that were found.
    [[nodiscard]] std::uint64_t crashes() const
    {
        return m_crashes;
    }

private:
    void scheduleCheck(Duration delay);
    void check();
    void confirmCrash();
    void discardLosses();
    void endRun(TimePoint began);
    void log(const std::vector<CrashReport> &reports) const;

    CrashMonitorHooks m_hooks;
    CrashQuarantine m_quarantine;
    /// When the requests began that run now.
    std::multiset<TimePoint> m_running;
    std::vector<RequestFingerprint> m_lost;
    TimePoint m_firstLossAt{};
    /// Runs that began before then have ended with a crash.
    TimePoint m_crashedAt{};
    std::size_t m_checks = 0;
    bool m_isCheckScheduled = false;
    std::uint64_t m_crashes = 0;
};

} // namespace banyankeel

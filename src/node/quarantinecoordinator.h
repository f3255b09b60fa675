#pragma once

// Connects CrashQuarantine to probes of the target and to the reports exchanged with peers.
//
//   if (auto refusal = quarantine.begin(fingerprint, suspectedCrashes)) ... refuse ...
//   quarantine.recordConnectionLost(fingerprint);   // the next probe shows whether the target crashed
//   quarantine.handleProbe(isReachable, running);

#include "coordination/overload/crashquarantine.h"
#include "state/peer.h"
#include "state/timelineevent.h"

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace banyankeel
{

struct QuarantineHooks {
    std::function<TimePoint()> now;
    /// Sends a report to every known peer.
    std::function<void(const CrashReport &)> sendToPeers;
    TimelineRecorder record;
};

/// Thread-safe. Hooks run without the lock held, except now().
class QuarantineCoordinator
{
public:
    QuarantineCoordinator(QuarantineHooks hooks, const Peer &self);

    /// Same as CrashQuarantine::begin(); call it for each request right before it is sent to the target.
    std::optional<Verdict> begin(const RequestFingerprint &fingerprint, std::uint16_t suspectedCrashes);
    [[nodiscard]] bool isQuarantined(const RequestFingerprint &fingerprint) const;
    void recordSuccess(const RequestFingerprint &fingerprint);
    void recordEnd(const RequestFingerprint &fingerprint);
    /// Records that the connection to the target broke while it ran the request.
    void recordConnectionLost(const RequestFingerprint &fingerprint);
    /// Handles the result of a probe. If the target is unreachable, the requests of recordConnectionLost() since the last probe and @p running are suspected.
    void handleProbe(bool isReachable, const std::vector<RequestFingerprint> &running);
    void handleReport(const CrashReport &report);

    /// Returns the suspected and the quarantined fingerprints as a JSON array.
    [[nodiscard]] std::string listAsJson() const;
    /// Releases the fingerprint with the text that listAsJson() shows. Returns whether it was found.
    bool release(std::string_view text);

private:
    void broadcast(const std::vector<CrashReport> &reports);

    QuarantineHooks m_hooks;
    Incarnation m_targetIncarnation;
    mutable std::mutex m_mutex;
    CrashQuarantine m_quarantine;
    std::vector<RequestFingerprint> m_lostRequests;
    bool m_wasReachable = true;
    std::set<CrashReport> m_seenReports;
};

} // namespace banyankeel

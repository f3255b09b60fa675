#pragma once

// Detects requests that crash the targets that run them, and refuses them for a time (poison request quarantine).
//
//   CrashQuarantine quarantine(settings, node);
//   if (auto refused = quarantine.begin(fingerprint, now)) ... // refuse with this verdict
//   quarantine.recordSuccess(fingerprint, now, reports);

#include "protocol/quarantinemessages.h"
#include "state/peer.h"
#include "state/requestfingerprint.h"
#include "state/time.h"
#include "state/verdict.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace banyankeel
{

struct QuarantineSettings {
    /// Crashes after which a target runs the fingerprint only while it runs no other such one.
    std::uint16_t crashesToIsolate = 1;
    /// Crashes after which the fingerprint is quarantined.
    std::uint16_t crashesToQuarantine = 2;
    /// Whether each crash counts by itself. If not, one counts only on top of those that were known when the run began, so that targets that fail together
    /// are one crash.
    bool countsConcurrentCrashes = true;
    /// How long a quarantined fingerprint is refused.
    Duration quarantine = std::chrono::minutes(10);
    /// A suspect without a further crash is dropped after this time.
    Duration suspectRetention = std::chrono::minutes(10);
    /// Maximum number of suspected and quarantined fingerprints.
    std::size_t maxEntries = 4'096;

    friend auto operator<=>(const QuarantineSettings &, const QuarantineSettings &) = default;
};

/// A suspected or quarantined fingerprint, as reported to operators.
struct QuarantineEntry {
    RequestFingerprint fingerprint;
    std::uint16_t crashes;
    /// Absent while the fingerprint is only suspected.
    std::optional<TimePoint> refusedUntil;

    friend auto operator<=>(const QuarantineEntry &, const QuarantineEntry &) = default;
};

/// The suspects known to one node, merged with those reported by its peers. Not thread-safe. Constant time, except recordCrash(),
/// which is linear in the number of requests that were running.
///
/// A crash ends all requests of the target although only one of them caused it. These rules keep the others out of quarantine: it takes several crashes; a
/// success on any node clears a suspect; of the requests that were running, only those with the most crashes before are blamed; and a target runs one isolated
/// suspect at a time, so that not all requests that were retried together are blamed for the next crash.
class CrashQuarantine
{
public:
    /// @throws ValueError if a setting is zero.
    CrashQuarantine(const QuarantineSettings &settings, NodeId ownNode);

    /// To be called before a request runs at this node's target. Returns a verdict if it must not run: Quarantined, or Overloaded
    /// while another isolated suspect is running. Otherwise the request counts as running until one of the record functions is called.
    /// @param suspectedCrashes crashes that the sender of the request suspects; reports of them may still be under way.
    std::optional<Verdict> begin(const RequestFingerprint &fingerprint, TimePoint now, std::uint16_t suspectedCrashes = 0);
    /// Crashes that speak against @p fingerprint, as far as this node knows.
    [[nodiscard]] std::uint16_t crashes(const RequestFingerprint &fingerprint, TimePoint now) const;
    /// Whether an entry node should refuse the request without forwarding it to a target.
    [[nodiscard]] bool isQuarantined(const RequestFingerprint &fingerprint, TimePoint now) const;

    /// A request admitted by begin() was answered by the target. Appends a report if this clears a suspect.
    void recordSuccess(const RequestFingerprint &fingerprint, TimePoint now, std::vector<CrashReport> &reports);
    /// A request admitted by begin() ended without an answer and without a crash. Its status does not change.
    void recordEnd(const RequestFingerprint &fingerprint);
    /// This node's target crashed. @param running the requests that were running on it; @param incarnation of the crashed target.
    /// Appends the reports to be sent to all nodes.
    void recordCrash(const std::vector<RequestFingerprint> &running, Incarnation incarnation, TimePoint now, std::vector<CrashReport> &reports);
    /// Applies a report of another node. Idempotent. Returns whether this quarantines the fingerprint.
    bool merge(const CrashReport &report, TimePoint now);
    /// Releases @p fingerprint at an operator's request. Appends the report for the other nodes.
    void release(const RequestFingerprint &fingerprint, TimePoint now, std::vector<CrashReport> &reports);

    /// The fingerprints that run on this node's target.
    [[nodiscard]] std::vector<RequestFingerprint> running() const;
    /// Reports of the quarantined fingerprints with the time that is left, for nodes that have not heard of them; at most @p max, the newest.
    [[nodiscard]] std::vector<CrashReport> quarantined(TimePoint now, std::size_t max) const;
    [[nodiscard]] std::vector<QuarantineEntry> list(TimePoint now) const;
    [[nodiscard]] std::size_t size() const
    {
        return m_suspects.size();
    }

private:
    struct Crash {
        std::uint64_t node;
        Incarnation incarnation;

        friend auto operator<=>(const Crash &, const Crash &) = default;
    };
    struct Suspect {
        /// Crashes in a row, each of a run that began when those before were known.
        std::uint16_t crashesInRow = 0;
        /// All crashes, if concurrent ones count.
        std::vector<Crash> crashes;
        TimePoint lastCrash;
        std::optional<TimePoint> refusedUntil;
    };
    /// The requests with one fingerprint that run on this node's target.
    struct Run {
        std::size_t requests = 0;
        /// Crashes in a row that were known when the last of them began.
        std::uint16_t crashesBefore = 0;
    };

    void addCrash(const CrashReport &report, TimePoint now);
    [[nodiscard]] std::uint16_t crashesOf(const Suspect &suspect) const;
    [[nodiscard]] std::uint16_t crashesBefore(const RequestFingerprint &fingerprint) const;
    void evictIfFull(TimePoint now);
    void removeRun(const RequestFingerprint &fingerprint);
    [[nodiscard]] bool hasExpired(const Suspect &suspect, TimePoint now) const;

    QuarantineSettings m_settings;
    NodeId m_ownNode;
    std::unordered_map<RequestFingerprint, Suspect> m_suspects;
    std::unordered_map<RequestFingerprint, Run> m_running;
    /// The isolated suspect that is running at this node's target.
    std::optional<RequestFingerprint> m_runningSuspect;
};

} // namespace banyankeel

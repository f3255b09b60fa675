#pragma once

// A distributed rate limiter: enforces each organisation's rate and burst over all nodes, without leases and without the store.
//
//   FleetRateLimiter rateLimiter(settings);
//   rateLimiter.configure(organisations, now);
//   rateLimiter.applyReport(peer, reported, now);             // for each report of a peer
//   if (rateLimiter.take(organisation, now)) ...             // within the limit
//
// Protects against an organisation that sends many times its rate: the excess is refused at the entry node, whichever node that is.

#include "protocol/nodereport.h"
#include "state/identifier.h"
#include "state/meshconfiguration.h"
#include "state/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace banyankeel
{

struct FleetRateLimiterSettings {
    /// The span over which an organisation's requests are counted.
    Duration window;
    /// The fraction, and the number of requests in addition, by which all nodes together may exceed what an organisation's rate allows in a window.
    double overshoot;
    double slack;
    /// Number of peers that a node assumes until it knows the actual one.
    std::size_t assumedPeers = 15;
    /// How long a peer's last report determines its rate. Afterwards the peer is assumed to use at least its even share.
    Duration freshness = std::chrono::milliseconds(1250);
    /// How long a silent peer is taken into account: longer than network partitions and restarts usually last.
    Duration retention = std::chrono::seconds(30);

    friend auto operator<=>(const FleetRateLimiterSettings &, const FleetRateLimiterSettings &) = default;
};

/// Which organisations a report includes.
enum class ReportScope : std::uint8_t {
    /// Reports every organisation that has sent requests.
    Complete,
    /// Reports the organisations whose usage differs from what peers extrapolate from the previous reports.
    Changed,
    /// Reports the organisations whose usage exceeds that extrapolation so far that peers must be told immediately.
    Urgent,
};

/// The content of one report of a peer.
struct ReportedUsage {
    std::vector<OrganisationUsage> usage;
    /// Whether organisations that are left out have sent no requests; otherwise their usage is as extrapolated.
    bool isComplete;
    /// Whether the peer's counters have restarted from zero.
    bool isNewProcess;
};

/// One node's view of the rate limits of all organisations. Not thread-safe; time and size linear in the organisations, and in organisations x peers
/// at a report and ten times a second.
///
/// Every node keeps a replica of the single token bucket of each organisation. It removes tokens immediately for its own requests, and for those of
/// its peers at the rates that they reported, corrected by the counts in their next report. The replicas therefore differ only by what happened since
/// the last reports. A second, local bucket bounds how fast one node's usage can grow between reports. Silent peers are assumed to use their even share,
/// and their even share of the bucket is reserved, so that nodes that are partitioned or start at the same time stay within theirs. A node starts with
/// an empty replica.
class FleetRateLimiter
{
public:
    explicit FleetRateLimiter(const FleetRateLimiterSettings &settings);

    /// Applies the rates of a configuration. Removes organisations that it does not contain.
    void configure(const std::vector<MeshOrganisation> &organisations, TimePoint now);
    /// Applies a report of @p peer on its own usage. Until its first complete report, its counts only serve as a baseline and no tokens are removed.
    void applyReport(const NodeId &peer, const ReportedUsage &reported, TimePoint now);
    /// Sets the number of peers.
    void setPeerCount(std::size_t count);
    /// Removes a peer that has stopped and sends no further requests.
    void removePeer(const NodeId &peer);

    /// Takes a token for a request of @p organisation. Returns false if the rate is exceeded.
    [[nodiscard]] bool take(const OrganisationId &organisation, TimePoint now);
    /// Returns the token of a request that did not run.
    void refund(const OrganisationId &organisation);
    /// Time until the next token is available.
    [[nodiscard]] Duration timeUntilNextToken(const OrganisationId &organisation) const;
    /// This node's usage since its start, to be sent to all peers. Most organisations behave as last reported, so a report with scope Changed is short.
    [[nodiscard]] std::vector<OrganisationUsage> report(ReportScope scope, TimePoint now);
    /// The state known to peers that received all reports, for a peer that did not.
    [[nodiscard]] std::vector<OrganisationUsage> reported() const;
    /// The usage of @p peer as last reported, for a node that knows nothing of it. Complete if a complete report has come.
    [[nodiscard]] ReportedUsage usageOf(const NodeId &peer) const;
    /// Whether this node's usage exceeds what peers extrapolate from its last report by so much that a report should be sent soon.
    [[nodiscard]] bool isReportUrgent(TimePoint now) const;

private:
    struct Bucket {
        OrganisationId organisation;
        double rate = 0;
        double burst = 0;
        /// The replica of the organisation's bucket; negative if more was used than was known.
        double tokens = 0;
        /// The local bucket, which bounds the requests of this node alone.
        double localTokens = 0;
        TimePoint refilledAt{};
        std::int64_t taken = 0;
        /// State at the time of the last report.
        std::int64_t reported = 0;
        double reportedRate = 0;
        TimePoint reportedAt{};
        /// Requests per second that this node recently admitted.
        double localRate = 0;
        TimePoint localRateAt{};
        /// Tokens per second that are removed for all peers.
        double peerRate = 0;
    };
    /// Small, as there is one for each organisation and peer.
    struct PeerUsage {
        std::int64_t taken = 0;
        float ratePerSecond = 0;
        /// Current rate at which tokens are removed for the peer, and how many were removed since its last report.
        float assumedRate = 0;
        float assumed = 0;
    };
    struct PeerState {
        /// By position of the bucket.
        std::vector<PeerUsage> usage;
        /// Counts of organisations that the configuration does not contain, or not yet.
        std::unordered_map<OrganisationId, std::int64_t> otherTaken;
        TimePoint receivedAt;
        bool hasCompleteReport = false;
        /// While the peer is silent, its even share of each bucket is reserved for it.
        bool isSilent = false;
    };

    void setSilent(PeerState &state, bool isSilent);
    /// The fraction of each bucket that is not reserved for silent peers.
    [[nodiscard]] double availableFraction() const;
    void update(TimePoint now);
    void refill(Bucket &bucket, TimePoint now) const;
    static void decayLocalRate(Bucket &bucket, TimePoint now);
    /// Requests in excess of those that peers extrapolate from the last report; negative if there were fewer.
    [[nodiscard]] static double unexpectedUsage(const Bucket &bucket, TimePoint now);
    [[nodiscard]] bool isUrgent(const Bucket &bucket, TimePoint now) const;
    [[nodiscard]] bool isIncluded(const Bucket &bucket, ReportScope scope, TimePoint now) const;
    [[nodiscard]] double assumedRateOf(const PeerState &state, const PeerUsage &usage, const Bucket &bucket) const;
    [[nodiscard]] const Bucket *findBucket(const OrganisationId &organisation) const;
    [[nodiscard]] Bucket *findBucket(const OrganisationId &organisation);
    /// Moves what peers have reported to the positions of @p buckets.
    void moveUsage(PeerState &state, const std::vector<Bucket> &buckets, const std::unordered_map<OrganisationId, std::size_t> &positions) const;
    [[nodiscard]] double nodeCount() const;
    [[nodiscard]] double bucketCapacity(const Bucket &bucket) const;
    [[nodiscard]] double localBucketCapacity(const Bucket &bucket) const;
    [[nodiscard]] double localRateLimit(const Bucket &bucket) const;

    FleetRateLimiterSettings m_settings;
    std::size_t m_peerCount;
    std::vector<Bucket> m_buckets;
    std::unordered_map<OrganisationId, std::size_t> m_positions;
    std::map<NodeId, PeerState> m_peerStates;
    TimePoint m_updatedAt;
};

} // namespace banyankeel

#pragma once

// Each organisation's rate and burst over all nodes together, kept without a lease and without the store.
//
//   FleetAllowances allowances(settings);
//   allowances.configure(organisations, now);
//   allowances.noteReport(peer, reported, now);             // from the peers' reports
//   if (allowances.take(organisation, now)) ...             // within the allowance
//
// Answers the load of an organisation that sends many times its rate: what is above it is refused at the entry, wherever it comes in.

#include "protocol/nodereport.h"
#include "state/identifier.h"
#include "state/meshconfiguration.h"
#include "state/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace banyankeel
{

struct AllowanceSettings {
    /// The span over which an organisation's requests are counted.
    Duration window;
    /// The part by which all nodes together may pass the allowance of a window, and the requests beyond that.
    double overshoot;
    double slack;
    /// Peers that a node counts with until it knows how many there are.
    std::size_t assumedPeers = 15;
    /// A peer's last report tells its rate for so long; afterwards it may use its even share at least.
    Duration freshness = std::chrono::milliseconds(1250);
    /// What a silent peer uses is no longer counted after this time: longer than cuts and restarts last.
    Duration retention = std::chrono::seconds(30);

    friend auto operator<=>(const AllowanceSettings &, const AllowanceSettings &) = default;
};

/// Which organisations a report names.
enum class ReportScope : std::uint8_t {
    /// All that were used.
    Complete,
    /// Those of which peers expect something else by the reports before.
    Changed,
    /// Those of which peers should hear at once.
    Urgent,
};

/// What a peer reported.
struct ReportedUses {
    std::vector<OrganisationUse> uses;
    /// Whether organisations that are not named were never used; otherwise there is no news of them.
    bool isComplete;
    /// Whether the peer's counts start anew.
    bool isNewProcess;
};

/// One node's view of all allowances. Not thread-safe; time and size linear in the organisations, and in organisations x peers at a report and
/// ten times a second.
///
/// Every node keeps a copy of each organisation's one token bucket. It takes tokens out for its own requests at once, and for those of its peers
/// at the rates that they reported, corrected by the counts in their next report. So the copies agree but for what happened since the last
/// reports. A second bucket bounds how fast one node's part can grow meanwhile. Peers that are not heard are taken to use their even share, and
/// their even part of the bucket is set aside, so that nodes that are cut off from each other, or start together, keep to theirs. A node starts with empty
/// buckets.
class FleetAllowances
{
public:
    explicit FleetAllowances(const AllowanceSettings &settings);

    /// Takes over the rates of a configuration. Organisations that are gone are forgotten.
    void configure(const std::vector<MeshOrganisation> &organisations, TimePoint now);
    /// What @p peer reports of its own use. Until its first complete report came, its counts are a beginning only and nothing was taken.
    void noteReport(const NodeId &peer, const ReportedUses &reported, TimePoint now);
    /// How many peers there are.
    void notePeers(std::size_t count);
    /// The peer stops and takes nothing any more.
    void forget(const NodeId &peer);

    /// Takes a token for a request of @p organisation. False if its allowance is used up.
    [[nodiscard]] bool take(const OrganisationId &organisation, TimePoint now);
    /// The request did not run: its token comes back.
    void giveBack(const OrganisationId &organisation);
    /// When the next token is due.
    [[nodiscard]] Duration untilNext(const OrganisationId &organisation) const;
    /// This node's use since its start, to be sent to all peers. Most organisations do as the last report of them says, so that Changed names few.
    [[nodiscard]] std::vector<OrganisationUse> report(ReportScope scope, TimePoint now);
    /// What peers that heard all reports know, for one that did not.
    [[nodiscard]] std::vector<OrganisationUse> reported() const;
    /// Whether this node's use differs so much from what peers expect by its last report that they should hear of it soon.
    [[nodiscard]] bool isReportUrgent(TimePoint now) const;

private:
    struct Account {
        double rate = 0;
        double burst = 0;
        /// The copy of the organisation's bucket; below zero where more was used than was known.
        double tokens = 0;
        /// What this node may take at once.
        double localTokens = 0;
        TimePoint filledAt;
        std::int64_t taken = 0;
        /// As of the last report.
        std::int64_t reported = 0;
        double reportedRate = 0;
        TimePoint reportedAt;
        /// Requests per second that this node let through lately.
        double localRate = 0;
        TimePoint localRateAt;
        /// At which tokens are taken out for all peers, per second.
        double rateOfPeers = 0;
    };
    struct PeerUse {
        std::int64_t taken = 0;
        double ratePerSecond = 0;
        /// At which tokens are taken out of the bucket for the peer at present, and how many were since its last report.
        double assumedRate = 0;
        double assumed = 0;
    };
    struct PeerReport {
        std::unordered_map<OrganisationId, PeerUse> uses;
        TimePoint heardAt;
        bool wasComplete = false;
        /// While it is silent, its even part of each bucket is set aside for it.
        bool isSilent = false;
    };

    void setSilent(PeerReport &report, bool isSilent);
    /// The part of each bucket that belongs to this node and the peers that are heard.
    [[nodiscard]] double heardPart() const;
    void update(TimePoint now);
    void fill(Account &account, TimePoint now) const;
    static void decay(Account &account, TimePoint now);
    /// Requests beyond those that peers expect by the last report; below zero where there were fewer.
    [[nodiscard]] static double unexpected(const Account &account, TimePoint now);
    [[nodiscard]] bool isUrgent(const Account &account, TimePoint now) const;
    [[nodiscard]] bool isNamed(const Account &account, ReportScope scope, TimePoint now) const;
    [[nodiscard]] double rateOf(const PeerReport &report, const OrganisationId &organisation, const Account &account) const;
    [[nodiscard]] double nodes() const;
    [[nodiscard]] double depthOf(const Account &account) const;
    [[nodiscard]] double localDepthOf(const Account &account) const;
    [[nodiscard]] double localRateLimit(const Account &account) const;

    AllowanceSettings m_settings;
    std::size_t m_peers;
    std::unordered_map<OrganisationId, Account> m_accounts;
    std::map<NodeId, PeerReport> m_reports;
    TimePoint m_updatedAt;
};

} // namespace banyankeel

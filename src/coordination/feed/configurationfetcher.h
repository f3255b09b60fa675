#pragma once

// Chooses the peer that a node asks for a newer configuration.
//
//   ConfigurationFetcher fetcher({});
//   fetcher.recordVersion(peer, PeerDistance::Region, version);
//   if (const auto peer = fetcher.next(ownVersion, now)) ... // send it a request
//   fetcher.recordDocument(*peer);                           // when its document arrives

#include "state/identifier.h"
#include "state/meshconfiguration.h"
#include "state/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace banyankeel
{

/// How far a peer is from this node.
enum class PeerDistance : std::uint8_t {
    FailureDomain,
    Region,
    OtherRegion,
};

struct ConfigurationFetcherSettings {
    /// How long a peer of the own region, or of another one, may take to answer before the next peer is asked.
    Duration answerTimeout = std::chrono::milliseconds(600);
    Duration remoteAnswerTimeout = std::chrono::milliseconds(1500);
    /// How long the store and the peers of the own region have to provide a configuration that another region already has.
    Duration remoteDelay = std::chrono::milliseconds(300);
    /// Added for each node of the region that ranks before this one, so that the first node fetches the document and the others get it from that one.
    Duration remoteDelayPerRank = std::chrono::milliseconds(100);
    Duration maxRemoteDelay = std::chrono::seconds(5);

    friend auto operator<=>(const ConfigurationFetcherSettings &, const ConfigurationFetcherSettings &) = default;
};

/// A document may be large and many peers report the same version at about the same time. At most one request is outstanding, near peers are asked
/// first, and peers of other regions only after a delay. Not thread-safe; time linear in the peers.
class ConfigurationFetcher
{
public:
    explicit ConfigurationFetcher(const ConfigurationFetcherSettings &settings);

    /// Records the version that @p peer has reported.
    void recordVersion(const NodeId &peer, PeerDistance distance, ConfigurationVersion version);
    /// The peer can't be asked any more. A request to it is considered lost.
    void removePeer(const NodeId &peer);
    /// A document has arrived from @p peer.
    void recordDocument(const NodeId &peer);
    /// Sets the number of reachable nodes of the own region that rank before this node.
    void setRegionRank(std::size_t rank)
    {
        m_regionRank = rank;
    }
    /// Returns the peer to ask now, if any, and regards it as asked. @param own the version that this node has.
    std::optional<NodeId> next(ConfigurationVersion own, TimePoint now);

private:
    struct ReportedVersion {
        PeerDistance distance;
        ConfigurationVersion version;
        std::optional<TimePoint> askedAt;
    };
    struct Request {
        NodeId peer;
        TimePoint expiresAt;
    };

    [[nodiscard]] Duration timeoutFor(PeerDistance distance) const;
    [[nodiscard]] bool isEligible(const ReportedVersion &reported, ConfigurationVersion own, TimePoint now) const;

    ConfigurationFetcherSettings m_settings;
    std::map<NodeId, ReportedVersion> m_reported;
    std::optional<Request> m_request;
    std::size_t m_regionRank = 0;
    /// Since when peers have had a newer version than this node's present one.
    std::optional<TimePoint> m_behindSince;
    ConfigurationVersion m_own{};
};

} // namespace banyankeel

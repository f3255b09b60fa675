#include "coordination/feed/configurationfetcher.h"

#include <algorithm>
#include <tuple>

namespace banyankeel
{

ConfigurationFetcher::ConfigurationFetcher(const ConfigurationFetcherSettings &settings)
    : m_settings(settings)
{
}

void ConfigurationFetcher::recordVersion(const NodeId &peer, PeerDistance distance, ConfigurationVersion version)
{
    ReportedVersion &reported = m_reported.try_emplace(peer, ReportedVersion{distance, version, std::nullopt}).first->second;
    reported.distance = distance;
    reported.version = version;
}

void ConfigurationFetcher::removePeer(const NodeId &peer)
{
    m_reported.erase(peer);
    recordDocument(peer);
}

void ConfigurationFetcher::recordDocument(const NodeId &peer)
{
    if (m_request && m_request->peer == peer) {
        m_request.reset();
    }
}

std::optional<NodeId> ConfigurationFetcher::next(ConfigurationVersion own, TimePoint now)
{
    const bool isBehind = std::ranges::any_of(m_reported, [own](const auto &it) { return it.second.version > own; });
    if (!isBehind) {
        m_behindSince.reset();
        m_request.reset();
        return std::nullopt;
    }
    if (!m_behindSince || own != m_own) {
        m_behindSince = now;
        m_own = own;
    }
    if (m_request && now < m_request->expiresAt) {
        return std::nullopt;
    }
    m_request.reset();
    auto best = m_reported.end();
    // A node that has none takes the newest: an older document may allow what was withdrawn before the node started.
    const bool hasNone = own == ConfigurationVersion{};
    const auto rankOf = [hasNone](const ReportedVersion &it) {
        const std::uint64_t age = hasNone ? ~static_cast<std::uint64_t>(it.version) : 0;
        return std::tuple(age, it.distance, it.askedAt.value_or(TimePoint::min()));
    };
    for (auto it = m_reported.begin(); it != m_reported.end(); ++it) {
        if (isEligible(it->second, own, now) && (best == m_reported.end() || rankOf(it->second) < rankOf(best->second))) {
            best = it;
        }
    }
    if (best == m_reported.end()) {
        return std::nullopt;
    }
    best->second.askedAt = now;
    m_request = Request{best->first, now + timeoutFor(best->second.distance)};
    return best->first;
}

Duration ConfigurationFetcher::timeoutFor(PeerDistance distance) const
{
    return distance == PeerDistance::OtherRegion ? m_settings.remoteAnswerTimeout : m_settings.answerTimeout;
}

bool ConfigurationFetcher::isEligible(const ReportedVersion &reported, ConfigurationVersion own, TimePoint now) const
{
    // A peer that did not provide a usable document is not asked again at once.
    if (reported.version <= own || (reported.askedAt && now - *reported.askedAt < timeoutFor(reported.distance))) {
        return false;
    }
    const auto rank = static_cast<std::int64_t>(m_regionRank);
    const Duration delay = std::min(m_settings.remoteDelay + rank * m_settings.remoteDelayPerRank, m_settings.maxRemoteDelay);
    return reported.distance != PeerDistance::OtherRegion || now - *m_behindSince >= delay;
}

} // namespace banyankeel

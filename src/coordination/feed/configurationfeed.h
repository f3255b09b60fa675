#pragma once

// Keeps a node's configuration up to date from the platform's store and from peers.
//
//   ConfigurationFeed feed({.table = "op", .key = "config"}, hooks);
//   feed.start();
//   feed.handleDocument(document, peer.text());

#include "protocol/nodereport.h"
#include "protocol/storefeed.h"
#include "protocol/storemessages.h"
#include "state/meshconfiguration.h"
#include "state/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace banyankeel
{

struct ConfigurationFeedSettings {
    /// The row that contains the complete current configuration.
    RowKey row;
    /// Initial long-poll time of a request for changes. Also bounds how long a request that the store has lost is considered outstanding.
    Duration wait = std::chrono::milliseconds(1500);
    Duration minRetryDelay = std::chrono::milliseconds(100);
    Duration maxRetryDelay = std::chrono::milliseconds(600);
};

/// All callbacks must be set.
struct ConfigurationFeedHooks {
    std::function<TimePoint()> now;
    std::function<void(const StoreRequest &request, std::function<void(StoreReply)> reply)> ask;
    std::function<void(const FollowRows &request, std::function<void(FollowReply)> reply)> follow;
    std::function<void(Duration delay, std::function<void()> task)> runAfter;
    /// @throws Error if the document can't be decoded.
    std::function<MeshConfigurationPointer(const std::string &document)> decode;
    /// Called with each configuration that is newer than all before. @param source StoreSource, or the source given to handleDocument().
    std::function<void(const MeshConfigurationPointer &configuration, std::string_view source)> changed;
    /// Reports a document that can't be decoded or an unavailable store, as an event name and a detail.
    std::function<void(const std::string &event, const std::string &detail)> reportProblem;
    std::function<void()> storeRegained;
};

/// Follows the configuration row. Not thread-safe. Any member function may call the callbacks. The configuration version never decreases, whatever the
/// source of a configuration.
class ConfigurationFeed
{
public:
    /// Names the store as the source of a configuration.
    static constexpr std::string_view StoreSource = "store";

    ConfigurationFeed(ConfigurationFeedSettings settings, ConfigurationFeedHooks hooks);

    /// Reads the store's row, or follows it if a peer has provided a configuration already. No effect if called again.
    void start();
    [[nodiscard]] bool isStarted() const
    {
        return m_isStarted;
    }
    /// Stops requests and changes.
    void stop();
    /// Sets the long-poll time from the next request on. A longer time causes fewer requests but delays the detection of a lost connection.
    void setWait(Duration wait)
    {
        m_settings.wait = wait;
    }
    /// Sets whether this node follows the store. If not, it finishes the request in progress, repeats it while the store is unavailable, and otherwise
    /// relies on peers.
    void setFollowing(bool isFollowing);
    /// Handles a document from @p source, which is not the store.
    void handleDocument(const ConfigurationDocument &document, std::string_view source);

    /// A peer knows that the newest version in the store was @p newest at @p at. Counts only if this node has that version.
    void recordVerification(ConfigurationVersion newest, TimePoint at);
    /// When the configuration of this node was last known to be the newest of the store, from whichever source. The store may have a newer one since.
    [[nodiscard]] TimePoint verifiedAt() const
    {
        return m_verifiedAt;
    }
    /// Null until a configuration is known.
    [[nodiscard]] const MeshConfigurationPointer &current() const
    {
        return m_current;
    }
    /// The document of current().
    [[nodiscard]] const ConfigurationDocument &document() const
    {
        return m_document;
    }
    [[nodiscard]] ConfigurationVersion version() const
    {
        return m_current ? m_current->version() : ConfigurationVersion{};
    }
    [[nodiscard]] bool isStoreReachable() const
    {
        return m_consecutiveFailures == 0;
    }

private:
    void readRow();
    void handleReply(const StoreReply &reply);
    void follow();
    void followOrPause();
    void handleReply(const FollowReply &reply);
    void applyRows(const std::vector<Row> &rows);
    void handleFailure(const std::string &detail, void (ConfigurationFeed::*next)());
    void handleSuccess();
    void verify(TimePoint at);

    ConfigurationFeedSettings m_settings;
    ConfigurationFeedHooks m_hooks;
    MeshConfigurationPointer m_current;
    ConfigurationDocument m_document;
    /// Changes up to this version are known.
    RowVersion m_lastVersion = 0;
    TimePoint m_verifiedAt{};
    /// When the request in progress was sent.
    TimePoint m_askedAt{};
    /// Its long-poll time.
    Duration m_waiting{};
    std::uint32_t m_consecutiveFailures = 0;
    bool m_isStarted = false;
    bool m_isFollowing = true;
    /// No request is in progress because this node does not follow the store.
    bool m_isPaused = false;
    bool m_isStopped = false;
};

} // namespace banyankeel

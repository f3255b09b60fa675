#pragma once

// Keeps a node's configuration up to date from the platform's store, and from peers where the store does not answer.
//
//   ConfigurationFeed feed({.table = "op", .key = "config"}, hooks);
//   feed.start();
//   feed.offered(document);     // from a peer

#include "protocol/storefeed.h"
#include "protocol/storemessages.h"
#include "state/meshconfiguration.h"
#include "state/time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace banyankeel
{

struct ConfigurationFeedSettings {
    /// The row that holds the newest configuration whole.
    RowKey row;
    /// How long one question for changes waits at first. Bounds for how long a question that the store lost is taken to be under way.
    Duration wait = std::chrono::milliseconds(1500);
    Duration shortestRetry = std::chrono::milliseconds(100);
    Duration longestRetry = std::chrono::milliseconds(600);
};

/// All must be set.
struct ConfigurationFeedHooks {
    std::function<void(const StoreRequest &request, std::function<void(StoreReply)> reply)> ask;
    std::function<void(const FollowRows &request, std::function<void(FollowReply)> reply)> follow;
    std::function<void(Duration delay, std::function<void()> task)> runAfter;
    /// @throws Error if the document can't be read.
    std::function<MeshConfigurationPointer(const std::string &document)> decode;
    /// A newer configuration than any before.
    std::function<void(const MeshConfigurationPointer &configuration)> changed;
    /// A document that can't be read, or a store that does not answer: what, and the detail.
    std::function<void(const std::string &event, const std::string &detail)> noteProblem;
    std::function<void()> storeRegained;
};

/// Not thread-safe. Hooks may be called from within any function. A configuration never goes back to a lower version, whichever way it came.
class ConfigurationFeed
{
public:
    ConfigurationFeed(ConfigurationFeedSettings settings, ConfigurationFeedHooks hooks);

    void start();
    /// No further questions and changes.
    void stop();
    /// From the next question on, the store may hold one for so long. A longer wait costs fewer questions and finds a lost connection later.
    void setWait(Duration wait)
    {
        m_settings.wait = wait;
    }
    /// A document that did not come from the store.
    void offered(const std::string &document);

    /// Null while none is known.
    [[nodiscard]] const MeshConfigurationPointer &current() const
    {
        return m_current;
    }
    /// The document of current().
    [[nodiscard]] const std::string &document() const
    {
        return m_document;
    }
    [[nodiscard]] ConfigurationVersion version() const
    {
        return m_current ? m_current->version() : ConfigurationVersion{};
    }
    [[nodiscard]] bool isStoreReachable() const
    {
        return m_failures == 0;
    }

private:
    void read();
    void received(const StoreReply &reply);
    void follow();
    void received(const FollowReply &reply);
    void take(const std::vector<Row> &rows);
    void failed(const std::string &detail, void (ConfigurationFeed::*next)());
    void succeeded();

    ConfigurationFeedSettings m_settings;
    ConfigurationFeedHooks m_hooks;
    MeshConfigurationPointer m_current;
    std::string m_document;
    RowVersion m_newest = 0;
    std::uint32_t m_failures = 0;
    bool m_isStopped = false;
};

} // namespace banyankeel

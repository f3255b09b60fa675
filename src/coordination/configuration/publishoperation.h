#pragma once

// Publishes one change: validates it, then writes the head by compare-and-set together with the change row.
//
//   PublishOperation publish({.operation = id, .author = "eleni", .time = now}, baseSet, change, check);
//   std::optional<StoreRequest> request = publish.start();
//   while (request) request = publish.advance(askStore(*request));
//   const PublishOutcome &outcome = publish.outcome();

#include "coordination/configuration/configurationloader.h"
#include "coordination/configuration/publishoutcome.h"
#include "coordination/configuration/publishrules.h"
#include "protocol/configurationmessages.h"
#include "protocol/storemessages.h"
#include "state/configurationset.h"
#include "state/identifier.h"
#include "state/time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace banyankeel
{

struct PublishSettings {
    /// Unique to this publish; reuse it when running the publish again after PublishUnknown.
    OperationId operation;
    std::string author;
    WallTime time;
    /// Whether the change is rebased onto concurrent publishes that changed other objects.
    bool isRebased = true;
    /// Number of lost compare-and-sets and failed store requests after which the publish is given up.
    unsigned maxAttempts = 8;
    /// Overridden only by tests.
    PublishRules rules = {};
};

/// Validates a set and returns its faults; empty if it is valid.
using ConfigurationCheck = std::function<std::vector<std::string>(const ConfigurationSet &)>;

/// One publish as a sequence of store requests. Not thread-safe.
class PublishOperation
{
public:
    /// @param baseSet the set that the operator's change is based on.
    PublishOperation(PublishSettings settings, ConfigurationSet baseSet, ConfigurationChange change, ConfigurationCheck check);

    /// The first request, which reads the head.
    [[nodiscard]] StoreRequest start();
    /// Handles the reply to the last request. Returns the next request, or nothing when outcome() is final.
    std::optional<StoreRequest> advance(const StoreReply &reply);

    /// Valid once advance() has returned no request.
    [[nodiscard]] const PublishOutcome &outcome() const
    {
        return m_outcome;
    }
    /// The newest set read or written. With PublishAccepted this is the accepted set, or a newer one if others have published since.
    [[nodiscard]] const ConfigurationSet &set() const
    {
        return m_loader.set();
    }
    [[nodiscard]] const SetDigest &digest() const
    {
        return m_loader.digest();
    }
    /// The changes from the base set to set(). Passed to ConfigurationReplicator::applyPublished(), so that the node need not wait for a
    /// store read. Absent if the store no longer had all of them.
    [[nodiscard]] std::optional<ConfigurationDelta> delta() const;

private:
    enum class Phase { Loading, Writing };

    [[nodiscard]] StoreRequest startLoad();
    std::optional<StoreRequest> handleLoaded();
    std::optional<StoreRequest> handleWriteReply(const StoreReply &reply);
    std::optional<StoreRequest> retry(const std::string &reason);
    std::optional<StoreRequest> finish(PublishOutcome outcome);
    [[nodiscard]] std::optional<Revision> publishedRevision() const;
    [[nodiscard]] std::vector<ObjectName> conflictingObjects() const;
    [[nodiscard]] PublishConflict conflict(std::vector<ObjectName> objects) const;
    [[nodiscard]] StoreRequest writeRequest() const;
    void recordAcceptedWrite();

    PublishSettings m_settings;
    ConfigurationSet m_baseSet;
    ConfigurationChange m_change;
    ConfigurationCheck m_check;
    ConfigurationLoader m_loader;
    // The change rows after the base set, read or written by this operation.
    std::vector<ChangeRow> m_knownChanges;
    Phase m_phase = Phase::Loading;
    unsigned m_attempts = 0;
    bool m_mayHaveWritten = false;
    bool m_isHistoryComplete = true;
    PublishOutcome m_outcome;
};

} // namespace banyankeel

#pragma once

// Reads and publishes the configuration in the store, with one outstanding request at a time.
//
//   ConfigurationClient client(sendToStore);
//   ConfigurationSet set = client.load();
//   PublishOutcome outcome = client.publish(settings, set, change);

#include "coordination/configuration/configurationrows.h"
#include "coordination/configuration/publishoperation.h"
#include "coordination/configuration/publishoutcome.h"
#include "protocol/storemessages.h"
#include "state/configurationset.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace banyankeel
{

/// Sends a request to the store and blocks until the reply arrives.
using StoreCall = std::function<StoreReply(const StoreRequest &request)>;

/// Not thread-safe.
class ConfigurationClient
{
public:
    explicit ConfigurationClient(StoreCall send);

    /// Returns the active configuration. @throws CtlError if the store does not answer.
    ConfigurationSet load();
    /// Returns up to @p limit of the latest changes in the store's retained history, oldest first. @throws CtlError if the store does not answer.
    std::vector<ChangeRow> history(std::size_t limit);
    /// Returns the change made by @p operation, if the store's retained history contains it. @throws CtlError if the store does not answer.
    std::optional<ChangeRow> findOperation(const OperationId &operation);
    /// Validates and publishes a change, then writes a snapshot if one is due.
    PublishOutcome publish(const PublishSettings &settings, const ConfigurationSet &edited, const ConfigurationChange &change);

private:
    RowsRead readHistoryPage(Revision after);
    void writeSnapshot(const PublishOperation &operation);

    StoreCall m_send;
};

} // namespace banyankeel

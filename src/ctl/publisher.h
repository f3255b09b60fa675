#pragma once

// Publishes a change, reports the outcome and waits until the change is active on the fleet.
//
//   Publisher publisher(client, &fleet, output, CtlClock::system());
//   publisher.publish({.operation = id, .author = "eleni"}, set, change);

#include "ctl/configurationclient.h"
#include "ctl/ctloutput.h"
#include "ctl/exitstatus.h"
#include "ctl/fleetview.h"

#include <functional>
#include <optional>
#include <string>

namespace banyankeel
{

struct PublishOptions {
    OperationId operation;
    std::string author;
    /// Fail with a conflict if the active configuration has another revision.
    std::optional<Revision> expectedRevision;
    bool wait = true;
    Duration waitTimeout = std::chrono::seconds(60);
};

/// Clocks used by a command; tests replace them.
struct CtlClock {
    std::function<TimePoint()> now;
    std::function<WallTime()> wallNow;
    std::function<void(Duration)> sleep;

    /// Returns the system clocks.
    static CtlClock system();
};

/// Not thread-safe.
class Publisher
{
public:
    /// @param fleet null if the settings name no node, in which case publish() does not wait. All references must outlive this object.
    Publisher(ConfigurationClient &client, FleetView *fleet, CtlOutput &output, CtlClock clock);

    /// Publishes @p change, which was derived from @p current. An empty change succeeds without publishing. Returns the revision.
    /// @throws CtlError with the matching exit status if the change was not accepted or, when waiting, did not become active in time.
    Revision publish(const PublishOptions &options, const ConfigurationSet &current, const ConfigurationChange &change);
    /// Waits until every node that responds has at least @p revision, and at least one does. @throws CtlError after @p timeout.
    void waitUntilActive(Revision revision, Duration timeout);

private:
    Revision acceptedRevision(const PublishOutcome &outcome, const OperationId &operation) const;

    ConfigurationClient &m_client;
    FleetView *m_fleet;
    CtlOutput &m_output;
    CtlClock m_clock;
};

} // namespace banyankeel

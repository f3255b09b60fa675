#include "state/timelineevent.h"

#include <array>
#include <utility>

namespace banyankeel
{

namespace
{
using namespace std::string_view_literals;

constexpr std::array KindNames{
    std::pair{TimelineKind::Received, "received"sv},
    std::pair{TimelineKind::Admitted, "admitted"sv},
    std::pair{TimelineKind::Queued, "queued"sv},
    std::pair{TimelineKind::Refused, "refused"sv},
    std::pair{TimelineKind::Forwarded, "forwarded"sv},
    std::pair{TimelineKind::TargetCalled, "target-called"sv},
    std::pair{TimelineKind::TargetAnswered, "target-answered"sv},
    std::pair{TimelineKind::Answered, "answered"sv},
    std::pair{TimelineKind::Retried, "retried"sv},
    std::pair{TimelineKind::Cancelled, "cancelled"sv},
    std::pair{TimelineKind::ConfigurationApplied, "configuration-applied"sv},
    std::pair{TimelineKind::KeyWithdrawn, "key-withdrawn"sv},
    std::pair{TimelineKind::LeaseTaken, "lease-taken"sv},
    std::pair{TimelineKind::LeaseLost, "lease-lost"sv},
    std::pair{TimelineKind::TargetDraining, "target-draining"sv},
    std::pair{TimelineKind::TargetEjected, "target-ejected"sv},
    std::pair{TimelineKind::TargetReturned, "target-returned"sv},
    std::pair{TimelineKind::Quarantined, "quarantined"sv},
    std::pair{TimelineKind::PeerJoined, "peer-joined"sv},
    std::pair{TimelineKind::PeerLost, "peer-lost"sv},
    std::pair{TimelineKind::Started, "started"sv},
    std::pair{TimelineKind::Stopping, "stopping"sv},
    std::pair{TimelineKind::MessageSent, "message-sent"sv},
    std::pair{TimelineKind::MessageReceived, "message-received"sv},
};
} // namespace

std::string_view nameOf(TimelineKind kind)
{
    for (const auto &[candidate, name] : KindNames) {
        if (candidate == kind) {
            return name;
        }
    }
    return "unknown";
}

std::optional<TimelineKind> parseTimelineKind(std::string_view name)
{
    for (const auto &[kind, candidate] : KindNames) {
        if (candidate == name) {
            return kind;
        }
    }
    return std::nullopt;
}

} // namespace banyankeel

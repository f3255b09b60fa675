#pragma once

// The possible outcomes of a publish.
//
//   if (const auto *accepted = std::get_if<PublishAccepted>(&outcome)) ...

#include "state/configurationobjects.h"
#include "state/configurationset.h"
#include "state/identifier.h"

#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace banyankeel
{

/// The change is stored as the given revision and will be applied on every node.
struct PublishAccepted {
    Revision revision;

    friend auto operator<=>(const PublishAccepted &, const PublishAccepted &) = default;
};

/// Nothing was published: concurrent publishes changed the same objects since the operator's base revision.
struct PublishConflict {
    /// The newest accepted revision.
    Revision revision;
    /// The objects changed on both sides.
    std::vector<ObjectName> objects;
    /// The revisions, operations and authors of the conflicting changes that the store still has, such as
    /// "revision=7 operation=3f author=eleni".
    std::vector<std::string> others;

    friend auto operator<=>(const PublishConflict &, const PublishConflict &) = default;
};

/// Nothing was published: the resulting set would be invalid.
struct PublishRefused {
    /// The revision against which the change was validated.
    Revision revision;
    std::vector<std::string> faults;

    friend auto operator<=>(const PublishRefused &, const PublishRefused &) = default;
};

/// Nothing was published: the store failed before any write can have taken effect, or its head is behind the operator's base revision.
struct PublishUnavailable {
    std::string detail;

    friend auto operator<=>(const PublishUnavailable &, const PublishUnavailable &) = default;
};

/// It is unknown whether the change was published: no reply came after a write was sent, or the history that would tell was removed.
/// It is published if a change row of the operation exists after revision `base`. Running the same operation again finds that row or
/// publishes at most once.
struct PublishUnknown {
    OperationId operation;
    Revision base;
    std::string detail;

    friend auto operator<=>(const PublishUnknown &, const PublishUnknown &) = default;
};

using PublishOutcome = std::variant<PublishAccepted, PublishConflict, PublishRefused, PublishUnavailable, PublishUnknown>;

} // namespace banyankeel

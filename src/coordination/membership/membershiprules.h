#pragma once

// The protocol rules that the membership guarantees depend on. Tests replace single rules to verify that their checkers detect the violation.

#include "protocol/membershipmessages.h"
#include "state/targetrecord.h"

#include <functional>

namespace banyankeel
{

/// Pure functions. Only the defaults uphold the guarantees.
struct MembershipRules {
    /// Whether a target's announcement replaces the known one.
    std::function<bool(const TargetRecord &offered, const TargetRecord &known)> supersedes = [](const TargetRecord &offered, const TargetRecord &known) {
        return offered.supersedes(known);
    };
    /// Whether a node refutes a rumour that it is suspect or gone.
    std::function<bool(const MemberRumour &rumour)> refutes = [](const MemberRumour &rumour) { return rumour.state != MemberState::Alive; };
    /// Whether announcements are retransmitted until they are acknowledged.
    std::function<bool()> retransmitsAnnouncements = [] { return true; };
};

} // namespace banyankeel

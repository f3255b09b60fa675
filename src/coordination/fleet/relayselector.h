#pragma once

// Chooses the nodes of one region that relay reports: to which of them a node reports, and from which one it takes the reports of others.
//
//   RelaySelector selector({});
//   selector.update(candidates, now);
//   if (selector.current()) ...        // subscribe there
//   selector.recordBatch(node, now);   // for each batch
//
// Answers control traffic that grows with the pairs of nodes: each node exchanges messages with two relays instead of with all others. Nodes that see the
// same candidates choose the same relays; nodes that see others choose more relays than needed, which costs messages and nothing else.

#include "state/identifier.h"
#include "state/time.h"

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace banyankeel
{

struct RelaySelectorSettings {
    /// A relay that sends nothing for this long is passed over. Batches come several times as often.
    Duration silenceLimit = std::chrono::milliseconds(1000);
    /// How long a relay that was lost or silent is passed over.
    Duration retryDelay = std::chrono::seconds(3);
    /// How long a relay that ranks before the current one must be there before it takes its place, so that a node that fails again and again does not
    /// move all others.
    Duration returnDelay = std::chrono::seconds(4);

    friend auto operator<=>(const RelaySelectorSettings &, const RelaySelectorSettings &) = default;
};

/// Not thread-safe. Knows no clock; a step takes time linear in the candidates.
class RelaySelector
{
public:
    /// Nodes that are informed beside the one that this node has subscribed with, so that they can take its place at once.
    static constexpr std::size_t ReportedRelays = 2;

    explicit RelaySelector(const RelaySelectorSettings &settings);

    /// @param candidates nodes of the region that may serve as relays, in the order that all nodes use; this node among them if it belongs to the region.
    /// Returns true if the current relay has changed.
    bool update(const std::vector<NodeId> &candidates, TimePoint now);
    /// A batch has come from @p relay.
    void recordBatch(const NodeId &relay, TimePoint now);
    /// The connection to @p node was lost, or could not be made.
    void recordLoss(const NodeId &node, TimePoint now);
    /// Ends the subscription, for example because it is no longer needed.
    void clear();

    /// The relay to subscribe with; absent without candidates.
    [[nodiscard]] const std::optional<NodeId> &current() const
    {
        return m_current;
    }
    /// The relays to report to, the current one among them.
    [[nodiscard]] const std::vector<NodeId> &reported() const
    {
        return m_reported;
    }

private:
    [[nodiscard]] bool isPassedOver(const NodeId &node, TimePoint now) const;
    void choose(const NodeId &node, TimePoint now);

    RelaySelectorSettings m_settings;
    std::optional<NodeId> m_current;
    std::vector<NodeId> m_reported;
    /// When the current relay was chosen, or its last batch came.
    TimePoint m_heardAt{};
    /// Since when the first candidate ranks before the current relay.
    std::optional<TimePoint> m_betterSince;
    std::map<NodeId, TimePoint> m_passedOverUntil;
};

} // namespace banyankeel

#pragma once

// Counts the messages between nodes by their type and by how far the other node is.
//
//   PeerTraffic traffic;
//   traffic.record(TrafficDirection::Sent, MessageType::NodeReport, PeerDistance::Region, bytes);
//   std::string text = traffic.summary(TrafficDirection::Sent);

#include "coordination/feed/configurationfetcher.h"
#include "protocol/envelope.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace banyankeel
{

enum class TrafficDirection : std::uint8_t {
    Sent,
    Received,
};

/// The name of a type in logs and metrics, such as "node-report"; "other" for types that a mesh does not use.
std::string_view nameOf(MessageType type);
std::string_view nameOf(PeerDistance distance);
std::string_view nameOf(TrafficDirection direction);

/// Totals since the start of the node. Not thread-safe. The number of series is bounded by the types.
class PeerTraffic
{
public:
    /// @param bytes of the frame, with its header.
    void record(TrafficDirection direction, MessageType type, PeerDistance distance, std::size_t bytes);

    /// In the text exposition format.
    [[nodiscard]] std::string exposition() const;
    /// What was recorded since the last call, as "type/distance=messages:bytes" separated by commas. Clears the counts behind it, not the totals.
    std::string takeSummary(TrafficDirection direction);

private:
    struct Series {
        TrafficDirection direction;
        MessageType type;
        PeerDistance distance;

        friend auto operator<=>(const Series &, const Series &) = default;
    };
    struct Count {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
        std::uint64_t recentMessages = 0;
        std::uint64_t recentBytes = 0;
    };

    std::map<Series, Count> m_counts;
};

} // namespace banyankeel

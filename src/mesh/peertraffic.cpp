#include "mesh/peertraffic.h"

#include <fmt/format.h>

#include <utility>

namespace banyankeel
{

std::string_view nameOf(MessageType type)
{
    switch (type) {
    case MessageType::CallRequest:
        return "call-request";
    case MessageType::CallAnswer:
        return "call-answer";
    case MessageType::CallCancel:
        return "call-cancel";
    case MessageType::CallBodyPart:
        return "call-body-part";
    case MessageType::CallBodyCredit:
        return "call-body-credit";
    case MessageType::NodeReport:
        return "node-report";
    case MessageType::ReportBatch:
        return "report-batch";
    case MessageType::ConfigurationRequest:
        return "configuration-request";
    case MessageType::ConfigurationDocument:
        return "configuration-document";
    default:
        return "other";
    }
}

std::string_view nameOf(PeerDistance distance)
{
    switch (distance) {
    case PeerDistance::FailureDomain:
        return "failure-domain";
    case PeerDistance::Region:
        return "region";
    case PeerDistance::OtherRegion:
        break;
    }
    return "other-region";
}

std::string_view nameOf(TrafficDirection direction)
{
    return direction == TrafficDirection::Sent ? "sent" : "received";
}

void PeerTraffic::record(TrafficDirection direction, MessageType type, PeerDistance distance, std::size_t bytes)
{
    Count &count = m_counts[{direction, type, distance}];
    ++count.messages;
    ++count.recentMessages;
    count.bytes += bytes;
    count.recentBytes += bytes;
}

std::string PeerTraffic::exposition() const
{
    std::string text;
    for (const auto &[series, count] : m_counts) {
        const std::string labels =
            fmt::format("direction=\"{}\",type=\"{}\",distance=\"{}\"", nameOf(series.direction), nameOf(series.type), nameOf(series.distance));
        text += fmt::format("banyankeel_peer_messages_total{{{}}} {}\n", labels, count.messages);
        text += fmt::format("banyankeel_peer_bytes_total{{{}}} {}\n", labels, count.bytes);
    }
    return text;
}

std::string PeerTraffic::takeSummary(TrafficDirection direction)
{
    std::string text;
    for (auto &[series, count] : m_counts) {
        if (series.direction != direction || count.recentMessages == 0) {
            continue;
        }
        const std::uint64_t messages = std::exchange(count.recentMessages, 0);
        const std::uint64_t bytes = std::exchange(count.recentBytes, 0);
        text += fmt::format("{}{}/{}={}:{}", text.empty() ? "" : ",", nameOf(series.type), nameOf(series.distance), messages, bytes);
    }
    return text;
}

} // namespace banyankeel

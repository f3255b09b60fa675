#pragma once

// How a target stand-in behaves.

#include "state/endpoint.h"
#include "state/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyankeel
{

/// What a request whose path begins with pathPrefix calls through the target's own node.
struct DownstreamCall {
    std::string pathPrefix;
    std::string method;
    std::string path;

    /// Reads "<prefix>=<path>", "<prefix>=POST <path>" or only "<path>" for all requests; several are separated by commas.
    /// @throws SettingsError on any other text.
    static std::vector<DownstreamCall> parse(std::string_view text);

    friend auto operator<=>(const DownstreamCall &, const DownstreamCall &) = default;
};

struct StandinSettings {
    Endpoint listen;
    /// Where the target's own node takes its downstream calls.
    std::optional<Endpoint> node;
    std::string name = "target";
    /// Requests that run at once.
    std::size_t slots = 8;
    /// Requests that wait for a slot; further ones are refused.
    std::size_t queue = 1000;
    Duration serviceTime = std::chrono::milliseconds(5);
    /// For this long after the start, each request takes ColdFactor times as long.
    Duration coldStart = Duration(0);
    std::vector<DownstreamCall> calls;
    /// A request whose path or body contains this text ends the process while it runs; empty for none.
    std::string crashMark;
    /// Answers are filled up to this length.
    std::size_t answerBytes = 0;
};

} // namespace banyankeel

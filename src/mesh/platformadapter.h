#pragma once

// The platform-specific parts of a node: header names, request decoding and access to the store. Supplied by the platform code.

#include "protocol/headerdialect.h"
#include "protocol/httpmessage.h"
#include "protocol/storefeed.h"
#include "protocol/storemessages.h"
#include "state/meshconfiguration.h"
#include "state/targetreport.h"
#include "state/time.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace banyankeel
{

/// The host's target shuts down and sends no further reports.
struct TargetDeregistration {
    std::string name;
    std::optional<WallTime> startedAt;

    friend auto operator<=>(const TargetDeregistration &, const TargetDeregistration &) = default;
};

/// A request whose path or method is not part of the target interface.
struct UnknownTargetNotification {
    friend auto operator<=>(const UnknownTargetNotification &, const UnknownTargetNotification &) = default;
};

using TargetNotification = std::variant<TargetReport, TargetDeregistration, UnknownTargetNotification>;

/// All must be set.
struct PlatformAdapter {
    HeaderDialect headers;
    /// Returns whether a request is a readiness probe.
    std::function<bool(const HttpRequest &request)> isReadinessProbe;
    /// @throws Error naming the object and the field if the body is invalid.
    std::function<TargetNotification(const HttpRequest &request)> decodeTargetNotification;
    /// The response to a heartbeat.
    HttpResponse reportResponse;
    /// What a target says about itself in a response to a request.
    std::function<TargetNotice(const HttpResponse &response)> readTargetNotice;
    /// @throws Error naming the object and the field.
    std::function<MeshConfigurationPointer(const std::string &document)> decodeConfiguration;
    /// The row that holds the current configuration.
    RowKey configurationRow;
};

/// Access to the platform's store. Handlers are called asynchronously on the node's thread, exactly once per request.
struct MeshStore {
    std::function<void(const StoreRequest &request, std::function<void(StoreReply)> reply)> send;
    std::function<void(const FollowRows &request, std::function<void(FollowReply)> reply)> follow;
};

} // namespace banyankeel

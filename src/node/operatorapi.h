#pragma once

// HTTP API for operators. Health and metrics need no authentication;
// status, timeline, drain and quarantine require the operator token.

#include "protocol/httpmessage.h"
#include "telemetry/metrics.h"
#include "transport/httpserver.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace banyankeel
{

/// Data and actions behind the API. All may be called from any thread.
struct OperatorApiHooks {
    /// Whether the node is serving, and a description of its state.
    std::function<std::pair<bool, std::string>()> health;
    /// A JSON object.
    std::function<std::string()> status;
    /// Newline-delimited JSON.
    std::function<std::string()> timeline;
    std::function<void()> drain;
    /// A JSON array.
    std::function<std::string()> quarantine;
    /// Returns whether the fingerprint was found and released.
    std::function<bool(std::string_view fingerprint)> releaseQuarantine;
};

/// Thread-safe.
class OperatorApi
{
public:
    /// @param metrics must outlive this object.
    OperatorApi(std::string token, const Metrics &metrics, OperatorApiHooks hooks);

    [[nodiscard]] HttpResponse handle(const HttpRequest &request) const;

private:
    [[nodiscard]] bool isAuthorised(const HttpRequest &request) const;
    [[nodiscard]] HttpResponse handleAuthorised(std::string_view method, std::string_view path, std::string_view query) const;

    std::string m_token;
    const Metrics &m_metrics;
    OperatorApiHooks m_hooks;
};

} // namespace banyankeel

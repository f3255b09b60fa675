#include "node/operatorapi.h"

#include "node/requestparsing.h"

#include <openssl/crypto.h>

namespace banyankeel
{

namespace
{
constexpr std::string_view FingerprintParameter = "fingerprint=";

HttpResponse textResponse(int status, std::string body, const char *type = "text/plain")
{
    return {.status = status, .headers = {{"Content-Type", type}}, .body = std::move(body)};
}

std::string_view fingerprintOf(std::string_view query)
{
    const std::size_t position = query.find(FingerprintParameter);
    if (position == std::string_view::npos) {
        return {};
    }
    const std::string_view rest = query.substr(position + FingerprintParameter.size());
    return rest.substr(0, rest.find('&'));
}
} // namespace

OperatorApi::OperatorApi(std::string token, const Metrics &metrics, OperatorApiHooks hooks)
    : m_token(std::move(token))
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
{
}

HttpResponse OperatorApi::handle(const HttpRequest &request) const
{
    const std::string_view target = request.target;
    const std::size_t queryStart = target.find('?');
    const std::string_view path = target.substr(0, queryStart);
    const std::string_view query = queryStart == std::string_view::npos ? std::string_view() : target.substr(queryStart + 1);
    if (path == "/health") {
        const auto [isServing, detail] = m_hooks.health();
        return textResponse(isServing ? 200 : 503, detail + '\n');
    }
    if (path == "/metrics") {
        return textResponse(200, m_metrics.exposition(), "text/plain; version=0.0.4");
    }
    if (!isAuthorised(request)) {
        return textResponse(401, "missing or invalid operator token\n");
    }
    return handleAuthorised(request.method, path, query);
}

bool OperatorApi::isAuthorised(const HttpRequest &request) const
{
    const std::optional<std::string_view> bearer = bearerToken(request);
    return bearer && bearer->size() == m_token.size() && CRYPTO_memcmp(bearer->data(), m_token.data(), m_token.size()) == 0;
}

HttpResponse OperatorApi::handleAuthorised(std::string_view method, std::string_view path, std::string_view query) const
{
    if (method == "GET" && path == "/operator/status") {
        return textResponse(200, m_hooks.status(), "application/json");
    }
    if (method == "GET" && path == "/operator/timeline") {
        return textResponse(200, m_hooks.timeline(), "application/x-ndjson");
    }
    if (method == "POST" && path == "/operator/drain") {
        m_hooks.drain();
        return textResponse(202, "draining\n");
    }
    if (method == "GET" && path == "/operator/quarantine") {
        return textResponse(200, m_hooks.quarantine(), "application/json");
    }
    if (method == "POST" && path == "/operator/quarantine/release") {
        const bool wasFound = m_hooks.releaseQuarantine(fingerprintOf(query));
        return textResponse(wasFound ? 200 : 404, wasFound ? "released\n" : "no such fingerprint\n");
    }
    return textResponse(404, "no such path\n");
}

} // namespace banyankeel

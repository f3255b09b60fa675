#include "mesh/calloutcome.h"

#include "protocol/httpheaders.h"

namespace banyankeel
{

namespace
{
constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;
constexpr int Misdirected = 421;

bool isSuccess(const HttpResponse &response)
{
    return response.status >= FirstSuccess && response.status < FirstRedirect;
}

bool reportsNotRun(const HeaderDialect &headers, const HttpResponse &response)
{
    return response.status == Misdirected || findHeader(response.headers, headers.notRun).has_value();
}
} // namespace

bool isResponseTo(const HeaderDialect &headers, const std::string &requestId, const HttpResponse &response)
{
    const std::optional<std::string_view> id = findHeader(response.headers, headers.requestId);
    return id ? *id == requestId : reportsNotRun(headers, response);
}

CallOutcome classifyResult(const HeaderDialect &headers, HttpResult result)
{
    if (!result.response) {
        const Verdict verdict = result.runState == RunState::NotRun ? Verdict::refused(result.reason) : Verdict::unknown(result.reason);
        return {verdict, std::nullopt};
    }
    HttpResponse &response = *result.response;
    if (!isSuccess(response) && reportsNotRun(headers, response)) {
        return {Verdict::refused(response.status == Misdirected ? Reason::NoTarget : Reason::TargetFailed), std::nullopt};
    }
    // Without the signature the sender of the response is unknown. No encoding was requested, so one that is present was added by an intermediary.
    if (!findHeader(response.headers, headers.targetSignature) || findHeader(response.headers, "Content-Encoding")) {
        return {Verdict::unknown(Reason::TargetFailed), std::nullopt};
    }
    response.headers = endToEndHeaders(std::move(response.headers));
    return {Verdict::ran(), std::move(response)};
}

} // namespace banyankeel

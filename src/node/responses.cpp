#include "node/responses.h"

#include "protocol/headernames.h"
#include "protocol/httpheaders.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <fmt/format.h>

namespace banyankeel
{

namespace
{
/// Set anew by each hop; removed in addition to the headers of the connection.
constexpr std::array<std::string_view, 6> HopByHopHeaders{
    "Host",
    "Expect",
    headers::Authorization,
    headers::Deadline,
    headers::Context,
    headers::Request,
};

int statusOf(const Verdict &verdict)
{
    switch (verdict.reason()) {
    case Reason::BadRequest:
    case Reason::MissingIdempotencyKey:
        return 400;
    case Reason::UnknownKey:
    case Reason::WithdrawnKey:
    case Reason::UnknownContext:
        return 401;
    case Reason::ForbiddenRoute:
        return 403;
    case Reason::UnknownRoute:
        return 404;
    case Reason::DuplicateRequest:
        return 409;
    case Reason::BodyTooLarge:
        return 413;
    case Reason::Quarantined:
        return 422;
    case Reason::RateExceeded:
        return 429;
    case Reason::TargetFailed:
    case Reason::BodyIncomplete:
    case Reason::ConnectionLost:
        return verdict.runState() == RunState::NotRun ? 503 : 502;
    case Reason::DeadlineExpired:
    case Reason::Cancelled:
        return 504;
    default:
        return verdict.runState() == RunState::NotRun ? 503 : 504;
    }
}

std::string retryAfterSeconds(Duration retryAfter)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
    return std::to_string(std::max<std::int64_t>(1, seconds));
}

void addVerdictHeaders(std::vector<HttpHeader> &target, const Verdict &verdict)
{
    target.push_back({std::string(headers::Verdict), std::string(nameOf(verdict.runState()))});
    if (verdict.reason() != Reason::None) {
        target.push_back({std::string(headers::Reason), std::string(nameOf(verdict.reason()))});
    }
}
} // namespace

HttpResponse refusalResponse(const Verdict &verdict, const std::optional<RequestId> &root)
{
    HttpResponse response{.status = statusOf(verdict), .headers = {}, .body = {}};
    response.headers.push_back({"Content-Type", "text/plain"});
    addVerdictHeaders(response.headers, verdict);
    if (root) {
        response.headers.push_back({std::string(headers::Request), root->text()});
    }
    if (verdict.retryAfter()) {
        response.headers.push_back({std::string(headers::RetryAfter), retryAfterSeconds(*verdict.retryAfter())});
    }
    response.body = fmt::format("{}: {}\n", nameOf(verdict.runState()), nameOf(verdict.reason()));
    return response;
}

HttpResponse answerResponse(HttpResponse answer, const RequestId &root)
{
    std::vector<HttpHeader> forwarded = forwardedHeaders(answer.headers);
    const auto isVerdict = [](const HttpHeader &it) { return isSameHeaderName(it.name, headers::Verdict) || isSameHeaderName(it.name, headers::Reason); };
    forwarded.erase(std::remove_if(forwarded.begin(), forwarded.end(), isVerdict), forwarded.end());
    addVerdictHeaders(forwarded, Verdict::ran());
    forwarded.push_back({std::string(headers::Request), root.text()});
    answer.headers = std::move(forwarded);
    return answer;
}

std::vector<HttpHeader> forwardedHeaders(const std::vector<HttpHeader> &headers)
{
    std::vector<HttpHeader> forwarded;
    forwarded.reserve(headers.size());
    for (const HttpHeader &header : headers) {
        const bool isHopByHop = isHopByHopHeader(header.name)
            || std::any_of(HopByHopHeaders.begin(), HopByHopHeaders.end(), [&header](std::string_view it) { return isSameHeaderName(it, header.name); });
        if (!isHopByHop) {
            forwarded.push_back(header);
        }
    }
    return forwarded;
}

} // namespace banyankeel

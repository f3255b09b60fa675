#include "mesh/refusal.h"

#include <fmt/format.h>

#include <algorithm>

namespace banyankeel
{

namespace
{
int statusOf(const Verdict &verdict)
{
    switch (verdict.reason()) {
    case Reason::BadRequest:
        return 400;
    case Reason::UnknownKey:
        return 401;
    case Reason::UnknownRoute:
        return 404;
    case Reason::RateExceeded:
        return 429;
    default:
        break;
    }
    if (verdict.runState() == RunState::NotRun) {
        return 503;
    }
    return verdict.reason() == Reason::DeadlineExpired ? 504 : 502;
}
} // namespace

HttpResponse refusalResponse(const HeaderDialect &headers, const Verdict &verdict, std::string_view requestId)
{
    HttpResponse response{.status = statusOf(verdict), .headers = {}, .body = {}};
    if (!requestId.empty()) {
        response.headers.push_back({headers.requestId, std::string(requestId)});
    }
    if (verdict.retryAfter()) {
        const double seconds = std::max(0.0, std::chrono::duration<double>(*verdict.retryAfter()).count());
        response.headers.push_back({headers.retryAfter, fmt::format("{:.3f}", seconds)});
    }
    response.headers.push_back({"Content-Type", "text/plain"});
    response.body = fmt::format("{}: {}\n", nameOf(verdict.runState()), nameOf(verdict.reason()));
    return response;
}

} // namespace banyankeel

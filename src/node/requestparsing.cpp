#include "node/requestparsing.h"

#include "node/securerandom.h"
#include "protocol/headernames.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace banyankeel
{

namespace
{
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::int64_t MaxDeadlineMs = 86'400'000;
} // namespace

std::optional<std::string_view> bearerToken(const HttpRequest &request)
{
    const std::optional<std::string_view> value = findHeader(request.headers, headers::Authorization);
    if (!value || value->substr(0, BearerPrefix.size()) != BearerPrefix) {
        return std::nullopt;
    }
    return value->substr(BearerPrefix.size());
}

std::optional<std::string_view> idempotencyKeyOf(const HttpRequest &request)
{
    const std::optional<std::string_view> value = findHeader(request.headers, headers::IdempotencyKey);
    if (!value || value->empty()) {
        return std::nullopt;
    }
    return value;
}

std::optional<Duration> parseDeadline(const HttpRequest &request, Duration maxDeadline)
{
    const std::optional<std::string_view> value = findHeader(request.headers, headers::Deadline);
    if (!value) {
        return maxDeadline;
    }
    std::int64_t ms = 0;
    const auto [end, ec] = std::from_chars(value->data(), value->data() + value->size(), ms);
    if (ec != std::errc() || end != value->data() + value->size() || ms < 1 || ms > MaxDeadlineMs) {
        return std::nullopt;
    }
    return std::min<Duration>(maxDeadline, std::chrono::milliseconds(ms));
}

RequestId makeRootId(const HttpRequest &request, const OrganisationId &organisation)
{
    const std::optional<std::string_view> key = idempotencyKeyOf(request);
    if (key) {
        return RequestId::derive(organisation.text(), *key);
    }
    return {secureRandomNumber(), secureRandomNumber()};
}

RequestId makeRepeatId(const OrganisationId &organisation, std::string_view route, std::string_view repeatKey)
{
    return RequestId::derive(organisation.text(), fmt::format("{}:{}", route, repeatKey));
}

std::string downstreamRepeatKey(const HttpRequest &request, const RequestId &root)
{
    const std::optional<std::string_view> key = idempotencyKeyOf(request);
    if (key) {
        return fmt::format("{}:{}", root.text(), *key);
    }
    const XXH128_hash_t body = XXH3_128bits(request.body.data(), request.body.size());
    return fmt::format("{}:{}:{}:{:016x}{:016x}", root.text(), request.method, request.target, body.high64, body.low64);
}

} // namespace banyankeel

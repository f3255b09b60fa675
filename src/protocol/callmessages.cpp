#include "protocol/callmessages.h"

#include "protocol/wirereader.h"
#include "protocol/wirewriter.h"
#include "state/errors.h"

#include <algorithm>
#include <limits>

namespace banyankeel
{

namespace
{
constexpr std::uint8_t HighestPercent = 100;

void writeHeaders(WireWriter &writer, const std::vector<HttpHeader> &headers)
{
    writer.count(headers.size());
    for (const HttpHeader &header : headers) {
        writer.text(header.name);
        writer.text(header.value);
    }
}

std::vector<HttpHeader> readHeaders(WireReader &reader)
{
    const std::size_t n = reader.itemCount("headers");
    std::vector<HttpHeader> headers;
    for (std::size_t i = 0; i < n; ++i) {
        std::string name = reader.text("header name");
        std::string value = reader.text("header value");
        headers.push_back({std::move(name), std::move(value)});
    }
    return headers;
}

void writeRequestId(WireWriter &writer, const RequestId &id)
{
    writer.number(id.high());
    writer.number(id.low());
}

RequestId readRequestId(WireReader &reader, std::string_view field)
{
    const std::uint64_t high = reader.number(field);
    const std::uint64_t low = reader.number(field);
    return {high, low};
}

void writeOptionalId(WireWriter &writer, const std::optional<RequestId> &id)
{
    if (id) {
        writeRequestId(writer, *id);
    } else {
        writer.absent();
    }
}

std::optional<RequestId> readOptionalId(WireReader &reader, std::string_view field)
{
    if (reader.absent()) {
        return std::nullopt;
    }
    return readRequestId(reader, field);
}

void writeContext(WireWriter &writer, const CallContext &context)
{
    writeRequestId(writer, context.root);
    writer.flag(context.hasStableRoot);
    writer.text(context.organisation.text());
    writer.text(context.key.text());
    writer.compactNumber(static_cast<std::uint64_t>(context.priority));
    writer.duration(context.remaining);
    writer.compactNumber(context.retryBudget);
    writer.compactNumber(context.depth);
}

CallContext readContext(WireReader &reader)
{
    const RequestId root = readRequestId(reader, "root");
    const bool hasStableRoot = reader.flag("stable root");
    auto organisation = reader.name<OrganisationId>("organisation");
    auto key = reader.name<KeyId>("key");
    const auto priority = static_cast<PriorityLevel>(reader.number("priority", std::numeric_limits<std::uint8_t>::max()));
    const Duration remaining = reader.duration("remaining");
    const auto budget = static_cast<std::uint16_t>(reader.number("retry budget", std::numeric_limits<std::uint16_t>::max()));
    const auto depth = static_cast<std::uint8_t>(reader.number("depth", std::numeric_limits<std::uint8_t>::max()));
    return {root, hasStableRoot, std::move(organisation), std::move(key), priority, remaining, budget, depth};
}

void writeVerdict(WireWriter &writer, const Verdict &verdict)
{
    writer.compactNumber(static_cast<std::uint64_t>(verdict.runState()));
    writer.compactNumber(static_cast<std::uint64_t>(verdict.reason()));
    if (verdict.retryAfter()) {
        writer.duration(*verdict.retryAfter());
    } else {
        writer.absent();
    }
}

Verdict readVerdict(WireReader &reader)
{
    const auto runState = static_cast<RunState>(reader.number("run state", static_cast<std::uint64_t>(RunState::Ran)));
    const auto reason = static_cast<Reason>(reader.number("reason", static_cast<std::uint64_t>(Reason::Cancelled)));
    std::optional<Duration> retryAfter;
    if (!reader.absent()) {
        retryAfter = reader.duration("retry after");
    }
    switch (runState) {
    case RunState::NotRun:
        return Verdict::refused(reason, retryAfter);
    case RunState::MayHaveRun:
        return Verdict::unknown(reason);
    case RunState::Ran:
        return Verdict::ran();
    }
    throw ProtocolError("call answer: field run state: value exceeds the maximum");
}

void requireType(const Envelope &envelope, MessageType type, const char *message)
{
    if (envelope.type != type) {
        throw ProtocolError(std::string(message) + ": unexpected message type");
    }
}

void writeLength(WireWriter &writer, const std::optional<std::uint64_t> &length)
{
    if (length) {
        writer.compactNumber(*length);
    } else {
        writer.absent();
    }
}

std::optional<std::uint64_t> readLength(WireReader &reader)
{
    return reader.absent() ? std::nullopt : std::optional(reader.number("body length"));
}

AttemptId readAttempt(WireReader &reader)
{
    return static_cast<AttemptId>(reader.number("attempt"));
}
} // namespace

std::optional<AttemptId> attemptOf(const Envelope &envelope)
{
    switch (envelope.type) {
    case MessageType::CallRequest:
    case MessageType::CallAnswer:
    case MessageType::CallCancel:
    case MessageType::CallBodyPart:
    case MessageType::CallBodyCredit:
        break;
    default:
        return std::nullopt;
    }
    try {
        WireReader reader(envelope.payload, "call message");
        return readAttempt(reader);
    } catch (const ProtocolError &) {
        return std::nullopt;
    }
}

std::uint64_t attemptLink(const RequestId &root, AttemptId attempt, Incarnation sender)
{
    // Multiplicative hashing: spreads small attempt counts over all bits, so that the attempts of different senders for one root request differ.
    constexpr std::uint64_t GoldenRatioMultiplier = 0x9E3779B97F4A7C15ULL;
    return root.low() ^ (static_cast<std::uint64_t>(attempt) * GoldenRatioMultiplier) ^ (static_cast<std::uint64_t>(sender) << 1U);
}

Envelope CallRequest::encode() const
{
    WireWriter writer;
    writer.number(static_cast<std::uint64_t>(attempt));
    writeContext(writer, context);
    writer.text(service.text());
    writer.text(route.text());
    writeOptionalId(writer, claim);
    writeOptionalId(writer, repeatId);
    writer.number(static_cast<std::uint64_t>(targetIncarnation));
    writer.text(http.method);
    writer.text(http.target);
    writeHeaders(writer, http.headers);
    writer.bytes(http.body);
    writer.compactNumber(std::min(repeatPercent, HighestPercent));
    writer.compactNumber(static_cast<std::uint64_t>(rootKind));
    writer.compactNumber(static_cast<std::uint64_t>(rootPriority));
    writer.compactNumber(suspectedCrashes);
    return {MessageType::CallRequest, writer.take()};
}

CallRequest CallRequest::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::CallRequest, "call request");
    WireReader reader(envelope.payload, "call request");
    const AttemptId attempt = readAttempt(reader);
    CallContext context = readContext(reader);
    auto service = reader.name<ServiceName>("service");
    auto route = reader.name<RouteName>("route");
    const std::optional<RequestId> claim = readOptionalId(reader, "claim");
    const std::optional<RequestId> repeatId = readOptionalId(reader, "repeat id");
    const auto incarnation = static_cast<Incarnation>(reader.number("incarnation"));
    HttpRequest http;
    http.method = reader.text("method");
    http.target = reader.text("target");
    http.headers = readHeaders(reader);
    http.body = reader.bytes("body");
    const auto repeatPercent = static_cast<std::uint8_t>(reader.number("repeat percent", HighestPercent));
    const auto rootKind = static_cast<RequestKind>(reader.number("root kind", std::numeric_limits<std::uint32_t>::max()));
    const auto rootPriority = static_cast<PriorityLevel>(reader.number("root priority", std::numeric_limits<std::uint8_t>::max()));
    const auto suspectedCrashes = static_cast<std::uint16_t>(reader.number("suspected crashes", std::numeric_limits<std::uint16_t>::max()));
    reader.finish();
    return {attempt,
            std::move(context),
            std::move(service),
            std::move(route),
            claim,
            repeatId,
            incarnation,
            std::move(http),
            repeatPercent,
            rootKind,
            rootPriority,
            suspectedCrashes};
}

Envelope CallAnswer::encode() const
{
    WireWriter writer;
    writer.number(static_cast<std::uint64_t>(attempt));
    writeVerdict(writer, verdict);
    writer.compactNumber(static_cast<std::uint64_t>(hint.admittedLevel));
    writer.real(hint.admittedFraction);
    writer.compactNumber(hint.load);
    writer.compactNumber(hint.limit);
    writer.compactNumber(retriesSpent);
    if (response) {
        writer.compactNumber(static_cast<std::uint64_t>(response->status));
        writeHeaders(writer, response->headers);
        writer.bytes(response->body);
    } else {
        writer.absent();
    }
    writer.flag(following.has_value());
    if (following) {
        writeLength(writer, following->length);
    }
    return {MessageType::CallAnswer, writer.take()};
}

CallAnswer CallAnswer::decode(const Envelope &envelope)
{
    constexpr std::uint64_t HighestCount = std::numeric_limits<std::uint32_t>::max();
    requireType(envelope, MessageType::CallAnswer, "call answer");
    WireReader reader(envelope.payload, "call answer");
    const AttemptId attempt = readAttempt(reader);
    const Verdict verdict = readVerdict(reader);
    AdmissionHint hint{};
    hint.admittedLevel = static_cast<PriorityLevel>(reader.number("admitted level", std::numeric_limits<std::uint8_t>::max()));
    hint.admittedFraction = reader.real("admitted fraction");
    hint.load = static_cast<std::uint32_t>(reader.number("load", HighestCount));
    hint.limit = static_cast<std::uint32_t>(reader.number("limit", HighestCount));
    const auto retriesSpent = static_cast<std::uint16_t>(reader.number("retries spent", std::numeric_limits<std::uint16_t>::max()));
    std::optional<HttpResponse> response;
    if (!reader.absent()) {
        HttpResponse http{};
        http.status = static_cast<int>(reader.number("status", HighestHttpStatus));
        if (!isFinalStatus(http.status)) {
            throw ProtocolError("call answer: field status: " + std::to_string(http.status) + " found, that of a final response expected");
        }
        http.headers = readHeaders(reader);
        http.body = reader.bytes("body");
        response = std::move(http);
    }
    std::optional<FollowingBody> following;
    if (reader.flag("body follows")) {
        following = FollowingBody{readLength(reader)};
    }
    reader.finish();
    return {attempt, verdict, std::move(response), hint, retriesSpent, following};
}

Envelope CallBodyPart::encode() const
{
    WireWriter writer;
    writer.number(static_cast<std::uint64_t>(attempt));
    writer.compactNumber(static_cast<std::uint64_t>(progress));
    writer.bytes(bytes);
    return {MessageType::CallBodyPart, writer.take()};
}

CallBodyPart CallBodyPart::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::CallBodyPart, "call body part");
    WireReader reader(envelope.payload, "call body part");
    const AttemptId attempt = readAttempt(reader);
    const auto progress = static_cast<BodyProgress>(reader.number("progress", static_cast<std::uint64_t>(BodyProgress::Broken)));
    std::string bytes = reader.bytes("bytes");
    reader.finish();
    return {attempt, std::move(bytes), progress};
}

Envelope CallBodyCredit::encode() const
{
    WireWriter writer;
    writer.number(static_cast<std::uint64_t>(attempt));
    writer.compactNumber(bytes);
    return {MessageType::CallBodyCredit, writer.take()};
}

CallBodyCredit CallBodyCredit::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::CallBodyCredit, "call body credit");
    WireReader reader(envelope.payload, "call body credit");
    const AttemptId attempt = readAttempt(reader);
    const auto bytes = static_cast<std::uint32_t>(reader.number("bytes", std::numeric_limits<std::uint32_t>::max()));
    reader.finish();
    return {attempt, bytes};
}

Envelope CallCancel::encode() const
{
    WireWriter writer;
    writer.number(static_cast<std::uint64_t>(attempt));
    return {MessageType::CallCancel, writer.take()};
}

CallCancel CallCancel::decode(const Envelope &envelope)
{
    requireType(envelope, MessageType::CallCancel, "call cancel");
    WireReader reader(envelope.payload, "call cancel");
    const AttemptId attempt = readAttempt(reader);
    reader.finish();
    return {attempt};
}

} // namespace banyankeel

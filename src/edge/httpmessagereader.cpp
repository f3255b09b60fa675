#include "edge/httpmessagereader.h"

#include <utility>

namespace banyankeel
{

namespace
{
// Return value of http_parser's on_headers_complete that tells it the message has no body.
constexpr int HeadersCompleteSkipBody = 1;
constexpr int StopParsing = -1;
// A sender may announce any length, so larger bodies are allocated only as their bytes arrive.
constexpr std::size_t MaxBodyReservationBytes = std::size_t{64} * 1024;
} // namespace

HttpMessageReader::HttpMessageReader(HttpMessageKind kind, const HttpMessageLimits &limits)
    : m_kind(kind)
    , m_limits(limits)
{
    reset();
}

void HttpMessageReader::reset()
{
    http_parser_init(&m_parser, m_kind == HttpMessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_target.clear();
    m_headers.clear();
    m_body = std::string();
    m_bodyLength.reset();
    m_headerBytes = 0;
    m_isInValue = false;
    m_hasBegun = false;
    m_hasHeaders = false;
    m_isComplete = false;
    m_allowsReuse = false;
    m_skipBody = false;
    m_error.reset();
}

void HttpMessageReader::setLimits(const HttpMessageLimits &limits)
{
    m_limits = limits;
}

void HttpMessageReader::expectNoBody()
{
    m_skipBody = true;
}

HttpMessageReader &HttpMessageReader::self(http_parser *parser)
{
    return *static_cast<HttpMessageReader *>(parser->data);
}

const http_parser_settings &HttpMessageReader::callbacks()
{
    static const http_parser_settings Settings = [] {
        http_parser_settings it;
        http_parser_settings_init(&it);
        it.on_url = [](http_parser *parser, const char *data, std::size_t size) {
            self(parser).m_target.append(data, size);
            return 0;
        };
        it.on_header_field = [](http_parser *parser, const char *data, std::size_t size) { return self(parser).onHeaderField({data, size}); };
        it.on_header_value = [](http_parser *parser, const char *data, std::size_t size) { return self(parser).onHeaderValue({data, size}); };
        it.on_headers_complete = [](http_parser *parser) { return self(parser).onHeadersComplete(); };
        it.on_body = [](http_parser *parser, const char *data, std::size_t size) { return self(parser).onBody({data, size}); };
        it.on_message_complete = [](http_parser *parser) {
            self(parser).m_isComplete = true;
            self(parser).m_allowsReuse = http_should_keep_alive(parser) != 0;
            // Pauses the parser, so that bytes after the message are left to the caller.
            http_parser_pause(parser, 1);
            return 0;
        };
        return it;
    }();
    return Settings;
}

std::size_t HttpMessageReader::read(std::string_view bytes)
{
    if (m_isComplete || m_error || bytes.empty()) {
        return 0;
    }
    m_hasBegun = true;
    const bool wasInHeader = !m_hasHeaders;
    const std::size_t used = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    if (wasInHeader && !m_hasHeaders) {
        m_headerBytes += used;
        if (m_headerBytes > m_limits.headerBytes && !m_error) {
            fail(HttpParseError::HeaderTooLarge);
        }
    }
    const http_errno parserError = HTTP_PARSER_ERRNO(&m_parser);
    if (!m_isComplete && !m_error && (parserError != HPE_OK || m_parser.upgrade != 0)) {
        fail(parserError == HPE_HEADER_OVERFLOW ? HttpParseError::HeaderTooLarge : HttpParseError::Malformed);
    }
    return used;
}

void HttpMessageReader::finish()
{
    if (m_isComplete || m_error || !m_hasBegun) {
        return;
    }
    http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
    if (!m_isComplete) {
        fail(HttpParseError::Malformed);
    }
}

int HttpMessageReader::onHeaderField(std::string_view part)
{
    // Trailers after a chunked body are ignored.
    if (m_hasHeaders) {
        return 0;
    }
    if (m_headers.empty() || m_isInValue) {
        m_headers.emplace_back();
        m_isInValue = false;
    }
    m_headers.back().name += part;
    return 0;
}

int HttpMessageReader::onHeaderValue(std::string_view part)
{
    if (!m_hasHeaders) {
        m_isInValue = true;
        m_headers.back().value += part;
    }
    return 0;
}

int HttpMessageReader::onHeadersComplete()
{
    m_hasHeaders = true;
    if (m_kind == HttpMessageKind::Response && (status() < LowestHttpStatus || status() > HighestHttpStatus)) {
        fail(HttpParseError::Malformed);
        return StopParsing;
    }
    constexpr auto Unknown = static_cast<std::uint64_t>(-1);
    std::size_t headerBytes = m_target.size();
    for (const HttpHeader &it : m_headers) {
        constexpr std::size_t Separators = 4;
        headerBytes += it.name.size() + it.value.size() + Separators;
    }
    if (headerBytes > m_limits.headerBytes) {
        fail(HttpParseError::HeaderTooLarge);
        return StopParsing;
    }
    const std::uint64_t length = m_parser.content_length;
    if (length != Unknown && !m_skipBody) {
        m_bodyLength = length;
        if (length > m_limits.bodyBytes) {
            fail(HttpParseError::BodyTooLarge);
            return StopParsing;
        }
        m_body.reserve(std::min<std::size_t>(length, MaxBodyReservationBytes));
    }
    return m_skipBody ? HeadersCompleteSkipBody : 0;
}

int HttpMessageReader::onBody(std::string_view part)
{
    if (m_body.size() + part.size() > m_limits.bodyBytes) {
        fail(HttpParseError::BodyTooLarge);
        return StopParsing;
    }
    m_body += part;
    return 0;
}

void HttpMessageReader::fail(HttpParseError error)
{
    m_error = error;
}

std::string HttpMessageReader::takeBodyPart()
{
    return std::exchange(m_body, {});
}

HttpRequest HttpMessageReader::takeRequest()
{
    const char *method = http_method_str(static_cast<http_method>(m_parser.method));
    return {.method = method, .target = std::move(m_target), .headers = std::move(m_headers), .body = std::move(m_body)};
}

HttpResponse HttpMessageReader::takeResponse()
{
    return {.status = static_cast<int>(m_parser.status_code), .headers = std::move(m_headers), .body = std::move(m_body)};
}

} // namespace banyankeel

#pragma once

// Incremental parser for HTTP/1.1 messages in a byte stream, one message at a time.
//
//   HttpMessageReader reader(HttpMessageKind::Request, limits);
//   std::size_t used = reader.read(bytes);
//   if (reader.isComplete()) { handle(reader.takeRequest()); reader.reset(); }

#include "edge/httpmessagelimits.h"
#include "protocol/httpmessage.h"

#include <http_parser.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyankeel
{

enum class HttpMessageKind : std::uint8_t {
    Request,
    Response,
};

/// Why a message was rejected.
enum class HttpParseError : std::uint8_t {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
};

/// Parses complete messages. Not thread-safe. After an error, nothing is parsed until reset().
class HttpMessageReader
{
public:
    HttpMessageReader(HttpMessageKind kind, const HttpMessageLimits &limits);
    HttpMessageReader(const HttpMessageReader &) = delete;
    HttpMessageReader &operator=(const HttpMessageReader &) = delete;

    /// Parses @p bytes up to the end of the message. Returns the number of bytes consumed, which is less than given only at the end of the message or
    /// after an error.
    std::size_t read(std::string_view bytes);
    /// Signals an orderly end of the connection. Completes a response whose length is delimited by it.
    void finish();
    /// Discards the current message and prepares for the next one.
    void reset();
    void setLimits(const HttpMessageLimits &limits);
    /// The next response is to a HEAD request and has no body, regardless of its headers.
    void expectNoBody();

    /// Whether any byte of the message has arrived.
    [[nodiscard]] bool hasBegun() const
    {
        return m_hasBegun;
    }
    [[nodiscard]] bool hasHeaders() const
    {
        return m_hasHeaders;
    }
    [[nodiscard]] bool isComplete() const
    {
        return m_isComplete;
    }
    [[nodiscard]] std::optional<HttpParseError> error() const
    {
        return m_error;
    }
    /// Whether the connection may be reused after this message. Valid once isComplete().
    [[nodiscard]] bool allowsReuse() const
    {
        return m_allowsReuse;
    }
    /// Valid once hasHeaders().
    [[nodiscard]] const std::vector<HttpHeader> &headers() const
    {
        return m_headers;
    }
    /// Number of body bytes received so far and not taken.
    [[nodiscard]] std::size_t bodyBytes() const
    {
        return m_body.size();
    }
    /// The value of Content-Length, if there is one. Valid once hasHeaders().
    [[nodiscard]] std::optional<std::uint64_t> bodyLength() const
    {
        return m_bodyLength;
    }
    /// Whether the message is of HTTP/1.1. Valid once hasHeaders().
    [[nodiscard]] bool isHttp11() const
    {
        return m_parser.http_major == 1 && m_parser.http_minor >= 1;
    }
    /// Removes and returns the body bytes received so far; further ones are not limited by HttpMessageLimits::bodyBytes in total.
    std::string takeBodyPart();
    /// Status code of a response. Valid once hasHeaders().
    [[nodiscard]] int status() const
    {
        return static_cast<int>(m_parser.status_code);
    }

    /// @pre isComplete().
    HttpRequest takeRequest();
    /// @pre isComplete().
    HttpResponse takeResponse();

private:
    static HttpMessageReader &self(http_parser *parser);
    static const http_parser_settings &callbacks();

    int onHeaderField(std::string_view part);
    int onHeaderValue(std::string_view part);
    int onHeadersComplete();
    int onBody(std::string_view part);
    void fail(HttpParseError error);

    HttpMessageKind m_kind;
    HttpMessageLimits m_limits;
    http_parser m_parser{};
    std::string m_target;
    std::vector<HttpHeader> m_headers;
    std::string m_body;
    std::optional<std::uint64_t> m_bodyLength;
    std::size_t m_headerBytes = 0;
    bool m_isInValue = false;
    bool m_hasBegun = false;
    bool m_hasHeaders = false;
    bool m_isComplete = false;
    bool m_allowsReuse = false;
    bool m_skipBody = false;
    std::optional<HttpParseError> m_error;
};

} // namespace banyankeel

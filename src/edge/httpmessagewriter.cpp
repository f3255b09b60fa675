#include "edge/httpmessagewriter.h"

#include <fmt/format.h>
#include <http_parser.h>

namespace banyankeel
{

namespace
{
void appendHeader(std::string &head, std::string_view name, std::string_view value)
{
    head += name;
    head += ": ";
    head += value;
    head += "\r\n";
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
#define BANYANKEEL_STATUS(number, name, text) \
    case number: \
        return #text;
        HTTP_STATUS_MAP(BANYANKEEL_STATUS)
#undef BANYANKEEL_STATUS
    default:
        return "Unknown";
    }
}

std::string statusLineAndHeaders(const HttpResponse &response)
{
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    head += reasonPhrase(response.status);
    head += "\r\n";
    for (const HttpHeader &it : response.headers) {
        appendHeader(head, it.name, it.value);
    }
    return head;
}

void endHead(std::string &head, ConnectionOption use)
{
    if (use == ConnectionOption::Close) {
        appendHeader(head, "Connection", "close");
    }
    head += "\r\n";
}

bool mayHaveBody(const HttpRequest &request)
{
    return !request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
}
} // namespace

std::string serializeHead(const HttpRequest &request)
{
    std::string head = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const HttpHeader &it : request.headers) {
        appendHeader(head, it.name, it.value);
    }
    if (mayHaveBody(request)) {
        appendHeader(head, "Content-Length", std::to_string(request.body.size()));
    }
    head += "\r\n";
    return head;
}

std::string serializeHead(const HttpResponse &response, ConnectionOption use)
{
    std::string head = statusLineAndHeaders(response);
    constexpr int NoContent = 204;
    constexpr int NotModified = 304;
    if (response.status != NoContent && response.status != NotModified) {
        appendHeader(head, "Content-Length", std::to_string(response.body.size()));
    }
    endHead(head, use);
    return head;
}

std::string serializeStreamHead(const HttpResponse &response, BodyFraming framing, std::uint64_t length, ConnectionOption use)
{
    std::string head = statusLineAndHeaders(response);
    if (framing == BodyFraming::Length) {
        appendHeader(head, "Content-Length", std::to_string(length));
    } else if (framing == BodyFraming::Chunks) {
        appendHeader(head, "Transfer-Encoding", "chunked");
    }
    endHead(head, use);
    return head;
}

std::string serializeChunk(std::string_view bytes)
{
    return bytes.empty() ? std::string() : fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

} // namespace banyankeel

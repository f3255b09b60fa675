#include "transport/httptransfer.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <utility>

namespace banyankeel
{

namespace
{
// Shorter than servers keep idle connections, so that a request seldom meets a connection that is being closed.
constexpr long MaxIdleSeconds = 30;

// The framing of a request belongs to this connection, whatever it was framed by where it came from.
bool isFramingHeader(const std::string &name)
{
    constexpr std::array<const char *, 7> Names{
        "Content-Length",
        "Transfer-Encoding",
        "Connection",
        "Keep-Alive",
        "Expect",
        "TE",
        "Upgrade",
    };
    for (const char *it : Names) {
        if (strcasecmp(it, name.c_str()) == 0) {
            return true;
        }
    }
    return false;
}

void append(CurlList &list, const std::string &line)
{
    curl_slist *longer = curl_slist_append(list.get(), line.c_str());
    if (longer == nullptr) {
        throw std::bad_alloc();
    }
    // The list begins with the same item, but for the first one.
    static_cast<void>(list.release());
    list.reset(longer);
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blank = " \t\r\n";
    const std::size_t first = text.find_first_not_of(Blank);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Blank) - first + 1);
}

} // namespace

HttpTransfer::HttpTransfer(HttpCallId id, HttpCall call, HttpClient::Handler handler)
    : m_id(id)
    , m_call(std::move(call))
    , m_deadline(std::chrono::steady_clock::now() + m_call.timeLimit)
    , m_handler(std::move(handler))
{
}

void HttpTransfer::begin(CurlHandle handle, const HttpClientSettings &limits)
{
    m_handle = std::move(handle);
    m_maxBodyBytes = limits.maxBodyBytes;
    m_maxHeadBytes = limits.maxHeadBytes;
    setConnectionOptions();
    setRequestOptions();
    setHeaders();
    setCallbacks();
}

CurlHandle HttpTransfer::finish(CURLcode code)
{
    m_handler(resultOf(code));
    return std::move(m_handle);
}

CurlHandle HttpTransfer::cancel()
{
    m_handler({std::nullopt, failedRunState(), Reason::Cancelled, "cancelled"});
    return std::move(m_handle);
}

void HttpTransfer::expire()
{
    m_handler({std::nullopt, failedRunState(), Reason::DeadlineExpired, "no connection was free"});
}

void HttpTransfer::setConnectionOptions()
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(m_deadline - std::chrono::steady_clock::now());
    // libcurl takes zero for no limit.
    const auto limit = std::max(left, std::chrono::milliseconds(1));
    const std::string url = "http://" + m_call.server.text() + "/";
    set(CURLOPT_URL, url.c_str());
    set(CURLOPT_REQUEST_TARGET, m_call.request.target.c_str());
    set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    set(CURLOPT_PROXY, "");
    set(CURLOPT_NOSIGNAL, 1L);
    set(CURLOPT_TCP_NODELAY, 1L);
    set(CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
    set(CURLOPT_TIMEOUT_MS, static_cast<long>(limit.count()));
}

void HttpTransfer::setRequestOptions()
{
    const HttpRequest &request = m_call.request;
    if (request.method == "HEAD") {
        set(CURLOPT_NOBODY, 1L);
    } else if (!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH") {
        set(CURLOPT_POST, 1L);
        set(CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        set(CURLOPT_POSTFIELDS, request.body.data());
    } else {
        set(CURLOPT_HTTPGET, 1L);
    }
    set(CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void HttpTransfer::setHeaders()
{
    // An empty value takes back a header that libcurl would add. Expect costs a round trip for long bodies.
    for (const char *name : {"Expect", "Accept", "Content-Type", "User-Agent"}) {
        if (!findHeader(m_call.request.headers, name)) {
            append(m_headers, std::string(name) + ":");
        }
    }
    for (const HttpHeader &header : m_call.request.headers) {
        if (!isFramingHeader(header.name)) {
            // libcurl sends a header without a value only if it ends with a semicolon.
            append(m_headers, header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
        }
    }
    set(CURLOPT_HTTPHEADER, m_headers.get());
}

void HttpTransfer::setCallbacks()
{
    set(CURLOPT_PRIVATE, this);
    set(CURLOPT_MAXFILESIZE_LARGE, static_cast<curl_off_t>(m_maxBodyBytes));
    set(CURLOPT_HEADERFUNCTION, &HttpTransfer::headerArrived);
    set(CURLOPT_HEADERDATA, this);
    set(CURLOPT_WRITEFUNCTION, &HttpTransfer::bodyArrived);
    set(CURLOPT_WRITEDATA, this);
    set(CURLOPT_PREREQFUNCTION, &HttpTransfer::requestBegins);
    set(CURLOPT_PREREQDATA, this);
}

std::size_t HttpTransfer::headerArrived(const char *data, std::size_t, std::size_t size, void *self)
{
    // libcurl ends the transfer if fewer bytes are taken than were offered.
    return static_cast<HttpTransfer *>(self)->takeHeader({data, size}) ? size : 0;
}

std::size_t HttpTransfer::bodyArrived(const char *data, std::size_t, std::size_t size, void *self)
{
    return static_cast<HttpTransfer *>(self)->takeBody({data, size}) ? size : CURL_WRITEFUNC_ERROR;
}

// libcurl sends a request again by itself when a kept connection closed before the first byte of the response. The server may have
// run it by then, so that only the caller can decide on that.
int HttpTransfer::requestBegins(void *self, char *, char *, int, int)
{
    auto *transfer = static_cast<HttpTransfer *>(self);
    if (transfer->sentBytes() > 0) {
        transfer->m_wasCutOff = true;
        return CURL_PREREQFUNC_ABORT;
    }
    return CURL_PREREQFUNC_OK;
}

bool HttpTransfer::takeHeader(std::string_view line)
{
    m_headBytes += line.size();
    if (m_headBytes > m_maxHeadBytes) {
        m_isHeadTooLarge = true;
        return false;
    }
    if (line.substr(0, 5) == "HTTP/") {
        // Interim responses come before the final one.
        m_response.headers.clear();
        m_hasLength = false;
        m_isChunked = false;
        m_isHeadComplete = false;
        return true;
    }
    if (trimmed(line).empty()) {
        m_isHeadComplete = true;
        return true;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || m_bodyBegan) {
        return true;
    }
    HttpHeader header{std::string(trimmed(line.substr(0, colon))), std::string(trimmed(line.substr(colon + 1)))};
    m_hasLength = m_hasLength || strcasecmp(header.name.c_str(), "Content-Length") == 0;
    m_isChunked = m_isChunked || strcasecmp(header.name.c_str(), "Transfer-Encoding") == 0;
    m_response.headers.push_back(std::move(header));
    return true;
}

bool HttpTransfer::takeBody(std::string_view bytes)
{
    if (!m_bodyBegan) {
        m_bodyBegan = true;
        reserveBody();
    }
    if (m_response.body.size() + bytes.size() > m_maxBodyBytes) {
        m_isBodyTooLarge = true;
        return false;
    }
    m_response.body.append(bytes);
    return true;
}

void HttpTransfer::reserveBody()
{
    curl_off_t length = -1;
    curl_easy_getinfo(m_handle.get(), CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    if (length > 0 && static_cast<std::size_t>(length) <= m_maxBodyBytes) {
        m_response.body.reserve(static_cast<std::size_t>(length));
    }
}

long HttpTransfer::sentBytes() const
{
    long bytes = 0;
    curl_easy_getinfo(m_handle.get(), CURLINFO_REQUEST_SIZE, &bytes);
    return bytes;
}

RunState HttpTransfer::failedRunState() const
{
    return m_handle && sentBytes() > 0 ? RunState::MayHaveRun : RunState::NotRun;
}

bool HttpTransfer::isBodyFramed(long status) const
{
    return m_hasLength || m_isChunked || status == 204 || status == 304 || m_call.request.method == "HEAD";
}

HttpResult HttpTransfer::resultOf(CURLcode code)
{
    if (code != CURLE_OK) {
        return {std::nullopt, failedRunState(), reasonOf(code), curl_easy_strerror(code)};
    }
    // libcurl takes a connection that closes in the middle of the head for the end of a response without a body.
    if (!m_isHeadComplete) {
        return {std::nullopt, RunState::MayHaveRun, Reason::BodyIncomplete, "the connection closed before the end of the head"};
    }
    long status = 0;
    curl_easy_getinfo(m_handle.get(), CURLINFO_RESPONSE_CODE, &status);
    if (!isBodyFramed(status)) {
        return {std::nullopt, RunState::MayHaveRun, Reason::BodyIncomplete, "the response has neither a length nor chunks"};
    }
    if (!isFinalStatus(static_cast<int>(status))) {
        return {std::nullopt, RunState::MayHaveRun, Reason::BodyIncomplete, "the response has no valid status"};
    }
    m_response.status = static_cast<int>(status);
    return {std::move(m_response), RunState::Ran, Reason::None, {}};
}

Reason HttpTransfer::reasonOf(CURLcode code) const
{
    if (m_isBodyTooLarge || code == CURLE_FILESIZE_EXCEEDED) {
        return Reason::BodyTooLarge;
    }
    if (m_isHeadTooLarge) {
        return Reason::BodyIncomplete;
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return Reason::DeadlineExpired;
    }
    const bool hasResponse = !m_response.headers.empty();
    if (code == CURLE_PARTIAL_FILE || (hasResponse && !m_wasCutOff)) {
        return Reason::BodyIncomplete;
    }
    return Reason::ConnectionLost;
}

} // namespace banyankeel

#pragma once

// One HTTP request under way in libcurl, and what came back of its response so far.
//
//   auto transfer = std::make_unique<HttpTransfer>(id, call, handler);
//   transfer->begin(std::move(handle), settings);
//   multi.add(transfer->handle());

#include "transport/httpclient.h"

#include <curl/curl.h>

#include <memory>
#include <string>
#include <string_view>

namespace banyankeel
{

struct CurlHandleDeleter {
    void operator()(CURL *handle) const
    {
        curl_easy_cleanup(handle);
    }
};
using CurlHandle = std::unique_ptr<CURL, CurlHandleDeleter>;

struct CurlListDeleter {
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};
using CurlList = std::unique_ptr<curl_slist, CurlListDeleter>;

/// Not thread-safe. Stays at one place, since libcurl points to it.
class HttpTransfer
{
public:
    HttpTransfer(HttpCallId id, HttpCall call, HttpClient::Handler handler);

    [[nodiscard]] HttpCallId id() const
    {
        return m_id;
    }

    [[nodiscard]] TimePoint deadline() const
    {
        return m_deadline;
    }

    [[nodiscard]] CURL *handle() const
    {
        return m_handle.get();
    }

    /// Sets @p handle up for the request.
    void begin(CurlHandle handle, const HttpClientSettings &limits);

    /// Hands the result to the caller and returns the handle for another transfer.
    CurlHandle finish(CURLcode code);
    /// The same for a transfer that the caller gave up.
    CurlHandle cancel();
    /// The deadline passed before the transfer began.
    void expire();

private:
    template<typename Value>
    void set(CURLoption option, Value value)
    {
        curl_easy_setopt(m_handle.get(), option, value);
    }

    void setConnectionOptions();
    void setRequestOptions();
    void setHeaders();
    void setCallbacks();
    static std::size_t headerArrived(const char *data, std::size_t, std::size_t size, void *self);
    static std::size_t bodyArrived(const char *data, std::size_t, std::size_t size, void *self);
    static int requestBegins(void *self, char *, char *, int, int);
    [[nodiscard]] bool takeHeader(std::string_view line);
    bool takeBody(std::string_view bytes);
    void reserveBody();
    [[nodiscard]] long sentBytes() const;
    [[nodiscard]] RunState failedRunState() const;

    /// A body without an announced length or chunks ends when the connection does, so that nobody can tell whether it is whole.
    [[nodiscard]] bool isBodyFramed(long status) const;
    HttpResult resultOf(CURLcode code);
    [[nodiscard]] Reason reasonOf(CURLcode code) const;

    HttpCallId m_id;
    HttpCall m_call;
    TimePoint m_deadline;
    HttpClient::Handler m_handler;
    std::size_t m_maxBodyBytes = 0;
    std::size_t m_maxHeadBytes = 0;
    std::size_t m_headBytes = 0;
    CurlList m_headers;
    CurlHandle m_handle;
    HttpResponse m_response{};
    bool m_isHeadComplete = false;
    bool m_hasLength = false;
    bool m_isChunked = false;
    bool m_bodyBegan = false;
    bool m_isBodyTooLarge = false;
    bool m_isHeadTooLarge = false;
    bool m_wasCutOff = false;
};

} // namespace banyankeel

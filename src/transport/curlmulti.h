#pragma once

// libcurl's multi interface, driven by epoll.
//
//   CurlMulti multi(630);
//   multi.add(handle);
//   multi.wait(until);
//   while (const auto it = multi.nextFinished()) ...

#include "state/time.h"

#include <curl/curl.h>

#include <optional>

namespace banyankeel
{

/// Belongs to one thread; only wake() may be called from others. The cost of a step grows with the transfers that have something to do,
/// not with those under way.
class CurlMulti
{
public:
    struct Finished {
        CURL *handle;
        CURLcode code;
    };

    /// @param maxKept how many connections are kept for further transfers.
    /// @throws Error if the system has no descriptors left.
    explicit CurlMulti(long maxKept);
    ~CurlMulti();
    CurlMulti(const CurlMulti &) = delete;
    CurlMulti &operator=(const CurlMulti &) = delete;

    void add(CURL *handle);
    /// Closes the connection of a transfer that has not finished.
    void remove(CURL *handle);
    /// Goes on with what needs no waiting.
    void proceed();
    /// Waits for the next thing to do, wake() or @p until, and goes on with what there is to do then.
    void wait(TimePoint until);
    std::optional<Finished> nextFinished();
    /// Ends the present or the next wait.
    void wake();

private:
    static int socketChanged(CURL *handle, curl_socket_t socket, int what, void *self, void *isKnown);
    static int timerChanged(CURLM *multi, long milliseconds, void *self);
    void watch(curl_socket_t socket, int what, bool isKnown);
    void close();

    CURLM *m_multi = nullptr;
    int m_epoll = -1;
    int m_wake = -1;
    /// When libcurl wants to be called whatever happens.
    std::optional<TimePoint> m_timer;
};

} // namespace banyankeel

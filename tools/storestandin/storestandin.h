#pragma once

// Stands in for the platform's store over HTTP, and fails on demand.
//
//   StoreStandin standin({.listen = endpoint, .token = "t"});
//   standin.start();
//
// POST /v1/store takes the requests of StoreClient. Its faults, none at first, are set by
//   POST /control/outage?on=1             every request is answered with 503 before it touches anything, until on=0
//   POST /control/delay?ms=200            every request waits before it takes effect, and as long again before its answer
//   POST /control/lose-answers?per-mille=100   of so many the connection stays silent after the request took effect
// and GET /control/usage counts the reads and writes.

#include "protocol/storemessages.h"
#include "state/endpoint.h"
#include "testing/memorystore.h"
#include "transport/httpserver.h"
#include "transport/workerpool.h"

#include <functional>
#include <mutex>
#include <random>
#include <string>

namespace banyankeel
{

class UrlQuery;

struct StoreStandinSettings {
    Endpoint listen;
    /// What requests must carry as a bearer token.
    std::string token;
    /// Decides which answers are lost.
    std::uint64_t seed = 1;
    /// Called on each request with what was counted so far, if set.
    std::function<void(const testing::StoreUsage &usage)> log;
};

/// All functions may be called from any thread.
class StoreStandin
{
public:
    explicit StoreStandin(StoreStandinSettings settings);
    ~StoreStandin();
    StoreStandin(const StoreStandin &) = delete;
    StoreStandin &operator=(const StoreStandin &) = delete;

    /// Listens before it returns.
    /// @throws Error if the address can't be listened on.
    void start();
    void stop();
    [[nodiscard]] testing::StoreUsage usage() const;

private:
    struct Faults {
        bool isDown = false;
        Duration delay{};
        std::uint64_t lostPerMille = 0;
    };

    void handle(const HttpRequest &request, const HttpResponder &respond);
    HttpResponse control(const HttpRequest &request);
    bool setFault(const UrlQuery &url);
    void serve(const std::string &body, const HttpResponder &respond);
    void answer(const StoreRequest &request, const HttpResponder &respond);
    void after(Duration delay, std::function<void()> task);
    [[nodiscard]] Faults faults() const;
    bool losesAnswer();

    StoreStandinSettings m_settings;
    mutable std::mutex m_mutex;
    Faults m_faults;
    testing::MemoryStore m_store;
    std::mt19937_64 m_random;
    WorkerPool m_pool;
    HttpServer m_server;
};

} // namespace banyankeel

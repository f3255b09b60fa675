#include "transport/httpclient.h"

#include "state/errors.h"
#include "transport/curlmulti.h"
#include "transport/httptransfer.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace banyankeel
{

namespace
{
constexpr std::size_t MaxIdleHandles = 256;
constexpr Duration LongestWait = std::chrono::seconds(10);
} // namespace

class HttpClient::Impl
{
public:
    explicit Impl(HttpClientSettings settings)
        : m_settings(settings)
        , m_multi(static_cast<long>(settings.maxConnections))
    {
        m_thread = std::thread([this] { run(); });
    }

    ~Impl()
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_isStopping = true;
        }
        m_multi.wake();
        m_thread.join();
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    HttpCallId send(HttpCall call, Handler handler)
    {
        const HttpCallId id{++m_lastId};
        enqueue({id, std::make_unique<HttpTransfer>(id, std::move(call), std::move(handler))});
        return id;
    }

    void cancel(HttpCallId id)
    {
        enqueue({id, nullptr});
    }

private:
    /// Begins a transfer, or cancels one when there is none in it.
    struct Command {
        HttpCallId id;
        std::unique_ptr<HttpTransfer> transfer;
    };

    void enqueue(Command command)
    {
        bool mustWake = false;
        {
            const std::scoped_lock lock(m_mutex);
            m_commands.push_back(std::move(command));
            mustWake = std::exchange(m_isSleeping, false);
        }
        // The client's thread takes all commands at once, so that only the first since it went to sleep has to wake it.
        if (mustWake) {
            m_multi.wake();
        }
    }

    void run()
    {
        while (takeCommands()) {
            expireWaiting();
            beginWaiting();
            m_multi.proceed();
            finishTransfers();
            if (maySleep()) {
                m_multi.wait(wakeTime());
            }
        }
        endAll();
    }

    bool maySleep()
    {
        const std::scoped_lock lock(m_mutex);
        const bool canBegin = !m_waiting.empty() && m_transfers.size() < m_settings.maxConnections;
        m_isSleeping = m_commands.empty() && !m_isStopping && !canBegin;
        return m_isSleeping;
    }

    bool takeCommands()
    {
        std::vector<Command> commands;
        bool isStopping = false;
        {
            const std::scoped_lock lock(m_mutex);
            commands.swap(m_commands);
            isStopping = m_isStopping;
        }
        for (Command &it : commands) {
            if (it.transfer) {
                m_deadlines.emplace(it.transfer->deadline(), it.id);
                m_waiting.emplace(it.id, std::move(it.transfer));
            } else {
                cancelNow(it.id);
            }
        }
        return !isStopping;
    }

    // libcurl has a limit of connections as well, but forgets the deadlines of what waits for one.
    void beginWaiting()
    {
        while (!m_waiting.empty() && m_transfers.size() < m_settings.maxConnections) {
            begin(takeWaiting(m_waiting.begin()));
        }
    }

    void expireWaiting()
    {
        const TimePoint now = std::chrono::steady_clock::now();
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
            takeWaiting(m_waiting.find(m_deadlines.begin()->second))->expire();
        }
    }

    std::unique_ptr<HttpTransfer> takeWaiting(std::map<HttpCallId, std::unique_ptr<HttpTransfer>>::iterator it)
    {
        std::unique_ptr<HttpTransfer> transfer = std::move(it->second);
        m_waiting.erase(it);
        m_deadlines.erase({transfer->deadline(), transfer->id()});
        return transfer;
    }

    [[nodiscard]] TimePoint wakeTime() const
    {
        const TimePoint latest = std::chrono::steady_clock::now() + LongestWait;
        return m_deadlines.empty() ? latest : std::min(latest, m_deadlines.begin()->first);
    }

    void begin(std::unique_ptr<HttpTransfer> transfer)
    {
        transfer->begin(takeHandle(), m_settings);
        m_multi.add(transfer->handle());
        const HttpCallId id = transfer->id();
        m_transfers.emplace(id, std::move(transfer));
    }

    void cancelNow(HttpCallId id)
    {
        const auto waiting = m_waiting.find(id);
        if (waiting != m_waiting.end()) {
            takeWaiting(waiting)->cancel();
            return;
        }
        const auto it = m_transfers.find(id);
        if (it == m_transfers.end()) {
            return;
        }
        const std::unique_ptr<HttpTransfer> transfer = std::move(it->second);
        m_transfers.erase(it);
        // Closes the connection, since its response is still under way.
        m_multi.remove(transfer->handle());
        keepHandle(transfer->cancel());
    }

    void finishTransfers()
    {
        while (const std::optional<CurlMulti::Finished> it = m_multi.nextFinished()) {
            finish(it->handle, it->code);
        }
    }

    void finish(CURL *handle, CURLcode code)
    {
        char *found = nullptr;
        curl_easy_getinfo(handle, CURLINFO_PRIVATE, &found);
        const HttpCallId id = reinterpret_cast<HttpTransfer *>(found)->id();
        m_multi.remove(handle);
        const auto it = m_transfers.find(id);
        const std::unique_ptr<HttpTransfer> transfer = std::move(it->second);
        m_transfers.erase(it);
        keepHandle(transfer->finish(code));
    }

    void endAll()
    {
        takeCommands();
        while (!m_waiting.empty()) {
            cancelNow(m_waiting.begin()->first);
        }
        while (!m_transfers.empty()) {
            cancelNow(m_transfers.begin()->first);
        }
        m_idleHandles.clear();
    }

    CurlHandle takeHandle()
    {
        if (m_idleHandles.empty()) {
            return CurlHandle(curl_easy_init());
        }
        CurlHandle handle = std::move(m_idleHandles.back());
        m_idleHandles.pop_back();
        return handle;
    }

    void keepHandle(CurlHandle handle)
    {
        if (handle && m_idleHandles.size() < MaxIdleHandles) {
            curl_easy_reset(handle.get());
            m_idleHandles.push_back(std::move(handle));
        }
    }

    HttpClientSettings m_settings;
    CurlMulti m_multi;
    std::atomic<std::uint64_t> m_lastId = 0;

    std::mutex m_mutex;
    std::vector<Command> m_commands;
    bool m_isStopping = false;
    /// Whether the client's thread waits for a wake-up, or is about to.
    bool m_isSleeping = false;

    // The rest is used on the client's thread only. Ids grow, so that the first waiting transfer has waited longest.
    std::map<HttpCallId, std::unique_ptr<HttpTransfer>> m_waiting;
    std::set<std::pair<TimePoint, HttpCallId>> m_deadlines;
    std::unordered_map<HttpCallId, std::unique_ptr<HttpTransfer>> m_transfers;
    std::vector<CurlHandle> m_idleHandles;

    std::thread m_thread;
};

HttpClient::HttpClient(HttpClientSettings settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::send(HttpCall call, Handler handler)
{
    if (call.timeLimit <= Duration::zero()) {
        throw ValueError("http call: field time limit: " + std::to_string(call.timeLimit.count()) + " ns found, more than 0 allowed");
    }
    return m_impl->send(std::move(call), std::move(handler));
}

void HttpClient::cancel(HttpCallId call)
{
    m_impl->cancel(call);
}

} // namespace banyankeel
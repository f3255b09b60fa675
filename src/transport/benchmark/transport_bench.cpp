// How long one hop takes: a call from the HTTP client to the HTTP server, and a message and its answer between two nodes,
// all in one process over the loopback device. CPU time counts both sides.

#include "transport/benchmark/callloop.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/peernetwork.h"

#include <array>
#include <unordered_map>

namespace
{
using namespace banyankeel;

constexpr std::array<std::size_t, 3> Concurrencies{1, 16, 256};
constexpr std::size_t SingleCalls = 10'000;
constexpr std::size_t ParallelCalls = 60'000;
constexpr std::size_t WarmUpCalls = 2000;
constexpr std::size_t BodyBytes = 256;

std::size_t callsAt(std::size_t concurrent)
{
    return concurrent == 1 ? SingleCalls : ParallelCalls;
}

void measure(const std::string &name, std::size_t concurrent, const CallLoop::Call &call)
{
    CallLoop(concurrent, WarmUpCalls, call).run();
    CallLoop loop(concurrent, callsAt(concurrent), call);
    loop.run();
    loop.print(name);
}

void measureHttp(std::size_t concurrent)
{
    const Endpoint endpoint("127.0.0.1", 18'480);
    HttpServer server({.listen = endpoint},
                      [](HttpRequest request, const HttpResponder &respond) { respond({.status = 200, .headers = {}, .body = std::move(request.body)}); });
    server.start();
    HttpClient client({});
    const HttpRequest request{.method = "POST", .target = "/echo", .headers = {{"Content-Type", "text/plain"}}, .body = std::string(BodyBytes, 'x')};
    measure("http", concurrent, [&](std::function<void()> done) {
        client.send({endpoint, request, std::chrono::seconds(10)}, [done = std::move(done)](const HttpResult &) { done(); });
    });
}

Peer peerAt(const std::string &name, std::uint16_t port)
{
    return {NodeId(name), Incarnation{1}, {RegionName("muc"), FailureDomainName("muc-1")}, Endpoint("127.0.0.1", port)};
}

/// Asks a peer that sends each message back, and matches the answers by the number at their begin.
class Asker
{
public:
    explicit Asker(const Endpoint &peer)
        : m_peer(peer)
        , m_network({.self = peerAt("asker", 18'481), .secret = std::string(16, 's')},
                    {
                        .message = [this](const Peer &, const Envelope &envelope) { answered(envelope); },
                        .lost = [](const Endpoint &, bool) {},
                        .refused = [](const std::string &, const std::string &) {},
                        .malformed = [](const Peer &, const std::string &) {},
                    })
    {
        m_network.start();
    }

    void ask(std::function<void()> done)
    {
        std::uint64_t id = 0;
        {
            const std::scoped_lock lock(m_mutex);
            id = ++m_lastId;
            m_waiting.emplace(id, std::move(done));
        }
        std::string payload(BodyBytes, 'x');
        payload.replace(0, sizeof(id), reinterpret_cast<const char *>(&id), sizeof(id));
        m_network.send(m_peer, {MessageType::CallRequest, std::move(payload)});
    }

private:
    void answered(const Envelope &envelope)
    {
        std::uint64_t id = 0;
        envelope.payload.copy(reinterpret_cast<char *>(&id), sizeof(id));
        std::function<void()> done;
        {
            const std::scoped_lock lock(m_mutex);
            done = std::move(m_waiting.extract(id).mapped());
        }
        done();
    }

    Endpoint m_peer;
    std::mutex m_mutex;
    std::uint64_t m_lastId = 0;
    std::unordered_map<std::uint64_t, std::function<void()>> m_waiting;
    PeerNetwork m_network;
};

void measurePeers(std::size_t concurrent)
{
    const Peer self = peerAt("echo", 18'482);
    std::unique_ptr<PeerNetwork> echo;
    const PeerNetworkHooks hooks{
        .message = [&echo](const Peer &from, Envelope envelope) { echo->send(from.endpoint, std::move(envelope)); },
        .lost = [](const Endpoint &, bool) {},
        .refused = [](const std::string &, const std::string &) {},
        .malformed = [](const Peer &, const std::string &) {},
    };
    echo = std::make_unique<PeerNetwork>(PeerNetworkSettings{.self = self, .secret = std::string(16, 's')}, hooks);
    echo->start();
    Asker asker(self.endpoint);
    measure("peer", concurrent, [&](std::function<void()> done) { asker.ask(std::move(done)); });
}
} // namespace

int main()
{
    for (const std::size_t it : Concurrencies) {
        measureHttp(it);
    }
    for (const std::size_t it : Concurrencies) {
        measurePeers(it);
    }
    return 0;
}

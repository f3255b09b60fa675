// Clients upload bodies within the configured limit. With more of them than usual the process must stay within its memory.
#include "rig.hh"

using namespace rig;

int main(int argc, char **argv)
{
    Case it(argc, argv);
    // Usually five clients upload; 1.8 times as many while many users come at once.
    const int uploaders = it.hasTrouble ? 9 : 5;
    constexpr int Stayers = 5;
    constexpr std::size_t BodyBytes = 7'000'000;
    constexpr long MemoryKilobytes = 260 * 1024;
    constexpr auto Time = 30s;
    Store store(addressOf(9), 1);
    Upstream upstream(addressOf(0), "i-0", "ausbilder", 104, it.record, [](const Arrival &arrival) {
        const auto varied = std::chrono::milliseconds(100 + std::hash<std::string>{}(arrival.id) % 600);
        return Upstream::Reply{arrival.target.starts_with("/up/") ? 140ms : varied, 200};
    });
    publish(store, configuration(1, {{"r-up", "/up/", "upload", "ausbilder"}, {"r-short", "/short/", "unsafe", "ausbilder"}}, {"ausbilder"}, {"key-1"}));
    it.nodes.push_back(std::make_unique<Node>(NodeSettings{0, "node-0", "ausbilder", "muc-a", "muc", store.door(0)}, it.folder, it.program));
    Node &node = *it.nodes.front();
    if (!waitFor([&] { return call(node.address(), request("POST", "/short/a", "first", "key-1", 2000, 0), 2s) == 200; }, 10s)) {
        it.cannotRun("the node serves nothing");
    }
    std::this_thread::sleep_for(3500ms);

    std::atomic<bool> isOver = false;
    std::atomic<int> answered = 0;
    std::atomic<int> unanswered = 0;
    std::atomic<long> peak = 0;
    std::atomic<bool> isKilled = false;
    std::vector<std::thread> threads;
    // The platform: a process that exceeds its memory is killed.
    threads.emplace_back([&] {
        while (!isOver && !isKilled) {
            const long now = node.residentKilobytes();
            peak = std::max<long>(peak, now);
            if (now > MemoryKilobytes) {
                it.record.line("the process has " + std::to_string(now) + " kB, over its " + std::to_string(MemoryKilobytes) + ", and is killed");
                node.signal(SIGKILL);
                isKilled = true;
            }
            std::this_thread::sleep_for(2ms);
        }
    });
    for (int n = 0; n < Stayers; ++n) {
        threads.emplace_back([&, n] {
            auto connection = Connection::open(node.address(), CallerPort);
            for (int k = 0; connection && !isOver; ++k) {
                const std::string id = "stay-" + std::to_string(n) + "-" + std::to_string(k);
                if (!connection->write(request("POST", "/short/a", id, "key-1", 5000, 0))) {
                    break;
                }
                const auto head = connection->readHead(Clock::now() + 6s);
                if (!head || !connection->readBody(lengthOf(*head))) {
                    it.record.line("client gets no answer to " + id + (connection->isEnded() ? ", its connection ended" : ""));
                    if (k > 0 && connection->isEnded() && upstream.hasRun(id)) {
                        ++unanswered;
                    }
                    break;
                }
                it.record.line("client gets " + std::to_string(statusOf(*head)) + " for " + id);
                ++answered;
            }
        });
    }
    std::this_thread::sleep_for(1500ms);
    const std::string body(BodyBytes, 'u');
    for (int n = 0; n < uploaders; ++n) {
        threads.emplace_back([&, n] {
            const auto connection = Connection::open(node.address(), CallerPort);
            for (int k = 0; connection && !isOver && !isKilled; ++k) {
                const std::string id = "up-" + std::to_string(n) + "-" + std::to_string(k);
                it.record.line("client sends " + id + " of " + std::to_string(BodyBytes) + " bytes");
                const bool isSent = connection->write(request("POST", "/up/a", id, "key-1", 5000, BodyBytes) + body);
                const auto head = isSent ? connection->readHead(Clock::now() + 6s) : std::nullopt;
                if (!head || !connection->readBody(lengthOf(*head))) {
                    it.record.line("client gets no answer to " + id);
                    if (k > 0 && connection->isEnded() && upstream.hasRun(id)) {
                        ++unanswered;
                    }
                    break;
                }
                it.record.line("client gets " + std::to_string(statusOf(*head)) + " for " + id + ", the process has " + std::to_string(node.residentKilobytes())
                               + " kB");
                if (headerOf(*head, "Connection") == "close") {
                    break;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(100 + 37 * n));
            }
        });
    }
    waitFor([&] { return isKilled.load(); }, Time);
    isOver = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    const std::optional<std::string> ended = node.ended();
    it.record.result("answers " + std::to_string(answered) + ", most memory " + std::to_string(peak) + " kB of " + std::to_string(MemoryKilobytes)
                     + ", requests of kept connections that ran and got no answer " + std::to_string(unanswered) + ", node "
                     + (ended ? "ended with " + *ended : "still runs"));
    it.exit(isKilled || unanswered > 3 ? 1 : 0);
}

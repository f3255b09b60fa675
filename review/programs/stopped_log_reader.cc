// Whoever reads the log of a process stops reading for a while. The process must go on serving.
#include "rig.hh"

using namespace rig;

int main(int argc, char **argv)
{
    Case it(argc, argv);
    constexpr auto Pause = 50s;
    constexpr int Timeout = 2000;
    Store store(addressOf(9), 1);
    Upstream upstream(addressOf(0), "i-0", "archiv", 100, it.record, [](const Arrival &) { return Upstream::Reply{20ms, 200}; });
    publish(store, configuration(1, {{"r-a", "/a/", "safe", "archiv", "2s"}}, {"archiv"}, {"key-1"}));
    int log[2];
    if (pipe2(log, O_CLOEXEC) != 0) {
        it.cannotRun("no pipe");
    }
    std::atomic<bool> isReading = true;
    std::atomic<long> logBytes = 0;
    std::thread([&] {
        char bytes[4096];
        while (true) {
            if (!isReading) {
                std::this_thread::sleep_for(20ms);
                continue;
            }
            const ssize_t n = read(log[0], bytes, sizeof(bytes));
            if (n <= 0) {
                return;
            }
            logBytes += n;
        }
    }).detach();
    NodeSettings settings{0, "node-0", "archiv", "muc-a", "muc", store.door(0)};
    settings.output = log[1];
    it.nodes.push_back(std::make_unique<Node>(settings, it.folder, it.program));
    Node &node = *it.nodes.front();
    if (!waitFor([&] { return call(node.address(), request("GET", "/a/x", "first", "key-1", Timeout), 2s) == 200; }, 10s)) {
        it.cannotRun("the node serves nothing");
    }
    std::this_thread::sleep_for(3500ms);
    if (it.hasTrouble) {
        isReading = false;
        it.record.line("the log is not read from here on");
    }
    std::atomic<int> asked = 0;
    std::atomic<int> unanswered = 0;
    std::atomic<int> missed = 0;
    std::vector<std::thread> threads;
    const auto end = Clock::now() + Pause;
    for (int n = 0; Clock::now() < end; ++n) {
        // A client whose key was taken away goes on asking; its refusals are logged.
        threads.emplace_back([&, n] { call(node.address(), request("GET", "/a/x", "old-" + std::to_string(n), "key-old", Timeout), 2500ms); });
        if (n % 5 == 0) {
            threads.emplace_back([&, n] {
                const std::string id = "id-" + std::to_string(n);
                const int status = call(node.address(), request("GET", "/a/x", id, "key-1", Timeout), std::chrono::milliseconds(Timeout + 500));
                it.record.line("client gets " + (status == 0 ? std::string("no answer within 2.5 s") : std::to_string(status)) + " for " + id);
                ++asked;
                unanswered += status == 0 ? 1 : 0;
            });
        }
        if (n % 20 == 0) {
            threads.emplace_back([&] {
                const int status = node.readiness();
                it.record.line("readiness: " + std::to_string(status));
                missed += status == 200 ? 0 : 1;
            });
        }
        std::this_thread::sleep_for(50ms);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    it.record.result("requests with a valid key " + std::to_string(asked) + ", without an answer half a second after their timeout "
                     + std::to_string(unanswered) + ", readiness missed " + std::to_string(missed) + " times, log read " + std::to_string(logBytes) + " bytes");
    isReading = true;
    const bool isBack = waitFor([&] { return node.readiness() == 200; }, 10s);
    it.record.result(isBack ? "ready again once the log is read" : "not ready again");
    // Of the requests that were unanswered at their timeout more than half had no answer half a second later.
    it.exit(unanswered > 10 ? 1 : 0);
}

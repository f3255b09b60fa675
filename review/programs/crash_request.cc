// A request crashes each upstream that begins to run it, and comes again. After the third crash the machines must keep it from the upstreams.
#include "rig.hh"

using namespace rig;

int main(int argc, char **argv)
{
    Case it(argc, argv);
    constexpr int Machines = 5;
    constexpr auto Down = 3s;
    constexpr auto ContactWindow = 3s;
    Store store(addressOf(40), Machines);
    publish(store, configuration(1, {{"r-a", "/a/", "safe", "archiv"}, {"r-u", "/u/", "unsafe", "archiv"}}, {"archiv"}, {"key-1"}));
    std::mutex mutex;
    std::vector<Clock::time_point> crashes;
    std::map<std::string, Clock::time_point> late;
    std::vector<std::unique_ptr<Upstream>> upstreams(Machines);
    std::vector<bool> isDown(Machines, false);
    for (int n = 0; n < Machines; ++n) {
        upstreams[n] = std::make_unique<Upstream>(addressOf(n), "i-" + std::to_string(n), "archiv", 100, it.record, [&, n](const Arrival &arrival) {
            if (arrival.target == "/a/crash" && it.hasTrouble) {
                const std::scoped_lock lock(mutex);
                const auto now = Clock::now();
                if (crashes.size() >= 3 && now - crashes[2] > ContactWindow) {
                    late[arrival.id] = now;
                    it.record.line("request " + arrival.id + " has reached an upstream again");
                }
                crashes.push_back(now);
                it.record.line("upstream " + std::to_string(n) + " crashes, the " + std::to_string(crashes.size()) + "th time by this request");
                if (!isDown[n]) {
                    isDown[n] = true;
                    std::thread([&, n] {
                        upstreams[n]->crash();
                        std::this_thread::sleep_for(Down);
                        upstreams[n]->boot();
                        const std::scoped_lock again(mutex);
                        isDown[n] = false;
                    }).detach();
                }
                return Upstream::Reply{2000ms, 0};
            }
            return Upstream::Reply{300ms, 200};
        });
    }
    for (int n = 0; n < Machines; ++n) {
        it.nodes.push_back(std::make_unique<Node>(
            NodeSettings{n, "node-" + std::to_string(n), "archiv", n % 2 == 0 ? "muc-a" : "muc-b", "muc", store.door(n)}, it.folder, it.program));
    }
    const auto servesAll = [&] {
        for (int n = 0; n < Machines; ++n) {
            if (call(it.nodes[n]->address(), request("GET", "/a/x", "first-" + std::to_string(n), "key-1", 2000), 2s) != 200) {
                return false;
            }
        }
        return true;
    };
    if (!waitFor(servesAll, 15s)) {
        it.cannotRun("the machines serve nothing");
    }
    std::this_thread::sleep_for(4s);
    std::atomic<bool> isOver = false;
    std::atomic<int> served = 0;
    std::atomic<int> lost = 0;
    std::vector<std::thread> threads;
    for (int n = 0; n < 20; ++n) {
        threads.emplace_back([&, n] {
            for (int k = 0; !isOver; ++k) {
                const std::string id = "other-" + std::to_string(n) + "-" + std::to_string(k);
                const int status = call(it.nodes[n % Machines]->address(), request("POST", "/u/x", id, "key-1", 5000, 0));
                it.record.line("client gets " + std::to_string(status) + " for " + id);
                const bool hasRun = std::any_of(upstreams.begin(), upstreams.end(), [&](const auto &upstream) { return upstream->hasRun(id); });
                (status == 200 ? served : lost) += status == 200 || hasRun ? 1 : 0;
            }
        });
    }
    const auto end = Clock::now() + 40s;
    for (int k = 0; Clock::now() < end; ++k) {
        // The same path and caller, at any machine; each attempt has its own id.
        threads.emplace_back([&, k] {
            const std::string id = "crash-" + std::to_string(k);
            const int status = call(it.nodes[k % Machines]->address(), request("GET", "/a/crash", id, "key-1", 4000));
            it.record.line("client gets " + std::to_string(status) + " for " + id);
        });
        std::this_thread::sleep_for(2s);
    }
    isOver = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    it.record.result("crashes " + std::to_string(crashes.size()) + ", attempts that reached an upstream more than 3 s after the third "
                     + std::to_string(late.size()) + ", other requests served " + std::to_string(served) + ", begun and lost " + std::to_string(lost));
    it.exit(late.size() > 3 ? 1 : 0);
}

// Several machines of a region lose power together, those that follow the store among them, and a key is taken away right after. The machines that go on
// must refuse it in time.
#include "rig.hh"

using namespace rig;

int main(int argc, char **argv)
{
    Case it(argc, argv);
    constexpr int PerRegion = 6;
    constexpr int Machines = 2 * PerRegion;
    // 5 of 12 machines: a share of 0.42.
    constexpr std::size_t Lost = 5;
    constexpr std::int64_t Propagation = 2000;
    Store store(addressOf(40), Machines);
    publish(store, configuration(1, {{"r-a", "/a/", "safe", "archiv"}}, {"archiv"}, {"key-1", "key-2"}));
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (int n = 0; n < Machines; ++n) {
        upstreams.push_back(std::make_unique<Upstream>(addressOf(n), "i-" + std::to_string(n), "archiv", 100, it.record, [](const Arrival &) {
            return Upstream::Reply{5ms, 200};
        }));
    }
    for (int n = 0; n < Machines; ++n) {
        const std::string region = n < PerRegion ? "muc" : "nue";
        it.nodes.push_back(std::make_unique<Node>(
            NodeSettings{n, "side-" + region + "-" + std::to_string(n), "archiv", region + (n % 2 == 0 ? "-a" : "-b"), region, store.door(n)},
            it.folder,
            it.program));
    }
    std::atomic<int> ids = 0;
    const auto ask = [&](std::size_t machine, const std::string &key) {
        const std::string id = "id-" + std::to_string(++ids);
        return std::pair(id, call(it.nodes[machine]->address(), request("GET", "/a/x", id, key, 2000), 2500ms));
    };
    const auto servesAll = [&] {
        for (std::size_t n = 0; n < it.nodes.size(); ++n) {
            if (ask(n, "key-2").second != 200) {
                return false;
            }
        }
        return true;
    };
    if (!waitFor(servesAll, 15s)) {
        it.cannotRun("the machines serve nothing");
    }
    std::this_thread::sleep_for(8s);
    std::vector<std::size_t> lost;
    for (std::size_t n = PerRegion; n < Machines; ++n) {
        if (store.follows(static_cast<int>(n))) {
            it.record.line(it.nodes[n]->name() + " follows the store");
            lost.push_back(n);
        }
    }
    if (lost.empty() || lost.size() > Lost) {
        it.cannotRun(std::to_string(lost.size()) + " machines of the region follow the store");
    }
    for (std::size_t n = Machines - 1; lost.size() < Lost; --n) {
        if (std::find(lost.begin(), lost.end(), n) == lost.end()) {
            lost.push_back(n);
        }
    }
    if (it.hasTrouble) {
        // A machine without power does not answer, and connections to it hang.
        for (const std::size_t n : lost) {
            it.nodes[n]->signal(SIGSTOP);
            it.record.line(it.nodes[n]->name() + " loses power");
        }
    } else {
        lost.clear();
    }
    std::this_thread::sleep_for(500ms);
    publish(store, configuration(2, {{"r-a", "/a/", "safe", "archiv"}}, {"archiv"}, {"key-1"}));
    const auto published = Clock::now();
    it.record.line("the store has acknowledged r2, without key-2");
    std::mutex mutex;
    std::map<std::size_t, std::int64_t> last;
    std::vector<std::thread> threads;
    while (Clock::now() - published < 8s) {
        for (std::size_t n = 0; n < Machines; ++n) {
            if (std::find(lost.begin(), lost.end(), n) != lost.end()) {
                continue;
            }
            threads.emplace_back([&, n] {
                const auto sent = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - published).count();
                const auto [id, status] = ask(n, "key-2");
                it.record.line(it.nodes[n]->name() + " answers " + std::to_string(status) + " to " + id + " with key-2, sent " + std::to_string(sent)
                               + " ms after r2");
                if (status == 200) {
                    const std::scoped_lock lock(mutex);
                    last[n] = std::max(last[n], sent);
                }
            });
        }
        std::this_thread::sleep_for(100ms);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    bool isBroken = false;
    for (const auto &[n, sent] : last) {
        it.record.result(it.nodes[n]->name() + " serves requests with the key until " + std::to_string(sent) + " ms after it was taken away");
        isBroken = isBroken || sent > Propagation;
    }
    it.record.result(isBroken ? "broken: later than 2000 ms" : "held");
    it.exit(isBroken ? 1 : 0);
}

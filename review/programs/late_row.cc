// Trial, no case: an older row of a machine is written after the one that names a departure; then all processes are killed.
#include "rig.hh"

using namespace rig;

int main(int argc, char **argv)
{
    Case it(argc, argv);
    constexpr int Machines = 2;
    Store store(addressOf(40), Machines);
    publish(store, configuration(1, {{"r-a", "/a/", "safe", "archiv"}}, {"archiv"}, {"key-1"}));
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (int n = 0; n < Machines; ++n) {
        upstreams.push_back(std::make_unique<Upstream>(addressOf(n), "i-" + std::to_string(n), "archiv", 100, it.record, [](const Arrival &) {
            return Upstream::Reply{5ms, 200};
        }));
    }
    for (int n = 0; n < Machines; ++n) {
        it.nodes.push_back(
            std::make_unique<Node>(NodeSettings{n, "node-" + std::to_string(n), "archiv", "muc-a", "muc", store.door(n)}, it.folder, it.program));
    }
    const auto ask = [&](std::size_t n, const std::string &id) { return call(it.nodes[n]->address(), request("GET", "/a/x", id, "key-1", 1000), 1500ms); };
    if (!waitFor([&] { return ask(0, "first-0") == 200 && ask(1, "first-1") == 200 && upstreams[0]->hasRun("first-0"); }, 10s)) {
        it.cannotRun("the machines serve nothing");
    }
    std::this_thread::sleep_for(4s);
    Upstream &leaver = *upstreams[0];
    // The upstream starts anew; the row that says so is written seconds later, after the next one.
    if (it.hasTrouble) {
        store.loseWrites(1);
    }
    leaver.crash();
    std::this_thread::sleep_for(200ms);
    leaver.boot();
    std::this_thread::sleep_for(2000ms);
    leaver.stopBeats();
    const std::string lateReport = leaver.reportOf("ready");
    std::this_thread::sleep_for(500ms);
    leaver.setLeaving();
    const int status = leaver.send("DELETE", "");
    const auto left = Clock::now();
    it.record.line("the leaving of i-0 is answered " + std::to_string(status));
    if (status != 200) {
        it.cannotRun("the leaving is not acknowledged");
    }
    std::this_thread::sleep_for(2500ms);
    if (it.hasTrouble) {
        for (const auto &node : it.nodes) {
            node->killAndWait();
        }
        it.record.line("all processes are killed");
        std::this_thread::sleep_for(1s);
        for (const auto &node : it.nodes) {
            node->start();
        }
        std::this_thread::sleep_for(1500ms);

    } else {
        std::this_thread::sleep_for(2500ms);
    }
    std::this_thread::sleep_for(500ms);
    it.record.line("a late report of i-0 is answered " + std::to_string(leaver.send("PUT", lateReport)));
    // In touch again: the processes and the store were without impairment for 3 s.
    std::this_thread::sleep_for(3500ms);
    int runs = 0;
    int served = 0;
    for (int n = 0; n < 20; ++n) {
        const std::string id = "id-" + std::to_string(n);
        const int got = ask(static_cast<std::size_t>(n % Machines), id);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - left).count();
        it.record.line("client gets " + std::to_string(got) + " for " + id + ", " + std::to_string(age) + " ms after the acknowledgement");
        served += got == 200 ? 1 : 0;
        runs += leaver.hasRun(id) ? 1 : 0;
        std::this_thread::sleep_for(50ms);
    }
    it.record.result("of 20 requests " + std::to_string(served) + " are served, " + std::to_string(runs) + " by the upstream that has left");
    it.exit(runs > 0 ? 1 : 0);
}
